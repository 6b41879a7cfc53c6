package engine

import (
	"container/heap"

	"minttray/policy"
)

type timer struct {
	dueAt    policy.Time
	seq      uint64 // timers with the same due time fire in the order in which they were set
	callback func()
}

type timers struct {
	heap []timer
	seq  uint64
}

func (t *timers) Len() int { return len(t.heap) }
func (t *timers) Less(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.seq < b.seq
}
func (t *timers) Swap(i, j int) { t.heap[i], t.heap[j] = t.heap[j], t.heap[i] }
func (t *timers) Push(x any)    { t.heap = append(t.heap, x.(timer)) }
func (t *timers) Pop() any {
	last := t.heap[len(t.heap)-1]
	t.heap[len(t.heap)-1] = timer{}
	t.heap = t.heap[:len(t.heap)-1]
	return last
}

func (t *timers) set(at policy.Time, do func()) {
	t.seq++
	heap.Push(t, timer{at, t.seq, do})
}

// popDue removes and returns the callback of the earliest timer if it is due, otherwise nil.
func (t *timers) popDue(now policy.Time) func() {
	if len(t.heap) == 0 || t.heap[0].dueAt > now {
		return nil
	}
	return heap.Pop(t).(timer).callback
}
