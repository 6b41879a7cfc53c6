// Package logs writes the proxy's log as zerolog lines. A goroutine of its own does the writing, so that a slow reader
// of the log does not block the engine.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// queueCapacity is the number of lines that may wait to be written. Further lines are dropped and counted.
const queueCapacity = 1024

// closeTimeout limits the wait for the last lines to be written.
const closeTimeout = time.Second

// Sink is an io.Writer that never blocks. It drops lines while its queue is full.
type Sink struct {
	lines     chan []byte   // waiting to be written; a nil line ends the writer
	dropped   atomic.Int64  // lines since the last report of dropped lines
	done      chan struct{} // closed when the writer has ended
	closeOnce sync.Once
}

func init() {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs // zerolog has one format for all loggers of a process
}

// New starts a log that is written to out. level is the zerolog name of the lowest level that is written; info if it is
// empty or unknown.
func New(out io.Writer, level string) (zerolog.Logger, *Sink) {
	s := &Sink{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for line := range s.lines {
			if line == nil {
				return
			}
			out.Write(line)
			if n := s.dropped.Swap(0); n > 0 {
				fmt.Fprintf(out, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log lines dropped\"}\n", n)
			}
		}
	}()
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		minLevel = zerolog.InfoLevel
	}
	return zerolog.New(s).Level(minLevel).With().Timestamp().Logger(), s
}

// Write queues a copy of line, or drops it if the queue is full.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...): // zerolog reuses its buffer
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines, for at most closeTimeout: a log that nobody reads must not keep a proxy from exiting.
func (s *Sink) Close() {
	s.closeOnce.Do(func() {
		timeout := time.NewTimer(closeTimeout)
		defer timeout.Stop()
		select {
		case s.lines <- nil:
		case <-timeout.C:
			return
		}
		select {
		case <-s.done:
		case <-timeout.C:
		}
	})
}
