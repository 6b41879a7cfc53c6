// Package front holds the clients' side: RESP2 connections, commands in, answers out in their order. Parsing and
// writing are redcon's; its server is not used, since it holds a connection's reading up while a command is open.
package front

import (
	"errors"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"minttray/decide/lifecycle"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/pulse"
)

// Engine is where ops go.
type Engine interface {
	Submit(*engine.Op) error
	Abandon(*engine.Op)
}

// Server serves clients.
type Server struct {
	Engine            Engine
	Names             NameTable    // at first
	MaxConns          atomic.Int64 // open at once, at most
	Metrics           *figures.Book
	MaxLongValueBytes int64 // bytes of long values that all clients together may have under way to caches and origin
	MaxPendingBytes   int64 // bytes of answers that all clients together may leave unread, and of commands half read
	Log               zerolog.Logger
	Pulse             *pulse.Monitor // tells of stalls of this process; nil: none is known

	listener *net.TCPListener
	mu       sync.Mutex
	conns    map[*conn]struct{}
	changed  chan struct{} // a connection has ended
	served   chan struct{} // closed once Serve has ended
	vacant   time.Time     // no connection waited to be accepted then; Serve's, and Close's once that has ended

	piled, buffered atomic.Int64 // bytes, of unread answers and of the connections' buffers

	long  *semaphore.Weighted
	room  time.Duration // a long value waits so long for its bytes
	names atomic.Pointer[NameTable]
	phase atomic.Int32 // lifecycle.Phase
	away  atomic.Bool  // clients are sent away: PING says no

	accepted, cutOff, full, twice, malformed, panics atomic.Int64
	// Why connections were ended.
	slow, silent, halves, idle, evicted, crowded, hopeless atomic.Int64
	evictedSilent                                          atomic.Int64 // of those evicted: nothing was ever asked on them
	overflowed                                             atomic.Int64 // there was no room: what was asked was refused

	late warnings
}

// Listen opens the address; shared: another process may serve clients there as well, and gives new ones over.
func (f *Server) Listen(addr string, shared bool) error {
	listening := time.Now()
	l, err := listen(addr, shared)
	if err != nil {
		return err
	}
	if shared {
		if err := steer(l); err != nil {
			f.Log.Warn().Err(err).Msg("new connections are shared by chance with a process that ends")
		}
	}
	f.SetNames(f.Names)
	f.listener, f.conns, f.changed = l, map[*conn]struct{}{}, make(chan struct{}, 1)
	f.long, f.room = semaphore.NewWeighted(f.MaxLongValueBytes), longRoom
	f.served = make(chan struct{})
	f.vacant = listening
	return nil
}

// SetNames puts other names in place of those that commands are read by.
func (f *Server) SetNames(n NameTable) { f.names.Store(&n) }

// Classes names the categories that are asked for.
func (f *Server) Classes() []string { return slices.Sorted(maps.Keys(f.names.Load().categories)) }

// Addr is where clients connect.
func (f *Server) Addr() string { return f.listener.Addr().String() }

// Serve accepts until Stop.
func (f *Server) Serve() {
	defer close(f.served)
	for {
		queued := f.queued()
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
		f.admit(nc, f.since(queued))
	}
}

const longRoom = 2 * time.Second // for a long value's bytes

func (f *Server) remove(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// panicked logs and counts a panic, which ends no more than the connection that it happened on.
func (f *Server) panicked(c *conn, fault any) {
	f.panics.Add(1)
	f.Log.Error().Interface("panic", fault).Str("client", c.nc.RemoteAddr().String()).Bytes("stack", debug.Stack()).
		Msg("panic on a client's connection")
}

const golden = 0.6180339887498949 // places of connections that follow each other lie far apart

const newcomer = 300 * time.Millisecond // for a client's first command, while clients are sent away

// ApplyPhase says what becomes of connections, and whether PING says no. It is called again and again, and ends connections that
// are due: each as soon as all that was read on it is answered. part of those that are not used end in any phase.
func (f *Server) ApplyPhase(phase lifecycle.ClosePolicy, yes bool, part float64) {
	f.away.Store(!yes)
	f.phase.Store(int32(phase))
	if phase < lifecycle.CloseInformed && part <= 0 {
		return
	}
	f.mu.Lock()
	conns := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		conns = append(conns, c)
	}
	f.mu.Unlock()
	born := time.Now().Add(-newcomer)
	for _, c := range conns {
		if phase == lifecycle.CloseAll || phase == lifecycle.CloseInformed && c.old(born) || c.place < part && c.unused() {
			c.finish()
		}
	}
}

// Close ends listening. Danger: what stands in the queue as it closes is reset, so it is taken up to the last moment.
func (f *Server) Close() {
	f.listener.SetDeadline(passed)
	<-f.served
	for _, nc := range rest(f.listener) {
		f.accepted.Add(1)
		f.admit(nc, f.vacant)
	}
	for _, nc := range rest(f.listener) { // those that came meanwhile: admitting may wait
		f.accepted.Add(1)
		defer f.admit(nc, f.vacant)
	}
	f.listener.Close()
}

// OpenConns is the number of clients' connections.
func (f *Server) OpenConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Evicted is the number of connections that made way for others.
func (f *Server) Evicted() int64 { return f.evicted.Load() }

// MarshalZerologObject writes the counters into a log line.
func (f *Server) MarshalZerologObject(l *zerolog.Event) {
	l.Int("open", f.OpenConns()).Int64("accepted", f.accepted.Load()).Int64("acked", f.Metrics.Sum(figures.Served)).
		Int64("nacked", f.Metrics.Sum(figures.Refused)).Int64("dead_lettered", f.Metrics.Sum(figures.Failed)).
		Int64("turned_away", f.full.Load()).Int64("twice", f.twice.Load()).Int64("malformed", f.malformed.Load()).
		Int64("panics", f.panics.Load()).Int64("slow", f.slow.Load()).Int64("silent", f.silent.Load()).
		Int64("half", f.halves.Load()).Int64("idle", f.idle.Load()).Int64("evicted", f.evicted.Load()).
		Int64("evicted_silent", f.evictedSilent.Load()).Int64("overflowed", f.overflowed.Load()).Int64("warnings_dropped", f.late.dropped.Load()).
		Int64("crowded", f.crowded.Load()).Int64("hopeless", f.hopeless.Load()).Int64("cut_off", f.cutOff.Load())
}
