package engine

import (
	"container/heap"

	"minttray/policy"
)

type timer struct {
	dueAt    policy.Time
	seq      uint64 // timers with the same due time fire in the order in which they were set
	callback func()
	index    int // in the heap; below 0: fired or cancelled
}

// timers holds the engine's timers. A timer whose purpose has ended is cancelled, since until it is due it keeps everything that its
// callback refers to.
type timers struct {
	heap []*timer
	seq  uint64
}

func (t *timers) Len() int { return len(t.heap) }
func (t *timers) Less(i, j int) bool {
	a, b := t.heap[i], t.heap[j]
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.seq < b.seq
}
func (t *timers) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].index, t.heap[j].index = i, j
}
func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(t.heap)
	t.heap = append(t.heap, added)
}
func (t *timers) Pop() any {
	last := t.heap[len(t.heap)-1]
	t.heap[len(t.heap)-1] = nil
	t.heap = t.heap[:len(t.heap)-1]
	last.index = -1
	return last
}

func (t *timers) set(at policy.Time, do func()) *timer {
	t.seq++
	added := &timer{dueAt: at, seq: t.seq, callback: do}
	heap.Push(t, added)
	return added
}

// cancel removes a timer, so that it never fires. It does nothing if the timer is nil, has fired or was cancelled before.
func (t *timers) cancel(x *timer) {
	if x != nil && x.index >= 0 {
		heap.Remove(t, x.index)
	}
}

// popDue removes and returns the callback of the earliest timer if it is due, otherwise nil.
func (t *timers) popDue(now policy.Time) func() {
	if len(t.heap) == 0 || t.heap[0].dueAt > now {
		return nil
	}
	return heap.Pop(t).(*timer).callback
}
