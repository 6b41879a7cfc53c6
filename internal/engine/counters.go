package engine

import (
	"time"

	"github.com/rs/zerolog"

	"minttray/policy"
)

// Counters belong to the engine's goroutine; read them through Do.
type Counters struct {
	Taken, Acked, Nacked, DeadLettered int
	ClientsLeft                        int // clients gone before their answer
	AnsweredAtShutdown                 int // answered as the process ended
	Withdrawn                          int // pushes taken back before a byte of them was written
	OverdueOps, LateAnswers            int // both stay 0 while the module keeps its contract
	Sent                               int
	Pushes                             [policy.Miss + 1]int // by outcome
	Lists                              int
	Reports                            int // load reports that told how long ops take
	InvalidReports                     int // and those that were there, but told nothing that can be
	Probes, ProbesFailed               int // probes sent, and those that brought no report
	Judged                             policy.Counts
	MaxQueueLength                     int // queue length
	MaxQueueDelay, MaxBatchDuration    time.Duration
	MaxEventDuration                   time.Duration
	MaxEventKind                       eventKind
	ListEntries                        int           // of the last list, the origin among them
	MaxListDuration                    time.Duration // that one list took
}

var outcomeNames = [policy.Miss + 1]string{"acked", "errored", "full", "timed_out", "connect_failed", "broken",
	"cancelled", "moot", "miss"}

// MarshalZerologObject writes the counters into a log line.
func (c *Counters) MarshalZerologObject(l *zerolog.Event) {
	l.Int("taken", c.Taken).Int("acked", c.Acked).Int("nacked", c.Nacked).Int("dead_lettered", c.DeadLettered).
		Int("left", c.ClientsLeft).Int("handed_back", c.AnsweredAtShutdown).Int("overdue", c.OverdueOps).Int("late", c.LateAnswers).Int("sent", c.Sent).
		Int("withdrawn", c.Withdrawn)
	for i, n := range c.Pushes {
		l.Int("push_"+outcomeNames[i], n)
	}
	l.Int("censored", c.Judged.InconclusiveTimeouts).Int("over_budget", c.Judged.RetriesOverBudget).
		Int("hopeless", c.Judged.DeadlineTooShort).Int("cut_short", c.Judged.ShortenedPushes)
	for why, n := range c.Judged.GivenUp {
		l.Int("gave_up_"+policy.GiveUpReason(why).String(), n)
	}
	l.Int("lists", c.Lists).Int("reports", c.Reports).Int("reports_bad", c.InvalidReports).
		Int("probes", c.Probes).Int("probes_untold", c.ProbesFailed).Int("queue_longest", c.MaxQueueLength).
		Float64("longest_event_ms", c.MaxEventDuration.Seconds()*1000).Stringer("longest_event", c.MaxEventKind).
		Int("list_entries", c.ListEntries).Float64("list_longest_ms", c.MaxListDuration.Seconds()*1000).
		Float64("queue_delay_ms", c.MaxQueueDelay.Seconds()*1000).Float64("stall_ms", c.MaxBatchDuration.Seconds()*1000)
}
