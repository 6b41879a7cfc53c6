package pool

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Shared is the state that all pools of a proxy have in common: limits, counters and the list of idle connections.
type Shared struct {
	DialTimeout      time.Duration // limit for establishing a connection
	IdleTimeout      time.Duration // servers close connections that have been idle for this long; 0: no limit is known
	MaxConnections   atomic.Int64  // limit for the open connections of all pools together
	Log              zerolog.Logger
	OnAttemptWritten func()      // called for each fully written attempt, probes excluded; may be nil
	HeldValues       ValueBudget // limits the bytes of long values that are held whole; nil: all values are passed on as they arrive

	mu        sync.Mutex
	pools     map[*Pool]struct{}
	idleConns idleList
	openConns atomic.Int64

	Opened              atomic.Int64 // connections established
	Reused              atomic.Int64 // attempts sent over an idle connection
	DialFailures        atomic.Int64 // connections that could not be established
	Panics              atomic.Int64 // panics recovered while serving an attempt
	DescriptorShortages atomic.Int64 // attempts that failed because MaxConnections was reached
	StaleConns          atomic.Int64 // connections found closed, or with unsolicited data, before an attempt was written
	ExpiredConns        atomic.Int64 // idle connections closed by CloseExpired
	InvalidResponses    atomic.Int64 // responses that violated the protocol
	StreamedValues      atomic.Int64 // values streamed to the client as they arrived
	TruncatedValues     atomic.Int64 // streamed values that were not delivered completely
	WholeValues         atomic.Int64 // long values held whole before they were passed on
	IncompleteValues    atomic.Int64 // long values that were to be held and did not arrive whole, or found no memory
}

// SetTimeouts changes the dial timeout and the servers' idle timeout.
func (s *Shared) SetTimeouts(dial, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.DialTimeout, s.IdleTimeout = dial, idle
}

func (s *Shared) dialTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.DialTimeout
}

// idleCutoff returns the earliest time since which a connection may have been idle and still be used. It keeps a tenth of the
// idle timeout as a margin: CloseExpired may reach an older connection up to a second later, when the server is already closing it, and
// an attempt written at that moment counts as possibly executed.
func (s *Shared) idleCutoff(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.IdleTimeout <= 0 {
		return time.Time{}
	}
	return now.Add(-s.IdleTimeout * 9 / 10)
}

// Open returns the number of open connections.
func (s *Shared) Open() int64 { return s.openConns.Load() }

// reserveConn reserves a place among MaxConnections, closing the longest idle connection if there is none left. It returns false
// if no connection is idle.
func (s *Shared) reserveConn() bool {
	for s.openConns.Add(1) > s.MaxConnections.Load() {
		s.openConns.Add(-1)
		if !s.idleConns.closeOldest() {
			s.DescriptorShortages.Add(1)
			return false
		}
	}
	return true
}

// CloseIdle closes the idle connections of all pools.
func (s *Shared) CloseIdle() {
	for _, p := range s.snapshotPools() {
		p.Release()
	}
}

func (s *Shared) snapshotPools() []*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.pools))
}

// CloseExpired closes idle connections that their servers have closed or are about to close: an attempt written while the server closes
// the connection counts as possibly executed. The daemon calls it about once a second.
func (s *Shared) CloseExpired(now time.Time) {
	cutoff := s.idleCutoff(now)
	for _, p := range s.snapshotPools() {
		p.mu.Lock()
		for _, c := range append([]*conn(nil), p.idle...) {
			if c.idleSince.Before(cutoff) || c.checkIdle() != nil {
				s.ExpiredConns.Add(1)
				c.close()
			}
		}
		p.mu.Unlock()
	}
}

// setRegistered adds a pool to those that CloseIdle and CloseExpired visit, or removes it.
func (s *Shared) setRegistered(p *Pool, registered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[*Pool]struct{}{}
	}
	if delete(s.pools, p); registered {
		s.pools[p] = struct{}{}
	}
}

// MarshalZerologObject writes the counters into a log line.
func (s *Shared) MarshalZerologObject(l *zerolog.Event) {
	l.Int64("open", s.openConns.Load()).Int64("opened", s.Opened.Load()).Int64("reused", s.Reused.Load()).
		Int64("connect_failed", s.DialFailures.Load()).Int64("no_descriptor", s.DescriptorShortages.Load()).
		Int64("stale", s.StaleConns.Load()).Int64("expired", s.ExpiredConns.Load()).Int64("spoilt", s.InvalidResponses.Load()).
		Int64("passed", s.StreamedValues.Load()).Int64("cut_off", s.TruncatedValues.Load()).
		Int64("held", s.WholeValues.Load()).Int64("held_incomplete", s.IncompleteValues.Load()).
		Int64("panics", s.Panics.Load())
}
