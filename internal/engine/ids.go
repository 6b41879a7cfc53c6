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

const maxIDsPerGeneration = 1 << 15 // of one span, so that they stay small whatever comes

// recentIDs remembers the recentIDs of ops taken, for the longest time that one may be open and at most twice that. An id is
// new with every op: who sends one again wants what belongs to another client, and a push for it after the first
// op's end would be one too many.
type recentIDs struct {
	retention time.Duration
	seed      maphash.Seed

	mu                sync.Mutex
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

func newRecentIDs(span time.Duration) *recentIDs {
	return &recentIDs{retention: span, seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// extendRetention keeps ids for longer from now on; never for less, as ops of before are open.
func (s *recentIDs) extendRetention(span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = max(s.retention, span)
}

// add tells whether an id is new.
func (s *recentIDs) add(id string, at time.Time) bool {
	h := maphash.String(s.seed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Sub(s.rotatedAt) >= s.retention || len(s.current) >= maxIDsPerGeneration {
		s.current, s.previous, s.rotatedAt = make(map[uint64]struct{}, len(s.current)), s.current, at
	}
	_, open := s.current[h]
	_, late := s.previous[h]
	if open || late {
		return false
	}
	s.current[h] = struct{}{}
	return true
}
