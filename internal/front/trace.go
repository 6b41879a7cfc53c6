package front

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"minttray/internal/engine"
)

const (
	// lateThreshold is how long past its deadline an answer is written to be logged at warn.
	lateThreshold = 50 * time.Millisecond
	// maxWarningsPerSecond bounds those lines; further ones are only counted.
	maxWarningsPerSecond = 10
)

// closeReason is why a connection was closed with requests on it.
type closeReason string

const (
	clientGone   closeReason = "client gone"
	writeFailed  closeReason = "write failed"
	slowReader   closeReason = "answers not read"
	noCommand    closeReason = "no command received"
	connPanicked closeReason = "panic"
	allAnswered  closeReason = "all answered"
	streamFailed closeReason = "value not completely sent"
	flooding     closeReason = "flood evicted"
)

var workStateNames = [...]string{workNone: "nothing", workRead: "read", workSubmitted: "handed in", workAnswered: "answered, not written"}

func (w workState) String() string { return workStateNames[w] }

// warningLimiter bounds the log lines at warn in each second.
type warningLimiter struct {
	second  atomic.Int64 // Unix time that count belongs to
	count   atomic.Int64
	dropped atomic.Int64 // since the start of the process
}

// allow reports whether one more line may be written now.
func (w *warningLimiter) allow(now time.Time) bool {
	if second := now.Unix(); w.second.Swap(second) != second {
		w.count.Store(0)
	}
	if w.count.Add(1) > maxWarningsPerSecond {
		w.dropped.Add(1)
		return false
	}
	return true
}

// addTraceTimes adds when a request reached each of its states, in milliseconds since the earliest time at which its
// last byte can have arrived. States that it did not reach are omitted.
func addTraceTimes(l *zerolog.Event, op *engine.Op) *zerolog.Event {
	l.Str("request", op.Request.ID)
	for _, state := range []struct {
		name string
		at   int64 // nanoseconds
	}{
		{"read_ms", op.Trace.Read.Load()}, {"submitted_ms", op.Trace.Submitted.Load()}, {"arrived_ms", op.Trace.Arrived.Load()}, {"begun_ms", op.Trace.FirstPush.Load()},
		{"answered_ms", op.Trace.Answered.Load()},
	} {
		if state.at > 0 {
			l.Float64(state.name, float64(state.at)/1e6)
		}
	}
	return l.Int32("attempts", op.Trace.Pushes.Load()).Bool("behind", op.Trace.AnsweredDuringLag.Load())
}

// refusal is why the front end refused a request that the engine has not taken.
type refusal string

const (
	noValueMemory    refusal = "no memory for the value"
	noPropertyMemory refusal = "no memory for the properties"
	notAccepted      refusal = "not accepted by the engine: "
)

// logAnswered logs a request when its answer is written: at debug, or at warn if it is late. reason is empty unless the front end
// refused it.
func (srv *Server) logAnswered(op *engine.Op, outcome string, reason refusal, err error) {
	now := time.Now()
	late := now.Sub(op.ReceivedAt) - op.ClientWait()
	l := srv.Log.Debug()
	if late > lateThreshold && srv.lateWarnings.allow(now) {
		l = srv.Log.Warn()
	}
	if !l.Enabled() {
		return
	}
	if l = addTraceTimes(l, op); reason != "" {
		l = l.Str("reason", string(reason))
	}
	l.Str("end", outcome).Float64("written_ms", now.Sub(op.ReceivedAt).Seconds()*1000).Float64("late_ms", late.Seconds()*1000).AnErr("failed", err).
		Msg("request answered")
}

// logUnanswered logs a request whose connection was closed before its answer was written, with its state; at warn if
// the proxy closed the connection.
func (srv *Server) logUnanswered(op *engine.Op, state workState, reason closeReason) {
	l := srv.Log.Debug()
	if reason != clientGone && srv.lateWarnings.allow(time.Now()) {
		l = srv.Log.Warn()
	}
	if !l.Enabled() {
		return
	}
	addTraceTimes(l, op).Stringer("stood", state).Str("reason", string(reason)).Float64("closed_ms", time.Since(op.ReceivedAt).Seconds()*1000).
		Msg("connection closed before the request was answered")
}
