package engine

import (
	"sync"
	"sync/atomic"
	"time"
)

// eventKind classifies events for the counters.
type eventKind uint8

const (
	requestEvent eventKind = iota
	answerEvent
	leaveEvent
	listEvent
	probeEvent
	callEvent     // by an operator or the daemon
	answeredEvent // the lag responder has answered an op
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

// queue carries all input to the engine's goroutine. put never blocks. The queue is bounded because fronts are limited in what they submit
// and servers' results by the pushes in flight.
type queue struct {
	mu       sync.Mutex
	events   []event
	calls    []func()    // operators' calls, run before all events
	hasCalls atomic.Bool // whether calls is not empty
	wake     chan struct{}
}

func (q *queue) put(kind eventKind, run func()) {
	q.mu.Lock()
	q.events = append(q.events, event{time.Now(), kind, run})
	wasEmpty := len(q.events) == 1
	q.mu.Unlock()
	if wasEmpty {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// oldest returns when the longest-waiting event was queued.
func (q *queue) oldest() (at time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return at, false
	}
	return q.events[0].queuedAt, true
}

// take returns the waiting events and leaves an empty slice in their place.
func (q *queue) take(empty []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = empty[:0]
	return events
}

// putCall queues a call that runs before all events.
func (q *queue) putCall(call func()) {
	q.mu.Lock()
	q.calls = append(q.calls, call)
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
	calls := q.calls
	q.calls = nil
	q.hasCalls.Store(false)
	return calls
}
