package front

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"minttray/internal/engine"
)

const (
	// lateBy is how long past its deadline an answer is written for a line at warn.
	lateBy = 50 * time.Millisecond
	// mostWarnings is how many of those lines there are in a second; further ones are counted.
	mostWarnings = 10
)

// closeReason is why a connection was closed with requests on it.
type closeReason string

const (
	clientGone  closeReason = "client gone"
	writeFailed closeReason = "write failed"
	slowReader  closeReason = "answers not read"
	neverAsked  closeReason = "nothing asked"
	panicked    closeReason = "panic"
	allAnswered closeReason = "all answered"
	valueBroken closeReason = "value not whole"
)

var owedNames = [...]string{owesNothing: "nothing", owesReading: "read", owesAnswer: "handed in", owesWriting: "answered, not written"}

func (o owed) String() string { return owedNames[o] }

// warnings bounds lines at warn.
type warnings struct {
	second, count, dropped atomic.Int64
}

// allow tells whether one more line may be written now.
func (w *warnings) allow(now time.Time) bool {
	if second := now.Unix(); w.second.Swap(second) != second {
		w.count.Store(0)
	}
	if w.count.Add(1) > mostWarnings {
		w.dropped.Add(1)
		return false
	}
	return true
}

// times adds when a request came to each of its states, in milliseconds since its last byte may have come; what it did not come to is left out.
func times(l *zerolog.Event, o *engine.Op) *zerolog.Event {
	l.Str("request", o.Request.ID)
	for _, state := range []struct {
		name string
		at   int64
	}{
		{"submitted_ms", o.Trace.Submitted.Load()}, {"arrived_ms", o.Trace.Arrived.Load()}, {"begun_ms", o.Trace.FirstPush.Load()},
		{"answered_ms", o.Trace.Answered.Load()},
	} {
		if state.at > 0 {
			l.Float64(state.name, float64(state.at)/1e6)
		}
	}
	return l.Int32("attempts", o.Trace.Pushes.Load()).Bool("behind", o.Trace.AnsweredDuringLag.Load())
}

// written logs a request's answer as it is written: at debug, and at warn if it is late.
func (f *Server) written(o *engine.Op, end string, err error) {
	now := time.Now()
	late := -o.Remaining(now)
	l := f.Log.Debug()
	if late > lateBy && f.late.allow(now) {
		l = f.Log.Warn()
	}
	if !l.Enabled() {
		return
	}
	times(l, o).Str("end", end).Float64("written_ms", now.Sub(o.ReceivedAt).Seconds()*1000).Float64("late_ms", late.Seconds()*1000).AnErr("failed", err).
		Msg("request answered")
}

// lost logs a request whose connection was closed ahead of its answer, with where it stood; at warn if the proxy closed it.
func (f *Server) lost(o *engine.Op, stood owed, why closeReason) {
	l := f.Log.Debug()
	if why != clientGone && f.late.allow(time.Now()) {
		l = f.Log.Warn()
	}
	if !l.Enabled() {
		return
	}
	times(l, o).Stringer("stood", stood).Str("reason", string(why)).Float64("closed_ms", time.Since(o.ReceivedAt).Seconds()*1000).Msg("request ended with its connection")
}
