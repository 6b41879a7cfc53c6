package engine

import (
	"errors"
	"hash/maphash"
	"sync"
	"time"
)

// Reasons for which Submit rejects an op.
var (
	ErrFull        = errors.New("too much is held")
	ErrOverloaded  = errors.New("the engine is behind")
	ErrDuplicateID = errors.New("an op with this id was taken before")
)

const maxIDsPerGeneration = 1 << 15 // bounds the memory used, whatever ids arrive

// recentIDs remembers the ids of accepted ops for at least the maximum duration of an op, and at most about twice that;
// for less if more than maxIDsPerGeneration ids arrive within that time. Clients use a new id for every op. An op with a repeated id would
// receive another client's answer, or be pushed again after the first op's end.
type recentIDs struct {
	retention time.Duration
	seed      maphash.Seed

	mu                sync.Mutex
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

func newRecentIDs(duration time.Duration) *recentIDs {
	return &recentIDs{retention: duration, seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// extendRetention raises the retention. It never lowers it, as ops accepted earlier are still open.
func (s *recentIDs) extendRetention(retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = max(s.retention, retention)
}

// add records an id and reports whether it is new.
func (s *recentIDs) add(id string, at time.Time) bool {
	h := maphash.String(s.seed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Sub(s.rotatedAt) >= s.retention || len(s.current) >= maxIDsPerGeneration {
		s.current, s.previous, s.rotatedAt = make(map[uint64]struct{}, len(s.current)), s.current, at
	}
	_, inCurrent := s.current[h]
	_, inPrevious := s.previous[h]
	if inCurrent || inPrevious {
		return false
	}
	s.current[h] = struct{}{}
	return true
}
