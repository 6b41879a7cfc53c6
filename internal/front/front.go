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
	Submit(*engine.Op) error
	Leave(*engine.Op)
}

// Front serves clients.
type Front struct {
	Engine Engine
	Names  Names
	Conns  int   // open at once
	Piled  int64 // bytes of answers that all clients together may leave unread, and of commands half read
	Log    zerolog.Logger

	listener *net.TCPListener
	mu       sync.Mutex
	conns    map[*conn]struct{}
	closing  bool
	changed  chan struct{} // a connection has ended

	piled, buffered atomic.Int64 // bytes, of unread answers and of the connections' buffers

	accepted, acked, nacked, deadLettered, full, twice, malformed, panics atomic.Int64
	// Why connections were ended.
	slow, silent, halves, idle, evicted, crowded, hopeless atomic.Int64
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
		f.admit(nc)
	}
}

const (
	fresh   = 25 * time.Millisecond  // a client that has just connected is about to send
	patient = 100 * time.Millisecond // for a descriptor to become free
)

// admit takes a new connection in, once there is room for it. Where there is none, others make way: first those that
// have never sent a whole command, the oldest ahead, then the one that has been idle for longest, never one with an
// op open or half a command read. The newest wait for a moment in the listener's queue rather than being thrown out
// by those that come behind them: silent connections arrive by hundreds, and good clients among them.
func (f *Front) admit(nc net.Conn) {
	for late := time.Now().Add(patient); ; {
		f.mu.Lock()
		if len(f.conns) < f.Conns {
			c := newConn(f, nc)
			f.conns[c] = struct{}{}
			f.mu.Unlock()
			go c.read()
			go c.write()
			return
		}
		silent, idle, young := f.dispensable(time.Now().Add(-fresh))
		f.mu.Unlock()
		switch {
		case silent != nil:
			f.evicted.Add(1)
			silent.drop()
			continue
		case idle != nil && !young:
			f.evicted.Add(1)
			idle.finish()
		case time.Now().After(late):
			f.crowded.Add(1)
			nc.Close()
			return
		}
		select {
		case <-f.changed:
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// dispensable finds the oldest connection that has been silent since before a time, or one that has had its last
// answer before it and only waits for the client's end; the one idle for longest; and whether some have said nothing yet
// but may be about to.
func (f *Front) dispensable(before time.Time) (silent, idle *conn, young bool) {
	for c := range f.conns {
		c.mu.Lock()
		switch {
		case c.last:
			if c.used.Before(before) {
				silent = c
			}
		case c.ending || c.half || len(c.slots) > 0:
		case !c.heard:
			young = young || !c.born.Before(before)
			if c.born.Before(before) && (silent == nil || c.born.Before(silent.born)) {
				silent = c
			}
		case idle == nil || c.used.Before(idle.used):
			idle = c
		}
		c.mu.Unlock()
	}
	return silent, idle, young
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
		Int64("turned_away", f.full.Load()).Int64("twice", f.twice.Load()).Int64("malformed", f.malformed.Load()).
		Int64("panics", f.panics.Load()).Int64("slow", f.slow.Load()).Int64("silent", f.silent.Load()).
		Int64("half", f.halves.Load()).Int64("idle", f.idle.Load()).Int64("evicted", f.evicted.Load()).
		Int64("crowded", f.crowded.Load()).Int64("hopeless", f.hopeless.Load())
}
