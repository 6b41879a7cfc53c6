package pool

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/engine"
)

// noProtocol is a Protocol for connections that carry no requests.
type noProtocol struct{}

func (noProtocol) AppendRequest(b []byte, _ *engine.Request, _ deadline.AttemptDeadline) ([]byte, int) {
	return b, 0
}
func (noProtocol) NewResponseReader(io.Reader) ResponseReader { return noResponses{} }

type noResponses struct{}

func (noResponses) Wait() error { return io.EOF }
func (noResponses) ReadResponse(*engine.Request) (engine.Result, bool, error) {
	return engine.Result{}, false, io.EOF
}
func (noResponses) StreamValue(*io.PipeWriter) (bool, error) { return false, io.EOF }
func (noResponses) Buffered() int                            { return 0 }

// newIdleConn adds an idle connection to a pool.
func newIdleConn(p *Pool) *conn {
	clientEnd, serverEnd := net.Pipe()
	go io.Copy(io.Discard, serverEnd)
	c := &conn{pool: p, netConn: clientEnd, responses: noResponses{}, attempts: make(chan *attempt, 1)}
	p.shared.openConns.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.makeIdle()
	return c
}

// Guards against a walk over all pools when a connection must be closed to make room: with thousands of servers, each attempt would take
// every pool's mutex, which the engine's goroutine needs. The test holds the mutexes of all pools but two, so that such a walk blocks.
func TestRoomIsMadeWithoutALookAtOtherPools(t *testing.T) {
	const servers = 3200
	shared := &Shared{DialTimeout: time.Second}
	shared.MaxConnections.Store(2)
	var pools []*Pool
	for n := range servers {
		pools = append(pools, New(shared, fmt.Sprint("server-", n), noProtocol{}))
	}
	oldest, newest := newIdleConn(pools[7]), newIdleConn(pools[servers-1])
	for n, p := range pools {
		if n != 7 && n != servers-1 {
			p.mu.Lock()
		}
	}
	reserved := make(chan bool, 1)
	go func() { reserved <- shared.reserveConn() }()
	select {
	case ok := <-reserved:
		if !ok {
			t.Error("no idle connection was closed to make room")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("reserveConn blocks on the mutex of another pool")
	}
	if !oldest.closed || newest.closed {
		t.Errorf("closed: oldest %v, newest %v", oldest.closed, newest.closed)
	}
}

// A closed connection leaves the list, and closeOldest reports false when no connection is idle.
func TestTheOrderOfIdleConnections(t *testing.T) {
	shared := &Shared{DialTimeout: time.Second}
	p := New(shared, "server", noProtocol{})
	a, b, c := newIdleConn(p), newIdleConn(p), newIdleConn(p)
	p.mu.Lock()
	a.close()
	p.mu.Unlock()
	if oldest := shared.idleConns.oldest(); oldest != b {
		t.Errorf("oldest connection %p, want %p", oldest, b)
	}
	if !shared.idleConns.closeOldest() || !b.closed || c.closed {
		t.Error("the oldest connection was not closed, or another one was")
	}
	p.Release()
	if shared.idleConns.closeOldest() || shared.idleConns.order.Len() != 0 || !c.closed {
		t.Errorf("%d connections left in the list", shared.idleConns.order.Len())
	}
}
