// Package members provides a list and a map of servers that count accesses to their entries. The counter lets tests
// measure what one event costs: entries are reached only through methods, so every loop over All or At is counted.
package members

import "iter"

// Visits counts accesses to entries.
type Visits struct{ n int }

// Count returns the number of accesses so far.
func (v *Visits) Count() int { return v.n }

// List is a list of servers. The zero value is empty and counts no accesses.
type List[T any] struct {
	members []T
	visits  *Visits
}

// NewList returns an empty list that counts its accesses in visits.
func NewList[T any](visits *Visits) List[T] { return List[T]{visits: visits} }

// Len returns the number of entries.
func (l *List[T]) Len() int { return len(l.members) }

// At returns the entry at an index.
func (l *List[T]) At(i int) T {
	l.count()
	return l.members[i]
}

// Put replaces the entry at an index.
func (l *List[T]) Put(i int, member T) {
	l.count()
	l.members[i] = member
}

// All iterates over indexes and entries in order. Each entry yielded counts as one access.
func (l *List[T]) All() iter.Seq2[int, T] {
	return func(yield func(int, T) bool) {
		for i, member := range l.members {
			l.count()
			if !yield(i, member) {
				return
			}
		}
	}
}

// Append adds an entry at the end.
func (l *List[T]) Append(member T) {
	l.count()
	l.members = append(l.members, member)
}

// Reset makes the list hold the given number of zero values. It reuses the memory if that is large enough, and counts
// no accesses.
func (l *List[T]) Reset(length int) {
	if cap(l.members) < length {
		l.members = make([]T, length)
	}
	l.members = l.members[:length]
	clear(l.members)
}

// Sort sorts the entries by a function that sorts the given slice in place and must not keep it. It counts one access
// per entry.
func (l *List[T]) Sort(sort func([]T)) {
	for range l.members {
		l.count()
	}
	sort(l.members)
}

func (l *List[T]) count() {
	if l.visits != nil {
		l.visits.n++
	}
}

// Map maps IDs to servers.
type Map[K comparable, T any] struct {
	members map[K]T
	visits  *Visits
}

// NewMap returns an empty map that counts its accesses in visits.
func NewMap[K comparable, T any](visits *Visits) Map[K, T] {
	return Map[K, T]{members: map[K]T{}, visits: visits}
}

// Len returns the number of entries.
func (m *Map[K, T]) Len() int { return len(m.members) }

// Get returns the entry with an ID, or the zero value if there is none.
func (m *Map[K, T]) Get(id K) T {
	m.count()
	return m.members[id]
}

// Put sets the entry with an ID.
func (m *Map[K, T]) Put(id K, member T) {
	m.count()
	m.members[id] = member
}

// Delete removes the entry with an ID.
func (m *Map[K, T]) Delete(id K) {
	m.count()
	delete(m.members, id)
}

// All iterates over IDs and entries in no particular order. Each entry yielded counts as one access.
func (m *Map[K, T]) All() iter.Seq2[K, T] {
	return func(yield func(K, T) bool) {
		for id, member := range m.members {
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
