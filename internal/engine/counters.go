package engine

import (
	"time"

	"github.com/rs/zerolog"

	"minttray/policy"
)

// Counters belong to the engine's goroutine; read them through Do.
type Counters struct {
	Taken              int                  // ops the engine has received
	Acked              int                  // ops with an acked push
	Nacked             int                  // ops answered with a safe-to-retry refusal
	DeadLettered       int                  // ops answered without any statement about their effect
	ClientsLeft        int                  // clients that left before their answer
	AnsweredAtShutdown int                  // ops answered by AnswerAllOpen
	Withdrawn          int                  // pushes aborted before a byte of them was written
	OverdueOps         int                  // ops the module did not answer by their TTL; 0 while it keeps its contract
	LateAnswers        int                  // answers by the module to ops that had ended; 0 while it keeps its contract
	Sent               int                  // pushes handed to a server
	Pushes             [policy.Miss + 1]int // by outcome
	Lists              int                  // lists applied
	Reports            int                  // load reports with a latency
	InvalidReports     int                  // load reports that were unusable
	Probes             int                  // probes sent
	ProbesFailed       int                  // probes that brought no report
	Judged             policy.Counts        // the module's own counters
	MaxQueueLength     int                  // largest number of events in one batch
	MaxQueueDelay      time.Duration        // longest wait of an event in the queue
	MaxBatchDuration   time.Duration        // longest time to handle one batch
	MaxEventDuration   time.Duration        // longest time to handle one event
	MaxEventKind       eventKind            // kind of the event with MaxEventDuration
	ListEntries        int                  // entries of the current list, including the origin
	MaxListDuration    time.Duration        // longest time to apply one list
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
