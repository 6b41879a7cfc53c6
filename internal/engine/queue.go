package engine

import (
	"sync"
	"sync/atomic"
	"time"
)

// eventKind is what an event is about.
type eventKind uint8

const (
	requestEvent eventKind = iota
	answerEvent
	leaveEvent
	listEvent
	probeEvent
	callEvent // of an operator, or the daemon
	answeredEvent
	timerEvent
	eventKindCount
)

var eventNames = [eventKindCount]string{"request", "answer", "client left", "list", "probe", "call", "settle", "timer"}

func (k eventKind) String() string { return eventNames[k] }

type event struct {
	queuedAt time.Time
	kind     eventKind
	run      func()
}

// queue is the one way to the engine. Putting never blocks: what a front may hold is bounded before it puts,
// and a server's results are bounded by the pushes that are out.
type queue struct {
	mu       sync.Mutex
	events   []event
	calls    []func()    // operators' calls
	hasCalls atomic.Bool // of those
	wake     chan struct{}
}

func (q *queue) put(kind eventKind, do func()) {
	q.mu.Lock()
	q.events = append(q.events, event{time.Now(), kind, do})
	first := len(q.events) == 1
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// oldest is when the event was put that has waited for longest.
func (q *queue) oldest() (at time.Time, some bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return at, false
	}
	return q.events[0].queuedAt, true
}

// take swaps the waiting events for an empty slice.
func (q *queue) take(empty []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = empty[:0]
	return events
}

// putCall hands in what is done before all else.
func (q *queue) putCall(do func()) {
	q.mu.Lock()
	q.calls = append(q.calls, do)
	q.hasCalls.Store(true)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) takeCalls() []func() {
	if !q.hasCalls.Load() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	early := q.calls
	q.calls = nil
	q.hasCalls.Store(false)
	return early
}
