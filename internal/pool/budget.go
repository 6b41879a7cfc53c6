package pool

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Shared is what all pools of a proxy have in common.
type Shared struct {
	Dial      time.Duration // a connection not made by then has failed
	Idle      time.Duration // the servers close idle connections after this
	Sockets   int64         // open connections of all pools together
	Log       zerolog.Logger
	open      atomic.Int64
	Opened    atomic.Int64
	Reused    atomic.Int64
	Failed    atomic.Int64 // connections that could not be made
	Panics    atomic.Int64
	Shortages atomic.Int64 // pushes for which no descriptor was left
}

// Open is the number of open connections.
func (s *Shared) Open() int64 { return s.open.Load() }

// take reserves a descriptor.
func (s *Shared) take() bool {
	if s.open.Add(1) > s.Sockets {
		s.open.Add(-1)
		s.Shortages.Add(1)
		return false
	}
	return true
}

// MarshalZerologObject writes the counters into a log line.
func (s *Shared) MarshalZerologObject(l *zerolog.Event) {
	l.Int64("open", s.open.Load()).Int64("opened", s.Opened.Load()).Int64("reused", s.Reused.Load()).
		Int64("connect_failed", s.Failed.Load()).Int64("no_descriptor", s.Shortages.Load()).
		Int64("panics", s.Panics.Load())
}
