package front

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"minttray/internal/engine"
	"minttray/internal/pulse"
)

// The tests keep a reader from commands that wait unread in the kernel's buffer: the deadlines of their clients must
// still count from the arrival.
const (
	readDelay  = 500 * time.Millisecond
	clientWait = time.Minute

	scheduleTolerance = readDelay / 2 // for the delay until a woken reader runs
)

var clientWaitMS = fmt.Sprint(clientWait.Milliseconds())

// checkDeadline checks that a request's deadline is no later than its client's, and no earlier than if the request had
// arrived when the test began to send it. Both may differ by scheduleTolerance.
func checkDeadline(t *testing.T, o *engine.Op, begun, written time.Time) {
	t.Helper()
	if excess := o.Request.Deadline.Remaining(written) - clientWait; excess > scheduleTolerance {
		t.Errorf("%s: deadline is %v later than its client's", o.Request.ID, excess)
	}
	if missing := clientWait - o.Request.Deadline.Remaining(begun); missing > scheduleTolerance {
		t.Errorf("%s: deadline is %v earlier than its client's", o.Request.ID, missing)
	}
}

// Guards against a deadline that counts from when the budget had room: the value waits for the budget while all of it is
// in the kernel's buffer.
func TestTheTimeOfAValueThatWaitsForRoomRunsOn(t *testing.T) {
	value := strings.Repeat("v", 100<<10)
	srv, e := startServer(t, func(srv *Server) { srv.MaxLongValueBytes = int64(len(value)) })
	set := func(id string) string {
		return command("CACHE.SET", "k", id, "c=put,d="+clientWaitMS, value)
	}
	first, second := dial(t, srv), dial(t, srv)
	first.send(set("first"))
	holder := receive(t, e.submitted)
	begun := time.Now()
	second.send(set("second"))
	written := time.Now()
	time.Sleep(readDelay)
	holder.OnRelease()
	checkDeadline(t, receive(t, e.submitted), begun, written)
}

// Guards against a deadline that counts from the read: a client sends more commands at once than may be outstanding, and
// the last ones are read only when the first are answered.
func TestTheTimeOfACommandBehindOthersRunsOn(t *testing.T) {
	const many = maxOutstandingCommands + 100
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	var commands strings.Builder
	for i := range many {
		commands.WriteString(command("CACHE.GET", "k", fmt.Sprint("id", i), "c=read,d="+clientWaitMS))
	}
	begun := time.Now()
	c.send(commands.String())
	written := time.Now()
	var ops []*engine.Op
	for range maxOutstandingCommands {
		ops = append(ops, receive(t, e.submitted))
	}
	time.Sleep(readDelay)
	for _, o := range ops {
		o.Reply.Nacked(0)
	}
	for range many - maxOutstandingCommands {
		ops = append(ops, receive(t, e.submitted))
	}
	for _, o := range ops {
		checkDeadline(t, o, begun, written)
	}
}

// Guards against a deadline that counts from the accept: a connection waits in the accept queue with a command sent on
// it.
func TestTheTimeOfACommandOnAConnectionNotYetAcceptedRunsOn(t *testing.T) {
	srv, e := startServer(t, nil)
	begun := time.Now()
	srv.mu.Lock() // the accept loop waits at the next connection
	dial(t, srv)
	last := dial(t, srv)
	last.send(command("CACHE.GET", "k", "last", "c=read,d="+clientWaitMS))
	written := time.Now()
	time.Sleep(readDelay)
	srv.mu.Unlock()
	o := receive(t, e.submitted)
	if o.Request.ID != "last" || time.Since(written) < readDelay {
		t.Fatalf("got request %s after %v: the test did not delay the accept of the last connection", o.Request.ID, time.Since(written))
	}
	checkDeadline(t, o, begun, written)
}

// Guards against a deadline that counts from the read when a command arrives while the process is stopped or not
// scheduled. Once the process has run for a while, deadlines count as usual again. The kernel keeps no receive time for
// Unix sockets, so only the stall monitor bounds the arrival here.
func TestTheTimeOfACommandThatCameInAStallRunsOn(t *testing.T) {
	monitor := pulse.New(time.Now())
	srv, e := startServer(t, func(srv *Server) { srv.Pulse = monitor })
	c := connPairOn(t, "unix", filepath.Join(t.TempDir(), "s"), func(nc net.Conn) { srv.admit(nc, time.Now()) })
	c.send(command("PING"))
	c.expect("+PONG")
	for until := time.Now().Add(readDelay); time.Now().Before(until); time.Sleep(pulse.BeatInterval / 4) { // until the reader waits
		monitor.Beat(time.Now())
	}
	last := time.Now()
	monitor.Beat(last)
	time.Sleep(readDelay)
	c.send(command("CACHE.GET", "k", "stalled", "c=read,d="+clientWaitMS))
	o := receive(t, e.submitted)
	if left := o.Request.Deadline.Remaining(last); left != clientWait {
		t.Errorf("time left at the last beat before the stall: %v", left)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for clock := time.NewTicker(pulse.BeatInterval / 4); ; {
			select {
			case now := <-clock.C:
				monitor.Beat(now)
			case <-stop:
				clock.Stop()
				return
			}
		}
	}()
	time.Sleep(readDelay)
	begun := time.Now()
	c.send(command("CACHE.GET", "k", "after", "c=read,d="+clientWaitMS))
	written := time.Now()
	o = receive(t, e.submitted)
	close(stop)
	<-stopped
	checkDeadline(t, o, begun, written)
}

// A client that pauses before or within a command gets its whole time: the pause is not subtracted.
func TestARestTakesNothingFromACommand(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	for _, id := range []string{"first", "second"} {
		time.Sleep(readDelay)
		begun := time.Now()
		request := command("CACHE.GET", "k", id, "c=read,d="+clientWaitMS)
		c.send(request[:20])
		time.Sleep(readDelay)
		restSentAt := time.Now()
		c.send(request[20:])
		written := time.Now()
		o := receive(t, e.submitted)
		if begun.After(restSentAt) {
			t.Fatal("the command was not sent in two parts")
		}
		checkDeadline(t, o, restSentAt, written)
		o.Reply.Nacked(0)
		c.expect("-BUSY")
	}
}

// gatedWakeRaw is a socket whose reader finds no input at first, and is held at the gate after it is woken.
type gatedWakeRaw struct {
	syscall.RawConn
	woken gate
}

func (r gatedWakeRaw) Read(f func(fd uintptr) bool) error {
	first := true
	return r.RawConn.Read(func(fd uintptr) bool {
		if !first {
			r.woken.wait()
		}
		first = false
		return f(fd)
	})
}

type gatedWakeSocket struct {
	*net.TCPConn
	woken gate
}

func (c *gatedWakeSocket) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return gatedWakeRaw{raw, c.woken}, err
}

// Guards against a wrong arrival bound when one stall follows another: input of the first stall is read after the second
// one or much later. A process that runs only part of the time would date each request too early.
func TestTheTimeOfACommandThatCameInAnEarlierStall(t *testing.T) {
	monitor := pulse.New(time.Now())
	srv, e := startServer(t, func(srv *Server) { srv.Pulse = monitor })
	woken := newGate()
	c := connPair(t, func(nc net.Conn) { srv.admit(&gatedWakeSocket{nc.(*net.TCPConn), woken}, time.Now()) })
	time.Sleep(2 * pulse.BeatInterval) // until the reader waits
	begun := time.Now()
	c.send(command("CACHE.GET", "k", "first-stall", "c=read,d="+clientWaitMS))
	written := time.Now()
	receive(t, woken.reached)
	for range 3 { // stalls with little time between them
		time.Sleep(readDelay / 3)
		monitor.Beat(time.Now())
		time.Sleep(pulse.BeatInterval / 4)
		monitor.Beat(time.Now())
	}
	close(woken.open)
	o := receive(t, e.submitted)
	checkDeadline(t, o, begun.Add(-2*receiveTimeResolution), written)
}

// A value larger than the socket's receive buffer must not wait for room that nobody makes.
func TestAValueLargerThanTheReceiveBufferArrives(t *testing.T) {
	srv, e := startServer(t, nil)
	c := connPairOn(t, "tcp", "127.0.0.1:0", func(nc net.Conn) {
		nc.(*net.TCPConn).SetReadBuffer(16 << 10) // fixed: the kernel does not grow it
		srv.admit(nc, time.Now())
	})
	c.send(command("CACHE.SET", "k", "id", "c=put,d=5000", strings.Repeat("v", 64<<10)))
	if o := receive(t, e.submitted); len(o.Request.Value) != 64<<10 {
		t.Errorf("a value of %d bytes", len(o.Request.Value))
	}
}

// Values must come whole whether they arrive at once or in pieces, and on any kind of socket.
func TestValuesArriveInPiecesOfAnySize(t *testing.T) {
	srv, e := startServer(t, nil)
	value := strings.Repeat("0123456789abcdef", 4<<10)
	for _, network := range []string{"tcp", "unix"} {
		address := "127.0.0.1:0"
		if network == "unix" {
			address = filepath.Join(t.TempDir(), "s")
		}
		for _, piece := range []int{1 << 20, 9000, 1500} {
			c := connPairOn(t, network, address+map[bool]string{true: fmt.Sprint(piece)}[network == "unix"], func(nc net.Conn) { srv.admit(nc, time.Now()) })
			text := command("CACHE.SET", "k", fmt.Sprint(network, piece), "c=put,d=5000", value) + command("PING")
			for rest := text; rest != ""; {
				n := min(len(rest), piece)
				c.send(rest[:n])
				rest = rest[n:]
			}
			o := receive(t, e.submitted)
			if string(o.Request.Value) != value {
				t.Errorf("%s in pieces of %d: a value of %d bytes", network, piece, len(o.Request.Value))
			}
			o.Reply.Acked([]byte("r"))
			c.expect("$1", "r", "+PONG")
		}
	}
}
