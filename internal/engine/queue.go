package engine

import (
	"sync"
	"time"
)

type event struct {
	at time.Time
	do func()
}

// queue is the one way to the engine. Putting never blocks: what a front may hold is bounded before it puts,
// and a server's results are bounded by the pushes that are out.
type queue struct {
	mu     sync.Mutex
	events []event
	wake   chan struct{}
}

func (q *queue) put(do func()) {
	q.mu.Lock()
	q.events = append(q.events, event{time.Now(), do})
	first := len(q.events) == 1
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// take swaps the waiting events for an empty slice.
func (q *queue) take(empty []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = empty[:0]
	return events
}
