// Package front holds the clients' side: RESP2 connections, commands in, answers out in their order. Parsing and
// writing are redcon's; its server is not used, since it holds a connection's reading up while a command is open.
package front

import (
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"minttray/internal/engine"
)

const inUse = 5 * time.Second // for an address to become free

// Engine is where ops go.
type Engine interface {
	Submit(*engine.Op) bool
	Leave(*engine.Op)
}

// Front serves clients.
type Front struct {
	Engine Engine
	Names  Names
	Conns  int   // open at once
	Piled  int64 // bytes of answers that all clients together may leave unread
	Log    zerolog.Logger

	listener *net.TCPListener
	mu       sync.Mutex
	conns    map[*conn]struct{}
	closing  bool
	changed  chan struct{} // a connection has ended

	piled                                                                atomic.Int64
	slow, accepted, acked, nacked, deadLettered, full, malformed, panics atomic.Int64
}

// Listen opens the address. If the proxy that was here before is still ending, it waits for a while.
func (f *Front) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	for late := time.Now().Add(inUse); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(late); {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return err
	}
	f.listener, f.conns, f.changed = l.(*net.TCPListener), map[*conn]struct{}{}, make(chan struct{}, 1)
	return nil
}

// Addr is where clients connect.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Serve accepts until Stop.
func (f *Front) Serve() {
	for {
		nc, err := f.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return
			}
			f.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(10 * time.Millisecond) // a full descriptor table must not be spun on
			continue
		}
		f.accepted.Add(1)
		c := newConn(f, nc)
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		go c.read()
		go c.write()
		f.shrink(c)
	}
}

// shrink brings the connections back within their number before the next is accepted: the one that has been idle
// for longest ends, but for the newest, which is about to bring its first command.
func (f *Front) shrink(newest *conn) {
	for {
		f.mu.Lock()
		n := len(f.conns)
		var oldest *conn
		if n > f.Conns {
			for c := range f.conns {
				c.mu.Lock()
				if c != newest && len(c.slots) == 0 && !c.half && !c.ending && (oldest == nil || c.used.Before(oldest.used)) {
					oldest = c
				}
				c.mu.Unlock()
			}
		}
		f.mu.Unlock()
		if n <= f.Conns {
			return
		}
		if oldest != nil {
			oldest.finish()
		}
		select {
		case <-f.changed:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *Front) remove(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// panicked logs and counts a panic, which ends no more than the connection that it happened on.
func (f *Front) panicked(c *conn, fault any) {
	f.panics.Add(1)
	f.Log.Error().Interface("panic", fault).Str("client", c.nc.RemoteAddr().String()).Bytes("stack", debug.Stack()).
		Msg("panic on a client's connection")
}

// Stop goes on accepting for a span, as clients still come, and then ends each connection as soon as all that
// was read on it is answered. It returns when none is left or at the latest after longest.
func (f *Front) Stop(span, longest time.Duration) (left int) {
	f.listener.SetDeadline(time.Now().Add(span)) // Serve first takes all that stands in the queue
	time.Sleep(span + 20*time.Millisecond)
	f.listener.Close()
	late := time.Now().Add(longest)
	for {
		f.mu.Lock()
		conns := make([]*conn, 0, len(f.conns))
		for c := range f.conns {
			conns = append(conns, c)
		}
		f.mu.Unlock()
		if len(conns) == 0 || time.Now().After(late) {
			return len(conns)
		}
		for _, c := range conns {
			c.finish()
		}
		select {
		case <-f.changed:
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// MarshalZerologObject writes the counters into a log line.
func (f *Front) MarshalZerologObject(l *zerolog.Event) {
	f.mu.Lock()
	open := len(f.conns)
	f.mu.Unlock()
	l.Int("open", open).Int64("accepted", f.accepted.Load()).Int64("acked", f.acked.Load()).
		Int64("nacked", f.nacked.Load()).Int64("dead_lettered", f.deadLettered.Load()).
		Int64("turned_away", f.full.Load()).Int64("slow", f.slow.Load()).Int64("malformed", f.malformed.Load()).Int64("panics", f.panics.Load())
}
