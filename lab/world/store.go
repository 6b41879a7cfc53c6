package world

import (
	"container/list"
	"sync"
)

// store is a cache's content: bounded by bytes, the longest unused goes first.
type valueStore struct {
	mu       sync.Mutex
	bytes    int
	maxBytes int
	lru      *list.List // of kept, the latest used in front
	elements map[string]*list.Element
}

type storedValue struct {
	key  string
	size int
}

func newStore(most int) *valueStore {
	return &valueStore{maxBytes: most, lru: list.New(), elements: map[string]*list.Element{}}
}

func (s *valueStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.elements[key]
	if e != nil {
		s.lru.MoveToFront(e)
	}
	return e != nil
}

func (s *valueStore) put(key string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.elements[key]; e != nil {
		s.bytes += size - e.Value.(storedValue).size
		e.Value = storedValue{key, size}
		s.lru.MoveToFront(e)
	} else {
		s.elements[key] = s.lru.PushFront(storedValue{key, size})
		s.bytes += size
	}
	for s.bytes > s.maxBytes && s.lru.Len() > 1 {
		e := s.lru.Back()
		k := s.lru.Remove(e).(storedValue)
		delete(s.elements, k.key)
		s.bytes -= k.size
	}
}

func (s *valueStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.elements[key]; e != nil {
		s.bytes -= s.lru.Remove(e).(storedValue).size
		delete(s.elements, key)
	}
}

// flush voids a share of what is kept; draw tells by key.
func (s *valueStore) removeIf(remove func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.elements {
		if remove(key) {
			s.bytes -= s.lru.Remove(e).(storedValue).size
			delete(s.elements, key)
		}
	}
}
