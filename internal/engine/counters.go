package engine

import (
	"time"

	"github.com/rs/zerolog"

	"minttray/policy"
)

// Counters belong to the engine's goroutine; read them through Do.
type Counters struct {
	Taken, Acked, Nacked, DeadLettered int
	Left                               int // clients gone before their answer
	HandedBack                         int // answered as the process ended
	Withdrawn                          int // pushes taken back before a byte of them was written
	Overdue, Late                      int // both stay 0 while the module keeps its contract
	Sent                               int
	Pushes                             [policy.Miss + 1]int // by outcome
	Lists                              int
	Reports                            int // load reports that told how long ops take
	ReportsBad                         int // and those that were there, but told nothing that can be
	Probes, ProbesUntold               int // probes sent, and those that brought no report
	Judged                             policy.Counts
	Longest                            int // queue length
	Delay, Stall                       time.Duration
	LongestEvent                       time.Duration
	LongestKind                        eventKind
	ListEntries                        int           // of the last list, the origin among them
	ListLongest                        time.Duration // that one list took
}

var outcomeNames = [policy.Miss + 1]string{"acked", "errored", "full", "timed_out", "connect_failed", "broken",
	"cancelled", "moot", "miss"}

// MarshalZerologObject writes the counters into a log line.
func (c *Counters) MarshalZerologObject(l *zerolog.Event) {
	l.Int("taken", c.Taken).Int("acked", c.Acked).Int("nacked", c.Nacked).Int("dead_lettered", c.DeadLettered).
		Int("left", c.Left).Int("handed_back", c.HandedBack).Int("overdue", c.Overdue).Int("late", c.Late).Int("sent", c.Sent).
		Int("withdrawn", c.Withdrawn)
	for i, n := range c.Pushes {
		l.Int("push_"+outcomeNames[i], n)
	}
	l.Int("censored", c.Judged.InconclusiveTimeouts).Int("over_budget", c.Judged.RetriesOverBudget).
		Int("hopeless", c.Judged.DeadlineTooShort).Int("cut_short", c.Judged.ShortenedPushes)
	for why, n := range c.Judged.GivenUp {
		l.Int("gave_up_"+policy.GiveUpReason(why).String(), n)
	}
	l.Int("lists", c.Lists).Int("reports", c.Reports).Int("reports_bad", c.ReportsBad).
		Int("probes", c.Probes).Int("probes_untold", c.ProbesUntold).Int("queue_longest", c.Longest).
		Float64("longest_event_ms", c.LongestEvent.Seconds()*1000).Stringer("longest_event", c.LongestKind).
		Int("list_entries", c.ListEntries).Float64("list_longest_ms", c.ListLongest.Seconds()*1000).
		Float64("queue_delay_ms", c.Delay.Seconds()*1000).Float64("stall_ms", c.Stall.Seconds()*1000)
}
