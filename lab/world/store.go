package world

import (
	"container/list"
	"sync"
)

// store is a cache's content: bounded by bytes, the longest unused goes first.
type store struct {
	mu    sync.Mutex
	bytes int
	most  int
	order *list.List // of kept, the latest used in front
	at    map[string]*list.Element
}

type kept struct {
	key  string
	size int
}

func newStore(most int) *store {
	return &store{most: most, order: list.New(), at: map[string]*list.Element{}}
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.at[key]
	if e != nil {
		s.order.MoveToFront(e)
	}
	return e != nil
}

func (s *store) put(key string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.at[key]; e != nil {
		s.bytes += size - e.Value.(kept).size
		e.Value = kept{key, size}
		s.order.MoveToFront(e)
	} else {
		s.at[key] = s.order.PushFront(kept{key, size})
		s.bytes += size
	}
	for s.bytes > s.most && s.order.Len() > 1 {
		e := s.order.Back()
		k := s.order.Remove(e).(kept)
		delete(s.at, k.key)
		s.bytes -= k.size
	}
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.at[key]; e != nil {
		s.bytes -= s.order.Remove(e).(kept).size
		delete(s.at, key)
	}
}

// flush voids a share of what is kept; draw tells by key.
func (s *store) flush(gone func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.at {
		if gone(key) {
			s.bytes -= s.order.Remove(e).(kept).size
			delete(s.at, key)
		}
	}
}
