package pool

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Shared is what all pools of a proxy have in common.
type Shared struct {
	DialTimeout      time.Duration // a connection not made by then has failed
	IdleTimeout      time.Duration // the servers close idle connections after this
	MaxConnections   atomic.Int64  // open connections of all pools together, at most
	Log       zerolog.Logger
	OnAttemptWritten   func() // called for each push that is written whole; nil: nobody counts
	mu        sync.Mutex
	pools     map[*Pool]struct{}
	idle      idleConns
	open      atomic.Int64
	Opened    atomic.Int64
	Reused    atomic.Int64
	Failed    atomic.Int64 // connections that could not be made
	Panics    atomic.Int64
	Shortages atomic.Int64 // pushes for which no descriptor was left
	Stale     atomic.Int64 // connections found ended, or with an answer to nothing, before a push was written
	Expired   atomic.Int64 // idle connections closed by Sweep
	Spoilt    atomic.Int64 // answers that were none
	Passed    atomic.Int64 // values passed on as they came
	CutOff    atomic.Int64 // and those that were not passed on whole
}

// SetTimeouts changes how long a connection may take to come up, and how long servers keep idle ones.
func (s *Shared) SetTimeouts(dial, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.DialTimeout, s.IdleTimeout = dial, idle
}

func (s *Shared) dial() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.DialTimeout
}

// fresh is since when a connection may have been idle and still be used. Danger: Sweep comes to an older one up to a second later, and
// the server may be ending it as the next push is written: that may have run.
func (s *Shared) fresh(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.IdleTimeout <= 0 {
		return time.Time{}
	}
	return now.Add(-s.IdleTimeout * 9 / 10)
}

// Open is the number of open connections.
func (s *Shared) Open() int64 { return s.open.Load() }

// take reserves a descriptor.
func (s *Shared) take() bool {
	for s.open.Add(1) > s.MaxConnections.Load() {
		s.open.Add(-1)
		if !s.idle.closeOldest() {
			s.Shortages.Add(1)
			return false
		}
	}
	return true
}

// CloseIdle closes all idle connections: nobody will use them.
func (s *Shared) CloseIdle() {
	for _, p := range s.all() {
		p.Release()
	}
}

func (s *Shared) all() []*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.pools))
}

// CloseExpired closes idle connections that the servers have ended, or soon will: a push written as one closes counts as one
// that may have run. It is called every second or so.
func (s *Shared) CloseExpired(now time.Time) {
	fresh := s.fresh(now)
	for _, p := range s.all() {
		p.mu.Lock()
		for _, c := range append([]*conn(nil), p.idle...) {
			if c.since.Before(fresh) || c.look() != nil {
				s.Expired.Add(1)
				c.close()
			}
		}
		p.mu.Unlock()
	}
}

// list adds a pool to those that connections may be reclaimed from, or takes it off.
func (s *Shared) list(p *Pool, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[*Pool]struct{}{}
	}
	if delete(s.pools, p); on {
		s.pools[p] = struct{}{}
	}
}

// MarshalZerologObject writes the counters into a log line.
func (s *Shared) MarshalZerologObject(l *zerolog.Event) {
	l.Int64("open", s.open.Load()).Int64("opened", s.Opened.Load()).Int64("reused", s.Reused.Load()).
		Int64("connect_failed", s.Failed.Load()).Int64("no_descriptor", s.Shortages.Load()).
		Int64("stale", s.Stale.Load()).Int64("expired", s.Expired.Load()).Int64("spoilt", s.Spoilt.Load()).
		Int64("passed", s.Passed.Load()).Int64("cut_off", s.CutOff.Load()).
		Int64("panics", s.Panics.Load())
}
