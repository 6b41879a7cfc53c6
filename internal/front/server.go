// Package front serves clients over RESP2 connections: it reads commands and writes answers in the commands' order.
// Parsing and writing use redcon's functions; redcon's server is not used, since it stops reading a connection while
// one of its commands is open.
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
	"minttray/internal/memory"
	"minttray/internal/pulse"
)

// Engine handles ops.
type Engine interface {
	// Submit hands an op to the engine, which answers it by its Replier unless an error is returned.
	Submit(*engine.Op) error
	// Abandon reports that an op's client is gone.
	Abandon(*engine.Op)
}

// BlockPools lend the memory of what is too large for a connection's own buffers. A nil pool is unlimited.
type BlockPools struct {
	Commands   *memory.Pool // read buffers of commands that are long without their value
	Properties *memory.Pool // long properties of open requests
	Values     *memory.Pool // values of writes, up to engine.MaxContiguousBytes
	LongValues *memory.Pool // parts of longer values; Server.MaxLongValueBytes limits them as a whole
	Answers    *memory.Pool // large values on their way to clients, lent by the wires to the servers
}

// Trim gives up part of the blocks that were not needed since the last call.
func (b BlockPools) Trim() {
	for _, pool := range b.ByHolder() {
		pool.Trim()
	}
}

// ByHolder returns the pools by the names that logs and metrics give to what they hold.
func (b BlockPools) ByHolder() map[string]*memory.Pool {
	return map[string]*memory.Pool{"commands": b.Commands, "properties": b.Properties, "values": b.Values, "long_values": b.LongValues, "answers": b.Answers}
}

// Server serves clients.
type Server struct {
	Engine            Engine
	Names             NameTable    // initial names; SetNames replaces them
	MaxConns          atomic.Int64 // connections open at once
	Metrics           *figures.Metrics
	MaxLongValueBytes int64 // bytes of long values held on their way to servers and to clients, for all clients together
	MaxPendingBytes   int64 // limit for unwrittenBytes and, separately, for bufferedBytes
	MaxCommands       int64 // commands of all clients together whose answers are not yet taken up for writing; 0: no limit
	Blocks            BlockPools
	Log               zerolog.Logger
	Pulse             *pulse.Monitor // detects stalls of this process; nil: stalls are not detected

	listener         *net.TCPListener
	mu               sync.Mutex
	conns            map[*conn]struct{}
	lastEvictionScan time.Time
	connClosed       chan struct{} // receives a value when a connection is closed
	serveDone        chan struct{} // closed once Serve has returned
	backlogEmptyAt   time.Time     // when the accept queue was last seen empty; owned by Serve, then by Close

	unwrittenBytes atomic.Int64 // bytes of answers not yet written, for all clients together
	bufferedBytes  atomic.Int64 // bytes of the connections' read buffers, for all clients together
	commands       atomic.Int64 // entries in the connections' slots, for all clients together

	longValueBudget *semaphore.Weighted // in bytes
	longValueWait   time.Duration       // how long a long value waits for its share of the budget
	names           atomic.Pointer[NameTable]
	closePolicy     atomic.Int32 // lifecycle.ClosePolicy
	lameDuck        atomic.Bool  // PING is answered with an error, so that clients go to another proxy

	accepted   atomic.Int64
	truncated  atomic.Int64 // long answers that ended early or had another length than announced
	rejected   atomic.Int64 // requests refused for lack of room
	duplicates atomic.Int64 // requests with the id of an open one
	malformed  atomic.Int64 // commands answered with an error: invalid, or too much input buffered
	panics     atomic.Int64

	// Connections ended, by reason.
	slowReaders          atomic.Int64 // answers were not read
	silentTimeouts       atomic.Int64 // no command was ever sent
	partialTimeouts      atomic.Int64 // the rest of a command did not arrive
	idleTimeouts         atomic.Int64
	evicted              atomic.Int64 // closed to make room for others
	rejectedConns        atomic.Int64 // closed unread for lack of room
	tooManyErrors        atomic.Int64 // sent too many bad commands
	evictedBeforeCommand atomic.Int64 // of those evicted: no command was ever sent
	overflowRefused      atomic.Int64 // there was no room, and their requests were refused

	emptyReadTurns atomic.Int64 // reads that ended at their deadline and were repeated with no later one

	turns        readTurns
	lateWarnings warningLimiter
}

// Listen opens the address. If shared, another process may serve clients there as well, and the newer one receives new
// connections.
func (srv *Server) Listen(addr string, shared bool) error {
	listening := time.Now()
	l, err := listen(addr, shared)
	if err != nil {
		return err
	}
	if shared {
		if err := steerToNewest(l); err != nil {
			srv.Log.Warn().Err(err).Msg("cannot steer new connections to the newest listener; the kernel distributes them by hash")
		}
	}
	srv.SetNames(srv.Names)
	srv.listener, srv.conns, srv.connClosed = l, map[*conn]struct{}{}, make(chan struct{}, 1)
	srv.longValueBudget = semaphore.NewWeighted(srv.MaxLongValueBytes)
	srv.longValueWait = longValueWaitTimeout
	srv.serveDone = make(chan struct{})
	srv.turns = newReadTurns()
	srv.backlogEmptyAt = listening
	return nil
}

// LongValueBudget returns the budget of long values under way, for values that are held on their way to clients. It is
// set by Listen.
func (srv *Server) LongValueBudget() *semaphore.Weighted { return srv.longValueBudget }

// SetNames replaces the names that commands are parsed with.
func (srv *Server) SetNames(n NameTable) { srv.names.Store(&n) }

// Classes returns the sorted names of the categories that requests may name.
func (srv *Server) Classes() []string {
	return slices.Sorted(maps.Keys(srv.names.Load().categories))
}

// Addr returns the address that clients connect to.
func (srv *Server) Addr() string { return srv.listener.Addr().String() }

// Serve accepts connections until Close is called.
func (srv *Server) Serve() {
	defer close(srv.serveDone)
	for {
		backlogged := srv.backlogPending()
		nc, err := srv.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return
			}
			srv.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		srv.accepted.Add(1)
		srv.admit(nc, srv.arrivalBound(backlogged))
	}
}

const (
	// acceptRetryDelay avoids a busy loop while the descriptor table is full.
	acceptRetryDelay = 10 * time.Millisecond
	// longValueWaitTimeout is how long a long value waits for its share of the budget.
	longValueWaitTimeout = 2 * time.Second
	// goldenRatio spreads the drain positions of consecutive connections evenly.
	goldenRatio = 0.6180339887498949
	// firstCommandGrace is how long a new connection has for its first command while clients are sent away.
	firstCommandGrace = 300 * time.Millisecond
)

func (srv *Server) removeConn(c *conn) {
	srv.mu.Lock()
	delete(srv.conns, c)
	srv.mu.Unlock()
	select {
	case srv.connClosed <- struct{}{}:
	default:
	}
}

// logPanic logs and counts a panic, which ends only the connection it occurred on.
func (srv *Server) logPanic(c *conn, recovered any) {
	srv.panics.Add(1)
	srv.Log.Error().Interface("panic", recovered).Str("client", c.nc.RemoteAddr().String()).Bytes("stack", debug.Stack()).
		Msg("panic while serving a client connection")
}

// ApplyPhase sets which connections are closed and whether PING succeeds, and begins to close those that are due: each
// closes once all commands read on it are answered. fraction is the share, 0 to 1, of unused connections that are
// closed under any policy. It is called repeatedly.
func (srv *Server) ApplyPhase(policy lifecycle.ClosePolicy, acceptPing bool, fraction float64) {
	srv.lameDuck.Store(!acceptPing)
	srv.closePolicy.Store(int32(policy))
	if policy < lifecycle.CloseInformed && fraction <= 0 {
		return
	}
	srv.mu.Lock()
	conns := make([]*conn, 0, len(srv.conns))
	for c := range srv.conns {
		conns = append(conns, c)
	}
	srv.mu.Unlock()
	createdBefore := time.Now().Add(-firstCommandGrace)
	for _, c := range conns {
		if policy == lifecycle.CloseAll || policy == lifecycle.CloseInformed && c.hadTimeForCommand(createdBefore) ||
			c.drainPosition < fraction && c.isUnused() {
			c.requestClose()
		}
	}
}

// Close stops listening. Closing a listener resets the connections in its accept queue, so the queue is emptied up to
// the last moment.
func (srv *Server) Close() {
	srv.listener.SetDeadline(pastDeadline)
	<-srv.serveDone
	for _, nc := range acceptBacklog(srv.listener) {
		srv.accepted.Add(1)
		srv.admit(nc, srv.backlogEmptyAt)
	}
	for _, nc := range acceptBacklog(srv.listener) { // arrived meanwhile, since admit may wait
		srv.accepted.Add(1)
		defer srv.admit(nc, srv.backlogEmptyAt)
	}
	srv.listener.Close()
}

// OpenConns returns the number of client connections.
func (srv *Server) OpenConns() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return len(srv.conns)
}

// Evicted returns the number of connections that were closed to make room for others.
func (srv *Server) Evicted() int64 { return srv.evicted.Load() }

// HeldBytes returns the bytes of what the connections hold beside the blocks, by holder.
func (srv *Server) HeldBytes() map[string]int64 {
	return map[string]int64{"read_buffers": srv.bufferedBytes.Load(), "unwritten_answers": srv.unwrittenBytes.Load()}
}

// EmptyReadTurns returns how often a connection's reader came back from its wait with neither input nor an event and
// then waited with no later deadline. A reader that spins counts many; a sound one counts none.
func (srv *Server) EmptyReadTurns() int64 { return srv.emptyReadTurns.Load() }

// MarshalZerologObject adds the counters to a log line.
func (srv *Server) MarshalZerologObject(l *zerolog.Event) {
	l.Int("open", srv.OpenConns()).Int64("accepted", srv.accepted.Load()).Int64("acked", srv.Metrics.Total(figures.Served)).
		Int64("nacked", srv.Metrics.Total(figures.Refused)).Int64("dead_lettered", srv.Metrics.Total(figures.Failed)).
		Int64("turned_away", srv.rejected.Load()).Int64("twice", srv.duplicates.Load()).Int64("malformed", srv.malformed.Load()).
		Int64("panics", srv.panics.Load()).Int64("slow", srv.slowReaders.Load()).Int64("silent", srv.silentTimeouts.Load()).
		Int64("half", srv.partialTimeouts.Load()).Int64("idle", srv.idleTimeouts.Load()).Int64("evicted", srv.evicted.Load()).
		Int64("evicted_silent", srv.evictedBeforeCommand.Load()).Int64("overflowed", srv.overflowRefused.Load()).Int64("warnings_dropped", srv.lateWarnings.dropped.Load()).
		Int64("crowded", srv.rejectedConns.Load()).Int64("hopeless", srv.tooManyErrors.Load()).Int64("cut_off", srv.truncated.Load())
}
