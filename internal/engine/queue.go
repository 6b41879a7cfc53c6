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
	settleEvent
	timerEvent
	eventKinds
)

var eventNames = [eventKinds]string{"request", "answer", "client left", "list", "probe", "call", "settle", "timer"}

func (k eventKind) String() string { return eventNames[k] }

type event struct {
	at   time.Time
	kind eventKind
	do   func()
}

// queue is the one way to the engine. Putting never blocks: what a front may hold is bounded before it puts,
// and a server's results are bounded by the pushes that are out.
type queue struct {
	mu     sync.Mutex
	events []event
	early  []func()    // operators' calls
	any    atomic.Bool // of those
	wake   chan struct{}
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
	return q.events[0].at, true
}

// take swaps the waiting events for an empty slice.
func (q *queue) take(empty []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = empty[:0]
	return events
}

// putFirst hands in what is done before all else.
func (q *queue) putFirst(do func()) {
	q.mu.Lock()
	q.early = append(q.early, do)
	q.any.Store(true)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) takeFirst() []func() {
	if !q.any.Load() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	early := q.early
	q.early = nil
	q.any.Store(false)
	return early
}
