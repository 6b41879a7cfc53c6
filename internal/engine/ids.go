package engine

import (
	"errors"
	"sync"
	"time"

	"minttray/internal/claims"
)

// Reasons for which Submit rejects an op.
var (
	ErrFull        = errors.New("too much is held")
	ErrOverloaded  = errors.New("the engine is behind")
	ErrDuplicateID = errors.New("an op with this id was taken before")
	ErrUnknownID   = errors.New("it can't be told whether an op with this id was taken before")
)

const maxIDsPerGeneration = 1 << 15 // bounds the memory used, whatever ids arrive

// idGenerations is a set of ids in two generations, of which the older is forgotten when a new one begins.
type idGenerations struct {
	current, previous map[uint64]struct{}
	rotatedAt         time.Time // when current began
}

func (g *idGenerations) contains(hash uint64) bool {
	_, inCurrent := g.current[hash]
	_, inPrevious := g.previous[hash]
	return inCurrent || inPrevious
}

// isFull reports whether the current generation takes no further id.
func (g *idGenerations) isFull() bool { return len(g.current) >= maxIDsPerGeneration }

// rotate begins a new generation.
func (g *idGenerations) rotate(at time.Time) {
	g.current, g.previous, g.rotatedAt = make(map[uint64]struct{}, len(g.current)), g.current, at
}

// recentIDs remembers the ids of accepted ops for at least the maximum duration of an op, and at most about twice that. Clients use a
// new id for every op. An op with a repeated id would receive another client's answer, or be pushed again after the first op's end.
//
// If more than maxIDsPerGeneration ids arrive within that time, ids are forgotten earlier, except those of at-most-once ops: further
// ones are rejected then, whoever sends them.
//
// While another process of this proxy serves, each id is also claimed in a table that both map.
type recentIDs struct {
	mu            sync.Mutex
	retention     time.Duration
	key           claims.Key    // hashes the ids of current and previous
	idGenerations               // of all ops
	atMostOnce    idGenerations // of at-most-once ops

	shared     *claims.Table // nil: no other process serves, or it can't be asked
	leaveAt    time.Time     // when the table is left because the last claims of the other process have ended; zero: it serves
	unanswered bool          // another process serves and shares no table: what it has taken is unknown
}

// newRecentIDs returns the ids of a process that starts, beside another one if shared is not nil.
func newRecentIDs(retention time.Duration, shared *claims.Table) *recentIDs {
	s := &recentIDs{retention: retention, key: claims.NewKey(), shared: shared}
	s.rotate(time.Time{})
	s.atMostOnce.rotate(time.Time{})
	if shared != nil {
		s.key = shared.Key()
	}
	return s
}

// extendRetention raises the retention. It never lowers it, as ops accepted earlier are still open.
func (s *recentIDs) extendRetention(retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = max(s.retention, retention)
}

// add records an id. It returns ErrDuplicateID if the id is not new, and ErrUnknownID if that can't be told for an at-most-once op.
func (s *recentIDs) add(id string, at time.Time, atMostOnce bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := s.key.Hash(id)
	s.forget(at)
	if s.contains(hash) || s.atMostOnce.contains(hash) {
		return ErrDuplicateID
	}
	if atMostOnce && s.atMostOnce.isFull() {
		return ErrUnknownID
	}
	if err := s.claim(id, hash, at, atMostOnce); err != nil {
		return err
	}
	if atMostOnce {
		s.atMostOnce.current[hash] = struct{}{}
	} else {
		s.current[hash] = struct{}{}
	}
	return nil
}

// forget begins new generations where the current one is old, or full and not of at-most-once ops. The mutex is held.
func (s *recentIDs) forget(at time.Time) {
	if at.Sub(s.rotatedAt) >= s.retention || s.isFull() {
		s.rotate(at)
	}
	if at.Sub(s.atMostOnce.rotatedAt) >= s.retention {
		s.atMostOnce.rotate(at)
	}
}

// claim claims an id in the shared table, if there is one. The mutex is held.
func (s *recentIDs) claim(id string, hash uint64, at time.Time, atMostOnce bool) error {
	if s.shared != nil && !s.leaveAt.IsZero() && at.After(s.leaveAt) {
		s.leave()
	}
	if s.unanswered && atMostOnce {
		return ErrUnknownID
	}
	if s.shared == nil {
		return nil
	}
	if key := s.shared.Key(); key != s.key {
		hash = key.Hash(id)
	}
	switch s.shared.Claim(hash, at, s.retention) {
	case claims.Taken:
		return ErrDuplicateID
	case claims.Full:
		if atMostOnce {
			return ErrUnknownID
		}
	}
	return nil
}

// leave unmaps the shared table. The mutex is held.
func (s *recentIDs) leave() {
	s.shared.Close()
	s.shared, s.leaveAt = nil, time.Time{}
}

// share claims all remembered ids in a new table, in which both processes claim from now on. The table must have this process's key.
func (s *recentIDs) share(table *claims.Table, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, generation := range []map[uint64]struct{}{s.current, s.previous, s.atMostOnce.current, s.atMostOnce.previous} {
		for hash := range generation {
			table.Claim(hash, now, s.retention)
		}
	}
	if s.shared != nil {
		if s.shared.Key() == table.Key() {
			table.CopyFrom(s.shared, now)
		}
		s.leave()
	}
	s.shared, s.leaveAt = table, time.Time{}
}

// join has this process claim in the table of another one.
func (s *recentIDs) join(table *claims.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shared != nil {
		s.leave()
	}
	s.shared, s.leaveAt, s.unanswered = table, time.Time{}, false
}

// setAlone records that no other process serves any more. Its claims hold until they end.
func (s *recentIDs) setAlone(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = false
	if s.shared != nil && s.leaveAt.IsZero() {
		s.leaveAt = now.Add(s.retention)
	}
}

// setUnanswered records that another process serves that shares no table.
func (s *recentIDs) setUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = s.shared == nil
}

// isUnanswered reports whether another process serves that shares no table.
func (s *recentIDs) isUnanswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unanswered
}

// IDKey returns the key by which this process hashes the ids that it remembers.
func (e *Engine) IDKey() claims.Key { return e.ids.key }

// ShareIDs claims the ids of all ops that may be open in a table that was created with IDKey, and all later ones. From then on an op is
// rejected whose id another process has claimed there. The engine unmaps the table when it is no longer needed.
func (e *Engine) ShareIDs(table *claims.Table) { e.ids.share(table, time.Now()) }

// JoinIDs is ShareIDs in a process that joins the table of another one.
func (e *Engine) JoinIDs(table *claims.Table) { e.ids.join(table) }

// SetIDsUnknown records that another process serves whose ids this one can't tell: at-most-once ops are rejected until it is gone, or
// JoinIDs.
func (e *Engine) SetIDsUnknown() { e.ids.setUnanswered() }

// IDsUnknown reports whether at-most-once ops are rejected because another process's ids can't be told.
func (e *Engine) IDsUnknown() bool { return e.ids.isUnanswered() }

// SetAlone records that no other process serves.
func (e *Engine) SetAlone() { e.ids.setAlone(time.Now()) }
