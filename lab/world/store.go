package world

import (
	"container/list"
	"sync"
)

// valueStore is the content of a cache: an LRU of value sizes, bounded by their sum. Values themselves are generated on demand.
type valueStore struct {
	mu       sync.Mutex
	bytes    int        // sum of all sizes
	maxBytes int        // limit of bytes; a single larger value is still stored
	lru      *list.List // of storedValue, the most recently used in front
	elements map[string]*list.Element
}

// storedValue is the size of one stored value, in bytes.
type storedValue struct {
	key  string
	size int
}

// newStore makes an empty store of maxBytes bytes.
func newStore(maxBytes int) *valueStore {
	return &valueStore{maxBytes: maxBytes, lru: list.New(), elements: map[string]*list.Element{}}
}

// has reports whether a key is stored, and marks it as used.
func (s *valueStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.elements[key]
	if e != nil {
		s.lru.MoveToFront(e)
	}
	return e != nil
}

// put stores a key as the most recently used one, and evicts the least recently used ones above the limit.
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
		evicted := s.lru.Remove(e).(storedValue)
		delete(s.elements, evicted.key)
		s.bytes -= evicted.size
	}
}

// remove deletes a key.
func (s *valueStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.elements[key]; e != nil {
		s.bytes -= s.lru.Remove(e).(storedValue).size
		delete(s.elements, key)
	}
}

// removeIf deletes all keys for which remove returns true.
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
