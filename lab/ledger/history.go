package ledger

import (
	"fmt"
	"time"
)

// The names below appear in verdicts and histories. Their order is that of the constants.

var answerNames = []string{"acked", "nacked", "dead-lettered", "closed", "foreign", "half", "crossed"}

var endNames = []string{"answered", "missed", "refused", "failed", "dropped", "silent"}

var stateNames = []string{"active", "leaving", "out"}

// name returns the name of value i; values beyond the end have the last name.
func name(names []string, i uint32) string { return names[min(int(i), len(names)-1)] }

// String formats a record as a line of an op's history.
func (r Record) String() string {
	at := r.At.Round(100 * time.Microsecond)
	switch r.Kind {
	case OpSent:
		return fmt.Sprintf("%v sent to proxy life %d, category %d, waits %v", at, r.A, r.B, time.Duration(r.C)*time.Microsecond)
	case OpAnswered:
		return fmt.Sprintf("%v answer: %s, come back in %d ms", at, name(answerNames, r.A), r.B)
	case ClientLeft:
		return fmt.Sprintf("%v its client goes away", at)
	case PushReceived:
		return fmt.Sprintf("%v push at server %d, connection %d", at, r.A, r.B)
	case PushEnded:
		return fmt.Sprintf("%v push over at server %d, connection %d: %s", at, r.A, r.B, name(endNames, r.C))
	case DeadlineForwarded:
		return fmt.Sprintf("%v a deadline of %v passed to server %d, connection %d", at, time.Duration(r.C)*time.Microsecond, r.A, r.B)
	case StateAnnounced:
		return fmt.Sprintf("%v proxy life %d told that server %d is %s", at, r.A, r.B, name(stateNames, r.C))
	}
	return fmt.Sprintf("%v %d %d %d %d", at, r.Kind, r.A, r.B, r.C)
}
