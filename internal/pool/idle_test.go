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

// noProtocol is for connections on which nothing is sent.
type noProtocol struct{}

func (noProtocol) Append(b []byte, _ *engine.Request, _ deadline.AttemptDeadline) ([]byte, int) { return b, 0 }
func (noProtocol) Answers(io.Reader) Answers                                           { return noAnswers{} }

type noAnswers struct{}

func (noAnswers) Wait() error { return io.EOF }
func (noAnswers) Read(*engine.Request) (engine.Result, bool, error) {
	return engine.Result{}, false, io.EOF
}
func (noAnswers) Pass(*io.PipeWriter) (bool, error) { return false, io.EOF }
func (noAnswers) Rest() int                         { return 0 }

// idle makes an idle connection of a pool.
func idle(p *Pool) *conn {
	ours, theirs := net.Pipe()
	go io.Copy(io.Discard, theirs)
	c := &conn{pool: p, nc: ours, answers: noAnswers{}, work: make(chan *attempt, 1)}
	p.shared.open.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.rest()
	return c
}

// Danger: to make room for one connection, all pools are walked under a mutex that the engine's goroutine needs: with thousands of servers each
// attempt pays for all of them. Here the mutexes of all pools but two are held, so that whoever looks at one more waits for ever.
func TestRoomIsMadeWithoutALookAtOtherPools(t *testing.T) {
	const servers = 3200
	shared := &Shared{DialTimeout: time.Second}
	shared.MaxConnections.Store(2)
	var pools []*Pool
	for n := range servers {
		pools = append(pools, New(shared, fmt.Sprint("server-", n), noProtocol{}))
	}
	oldest, newest := idle(pools[7]), idle(pools[servers-1])
	for n, p := range pools {
		if n != 7 && n != servers-1 {
			p.mu.Lock()
		}
	}
	taken := make(chan bool, 1)
	go func() { taken <- shared.take() }()
	select {
	case ok := <-taken:
		if !ok {
			t.Error("no room was made")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it waits for other pools")
	}
	if !oldest.gone || newest.gone {
		t.Errorf("closed: oldest %v, newest %v", oldest.gone, newest.gone)
	}
}

// One that is used again, or closed, is not in the order any more; with none there is no room.
func TestTheOrderOfIdleConnections(t *testing.T) {
	shared := &Shared{DialTimeout: time.Second}
	p := New(shared, "server", noProtocol{})
	a, b, c := idle(p), idle(p), idle(p)
	p.mu.Lock()
	a.close()
	p.mu.Unlock()
	if first := shared.idle.oldest(); first != b {
		t.Errorf("%p, want %p", first, b)
	}
	if !shared.idle.closeOldest() || !b.gone || c.gone {
		t.Error("the oldest one was to be closed")
	}
	p.Release()
	if shared.idle.closeOldest() || shared.idle.all.Len() != 0 || !c.gone {
		t.Errorf("%d left", shared.idle.all.Len())
	}
}
