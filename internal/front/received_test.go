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

// Commands that wait unread in the system's buffer while their reader is kept from them: their clients' time runs on.
const (
	keptFor = 500 * time.Millisecond
	waits   = time.Minute

	tolerated = keptFor / 2 // for what the machine takes to run a reader that is woken
)

var longWait = fmt.Sprint(waits.Milliseconds())

// inTime wants a request's deadline to be no later than its client's, nor as if it had come ahead of the test.
func inTime(t *testing.T, o *engine.Op, begun, written time.Time) {
	t.Helper()
	if over := o.Request.Deadline.Remaining(written) - waits; over > tolerated {
		t.Errorf("%s has %v more than its client waits", o.Request.ID, over)
	}
	if less := waits - o.Request.Deadline.Remaining(begun); less > tolerated {
		t.Errorf("%s has %v less than its client waits", o.Request.ID, less)
	}
}

// Danger: a value waits for room, all of it in the system's buffer by then, and its client's time counts from when there was room.
func TestTheTimeOfAValueThatWaitsForRoomRunsOn(t *testing.T) {
	value := strings.Repeat("v", 100<<10)
	f, e := serve(t, func(f *Server) { f.MaxLongValueBytes = int64(len(value)) })
	set := func(id string) string {
		return words("CACHE.SET", "k", id, "c=put,d="+longWait, value)
	}
	first, second := dial(t, f), dial(t, f)
	first.send(set("first"))
	holds := wait(t, e.taken)
	begun := time.Now()
	second.send(set("second"))
	written := time.Now()
	time.Sleep(keptFor)
	holds.OnRelease()
	inTime(t, wait(t, e.taken), begun, written)
}

// Danger: commands that one client sends at once, more than may wait for their answers, are read as the first are answered, and their time counts from then.
func TestTheTimeOfACommandBehindOthersRunsOn(t *testing.T) {
	const many = mostWaiting + 100
	f, e := serve(t, nil)
	c := dial(t, f)
	var all strings.Builder
	for i := range many {
		all.WriteString(words("CACHE.GET", "k", fmt.Sprint("id", i), "c=read,d="+longWait))
	}
	begun := time.Now()
	c.send(all.String())
	written := time.Now()
	var ops []*engine.Op
	for range mostWaiting {
		ops = append(ops, wait(t, e.taken))
	}
	time.Sleep(keptFor)
	for _, o := range ops {
		o.Reply.Nacked(0)
	}
	for range many - mostWaiting {
		ops = append(ops, wait(t, e.taken))
	}
	for _, o := range ops {
		inTime(t, o, begun, written)
	}
}

// Danger: a connection stands in the queue of those that are not accepted yet, a command behind it, whose time counts from when it is.
func TestTheTimeOfACommandOnAConnectionNotYetAcceptedRunsOn(t *testing.T) {
	f, e := serve(t, func(f *Server) { f.MaxConns.Store(2) })
	busy := []*client{dial(t, f), dial(t, f)}
	for i, c := range busy { // with no room left, accepting stops for a while at the next one
		c.send(words("CACHE.GET", "k", fmt.Sprint("busy", i), "c=read,d="+longWait))
	}
	held := []*engine.Op{wait(t, e.taken), wait(t, e.taken)}
	begun := time.Now()
	var ahead []*client // each is turned away after a while, one by one
	for range keptFor/patient + 1 {
		ahead = append(ahead, dial(t, f))
	}
	last := dial(t, f)
	last.send(words("CACHE.GET", "k", "last", "c=read,d="+longWait))
	written := time.Now()
	for _, c := range ahead[:len(ahead)-1] {
		c.want("EOF")
	}
	for _, o := range held { // there is room from here on: else the last one would be refused
		o.Reply.Nacked(0)
	}
	ahead[len(ahead)-1].want("EOF")
	o := wait(t, e.taken)
	if o.Request.ID != "last" || time.Since(written) < keptFor {
		t.Fatalf("%s came after %v: nothing is shown", o.Request.ID, time.Since(written))
	}
	inTime(t, o, begun, written)
}

// Danger: the process is stopped, or has no processor, while a command comes; its time counts from when that is read. Once it is run
// again for a while, time counts as ever. On a socket of a kind for which the system keeps no time of what it received, all that is known is the pulse.
func TestTheTimeOfACommandThatCameInAStallRunsOn(t *testing.T) {
	beat := pulse.New(time.Now())
	f, e := serve(t, func(f *Server) { f.Pulse = beat })
	c := pairOn(t, "unix", filepath.Join(t.TempDir(), "s"), func(nc net.Conn) { f.admit(nc, time.Now()) })
	c.send(words("PING"))
	c.want("+PONG")
	for until := time.Now().Add(keptFor); time.Now().Before(until); time.Sleep(pulse.BeatInterval / 4) { // the reader waits by now
		beat.Beat(time.Now())
	}
	last := time.Now()
	beat.Beat(last)
	time.Sleep(keptFor)
	c.send(words("CACHE.GET", "k", "stalled", "c=read,d="+longWait))
	o := wait(t, e.taken)
	if left := o.Request.Deadline.Remaining(last); left != waits {
		t.Errorf("counted from the last moment at which the process ran, it has %v", left)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for clock := time.NewTicker(pulse.BeatInterval / 4); ; {
			select {
			case now := <-clock.C:
				beat.Beat(now)
			case <-stop:
				clock.Stop()
				return
			}
		}
	}()
	time.Sleep(keptFor)
	begun := time.Now()
	c.send(words("CACHE.GET", "k", "after", "c=read,d="+longWait))
	written := time.Now()
	o = wait(t, e.taken)
	close(stop)
	<-stopped
	inTime(t, o, begun, written)
}

// A client that rests, and then asks, has its whole time: how long nothing came is not taken from it.
func TestARestTakesNothingFromACommand(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	for _, id := range []string{"first", "second"} {
		time.Sleep(keptFor)
		begun := time.Now()
		half := words("CACHE.GET", "k", id, "c=read,d="+longWait)
		c.send(half[:20])
		time.Sleep(keptFor)
		rest := time.Now()
		c.send(half[20:])
		written := time.Now()
		o := wait(t, e.taken)
		if begun.After(rest) {
			t.Fatal("no half was sent")
		}
		inTime(t, o, rest, written)
		o.Reply.Nacked(0)
		c.want("-BUSY")
	}
}

// wokenRaw is a socket whose reader is held up once it has found nothing and is woken.
type wokenRaw struct {
	syscall.RawConn
	woken gate
}

func (r wokenRaw) Read(f func(fd uintptr) bool) error {
	first := true
	return r.RawConn.Read(func(fd uintptr) bool {
		if !first {
			r.woken.pass()
		}
		first = false
		return f(fd)
	})
}

type wokenSocket struct {
	*net.TCPConn
	woken gate
}

func (c *wokenSocket) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return wokenRaw{raw, c.woken}, err
}

// Danger: one stall follows another, and what came in the first is read behind the second, or much time passes between; and where a process is run for
// a part of the time only, each request that comes is taken for one of before.
func TestTheTimeOfACommandThatCameInAnEarlierStall(t *testing.T) {
	beat := pulse.New(time.Now())
	f, e := serve(t, func(f *Server) { f.Pulse = beat })
	woken := newGate()
	c := pair(t, func(nc net.Conn) { f.admit(&wokenSocket{nc.(*net.TCPConn), woken}, time.Now()) })
	time.Sleep(2 * pulse.BeatInterval) // its reader waits by now
	begun := time.Now()
	c.send(words("CACHE.GET", "k", "first-stall", "c=read,d="+longWait))
	written := time.Now()
	wait(t, woken.reached)
	for range 3 { // stalls, with little time between them
		time.Sleep(keptFor / 3)
		beat.Beat(time.Now())
		time.Sleep(pulse.BeatInterval / 4)
		beat.Beat(time.Now())
	}
	close(woken.open)
	o := wait(t, e.taken)
	inTime(t, o, begun.Add(-2*receiveGrain), written)
}
