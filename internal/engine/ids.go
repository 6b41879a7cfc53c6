package engine

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"
)

// Why Submit did not take an op.
var (
	ErrFull        = errors.New("too much is held")
	ErrOverloaded  = errors.New("the engine is behind")
	ErrDuplicateID = errors.New("an op with this id was taken before")
)

const mostIDs = 1 << 15 // of one span, so that they stay small whatever comes

// ids remembers the ids of ops taken, for the longest time that one may be open and at most twice that. An id is
// new with every op: who sends one again wants what belongs to another client, and a push for it after the first
// op's end would be one too many.
type ids struct {
	span time.Duration
	seed maphash.Seed

	mu       sync.Mutex
	now, old map[uint64]struct{}
	turned   time.Time
}

func newIDs(span time.Duration) *ids {
	return &ids{span: span, seed: maphash.MakeSeed(), now: map[uint64]struct{}{}}
}

// widen keeps ids for longer from now on; never for less, as ops of before are open.
func (s *ids) widen(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.span = max(s.span, span)
}

// add tells whether an id is new.
func (s *ids) add(id string, at time.Time) bool {
	h := maphash.String(s.seed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Sub(s.turned) >= s.span || len(s.now) >= mostIDs {
		s.now, s.old, s.turned = make(map[uint64]struct{}, len(s.now)), s.now, at
	}
	_, open := s.now[h]
	_, late := s.old[h]
	if open || late {
		return false
	}
	s.now[h] = struct{}{}
	return true
}
