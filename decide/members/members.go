// Package members holds the servers that a module knows, in a list and in a map that can be walked only through their methods. Each
// entry that is looked at is counted, so that a test can tell what one event costs, and a walk over all servers can't hide in a loop.
package members

import "iter"

// Visits counts entries looked at.
type Visits struct{ n int }

// Count is the number of entries looked at since the start.
func (v *Visits) Count() int { return v.n }

// List is an ordered set of servers. The zero value is empty and counts nothing.
type List[T any] struct {
	all    []T
	visits *Visits
}

// NewList makes an empty list that counts its visits.
func NewList[T any](visits *Visits) List[T] { return List[T]{visits: visits} }

// Len is the number of entries.
func (l *List[T]) Len() int { return len(l.all) }

// At is one entry.
func (l *List[T]) At(i int) T {
	l.count()
	return l.all[i]
}

// Put replaces one entry.
func (l *List[T]) Put(i int, member T) {
	l.count()
	l.all[i] = member
}

// All walks all entries.
func (l *List[T]) All() iter.Seq2[int, T] {
	return func(yield func(int, T) bool) {
		for i, member := range l.all {
			l.count()
			if !yield(i, member) {
				return
			}
		}
	}
}

// Append adds an entry.
func (l *List[T]) Append(member T) {
	l.count()
	l.all = append(l.all, member)
}

// Reset empties the list to a length of zero values, and keeps its memory if that is enough.
func (l *List[T]) Reset(length int) {
	if cap(l.all) < length {
		l.all = make([]T, length)
	}
	l.all = l.all[:length]
	clear(l.all)
}

// Sort orders the entries by a function that works on the whole list.
func (l *List[T]) Sort(sort func([]T)) {
	for range l.all {
		l.count()
	}
	sort(l.all)
}

func (l *List[T]) count() {
	if l.visits != nil {
		l.visits.n++
	}
}

// Map is a set of servers by their ids.
type Map[K comparable, T any] struct {
	all    map[K]T
	visits *Visits
}

// NewMap makes an empty map that counts its visits.
func NewMap[K comparable, T any](visits *Visits) Map[K, T] {
	return Map[K, T]{all: map[K]T{}, visits: visits}
}

// Len is the number of entries.
func (m *Map[K, T]) Len() int { return len(m.all) }

// Get is one entry, the zero value if there is none.
func (m *Map[K, T]) Get(id K) T {
	m.count()
	return m.all[id]
}

// Put sets one entry.
func (m *Map[K, T]) Put(id K, member T) {
	m.count()
	m.all[id] = member
}

// Delete removes one entry.
func (m *Map[K, T]) Delete(id K) {
	m.count()
	delete(m.all, id)
}

// All walks all entries, in no order.
func (m *Map[K, T]) All() iter.Seq2[K, T] {
	return func(yield func(K, T) bool) {
		for id, member := range m.all {
			m.count()
			if !yield(id, member) {
				return
			}
		}
	}
}

func (m *Map[K, T]) count() {
	if m.visits != nil {
		m.visits.n++
	}
}
