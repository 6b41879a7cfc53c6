package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"minttray/internal/engine"
)

const (
	pauseCrossings = 300 // crossings of requests for a pause, in each of the tests that draw them from the scheduler
	valueHalf      = "01234"
)

// errCutValue is the error of a value that its server has cut.
var errCutValue = errors.New("connection reset")

// startMayStream calls a request's MayStream and returns where its answer comes.
func startMayStream(o *engine.Op) <-chan bool {
	answer := make(chan bool, 1)
	go func() { answer <- o.Request.MayStream() }()
	return answer
}

// sendBehind sends a third command and waits until the server has it, unread in its kernel or as a request that was read.
func sendBehind(c *client, srv *Server, e *fakeEngine) {
	c.t.Helper()
	c.send(getCommand("behind"))
	waitUntil(c.t, "received", func() bool {
		return len(e.submitted) > 0 || srv.withOnlyConn(func(c *conn) bool { return hasUnreadInput(c.nc) })
	})
}

// openTwo sends reads of two long values, and returns their ops.
func openTwo(c *client, e *fakeEngine) (earlier, later *engine.Op) {
	c.t.Helper()
	c.send(getCommand("earlier") + getCommand("later"))
	return receive(c.t, e.submitted), receive(c.t, e.submitted)
}

// streamHalf answers an op with a long value of which half has come, and waits until its client has that.
func streamHalf(c *client, o *engine.Op) *io.PipeWriter {
	c.t.Helper()
	r, w := io.Pipe()
	o.Reply.Streamed(engine.Body{Size: 2 * len(valueHalf), ReadCloser: r})
	fmt.Fprint(w, valueHalf)
	c.expect("$10")
	half := make([]byte, len(valueHalf))
	if _, err := io.ReadFull(c.reader, half); err != nil || string(half) != valueHalf {
		c.t.Fatalf("half of the value: %q, %v", half, err)
	}
	return w
}

// Guards against a request that runs and is never answered: it was read behind a value that its server cuts, since the answer
// of an earlier request had ended the pause on which that value was passed on (review case 8).
func TestAnEarlierValueDoesNotEndThePauseOfALaterOne(t *testing.T) {
	for name, attempts := range map[string]int{"one attempt of the earlier": 1, "two attempts of the earlier": 2} {
		t.Run(name, func(t *testing.T) {
			srv, e := startServer(t, nil)
			c := dial(t, srv)
			earlier, later := openTwo(c, e)
			if !mayStreamInTime(t, later) {
				t.Fatal("the later value may not be passed on, though nothing is behind it")
			}
			for range attempts {
				if mayStreamInTime(t, earlier) {
					t.Error("the earlier value may be passed on as it arrives")
				}
			}
			sendBehind(c, srv, e)
			earlier.Reply.Acked([]byte("v"))
			c.expect("$1", "v")
			w := streamHalf(c, later)
			w.CloseWithError(errCutValue)
			waitUntil(t, "closed", func() bool { return srv.OpenConns() == 0 })
			if len(e.submitted) > 0 {
				t.Error("a request was submitted behind a value that was cut")
			}
		})
	}
}

// crossing is a pair of requests for long values on one connection, whose calls of MayStream cross.
type crossing struct {
	earlier, later *engine.Op  // no earlier one: its value has been written already
	earlierAnswer  <-chan bool // of its MayStream; nil: it has been received
}

// crossAfterReading has the earlier request ask once both have been read.
func crossAfterReading(c *client, e *fakeEngine) crossing {
	earlier, later := openTwo(c, e)
	return crossing{earlier, later, startMayStream(earlier)}
}

// crossWhileReading has the earlier request ask while the later one is read. If its value may be passed on, the later one is not read
// before that has been written.
func crossWhileReading(c *client, e *fakeEngine) crossing {
	c.t.Helper()
	c.send(getCommand("earlier"))
	earlier := receive(c.t, e.submitted)
	answer := startMayStream(earlier)
	c.send(getCommand("later"))
	select {
	case later := <-e.submitted:
		return crossing{earlier, later, answer}
	case granted := <-answer:
		if !granted {
			return crossing{earlier, receive(c.t, e.submitted), nil}
		}
	}
	streamAlone(c, e, earlier)
	return crossing{nil, receive(c.t, e.submitted), nil}
}

// streamAlone passes a value on, behind which nothing may be submitted before it is written.
func streamAlone(c *client, e *fakeEngine, o *engine.Op) {
	c.t.Helper()
	w := streamHalf(c, o)
	if len(e.submitted) > 0 {
		c.t.Fatal("a request was submitted behind a value that is being passed on")
	}
	fmt.Fprint(w, valueHalf)
	w.Close()
	c.expect(valueHalf)
}

// Guards against a value that is passed on while commands are read behind it, whichever of two requests asks first and however their
// calls cross: a grant holds until its value is written, and the reader reads on then.
func TestNothingIsReadBehindAGrantedValueHoweverRequestsCross(t *testing.T) {
	t.Parallel()
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	for n := range pauseCrossings {
		cross := crossAfterReading
		if n%2 == 1 {
			cross = crossWhileReading
		}
		requests := cross(c, e)
		for _, answer := range []<-chan bool{startMayStream(requests.later), startMayStream(requests.later)} { // of two attempts
			if !receive(t, answer) {
				t.Fatalf("crossing %d: the last value may not be passed on", n)
			}
		}
		if requests.earlierAnswer != nil && receive(t, requests.earlierAnswer) {
			t.Fatalf("crossing %d: the earlier value may be passed on", n)
		}
		if requests.earlier != nil {
			requests.earlier.Reply.Acked([]byte("v"))
			c.expect("$1", "v")
		}
		sendBehind(c, srv, e)
		streamAlone(c, e, requests.later)
		receive(t, e.submitted).Reply.Nacked(0)
		c.expect("-BUSY")
	}
}

// Guards against a grant that relies on a pause that has already ended, while the reader has not woken yet.
func TestAPauseThatEndsIsNotTakenForAGrant(t *testing.T) {
	serverSide, clientSide := net.Pipe()
	defer serverSide.Close()
	defer clientSide.Close()
	c := newConn(&Server{turns: newReadTurns()}, serverSide, time.Now())
	first, second := &slot{conn: c}, &slot{conn: c}
	c.slots = []*slot{first, second}
	c.mu.Lock()
	c.readPaused = true // for the first, which gives the pause up; the reader still has to take notice
	c.pauseOwner = first
	c.resumeReading(first)
	c.mu.Unlock()
	if !second.mayStream() {
		t.Fatal("the value may not be passed on, though the reader pauses")
	}
	if c.mayRead() {
		t.Error("the value may be passed on, and the reader goes on reading")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumeReading(first); c.pauseOwner != second {
		t.Error("a slot that owns no pause has ended one")
	}
	if c.resumeReading(second); c.pauseOwner != nil {
		t.Error("the pause's owner can't end it")
	}
}

// Guards against a reader that nobody resumes: a request whose value is not passed on after all gives the pause up with its answer,
// though an earlier request is still open.
func TestThePauseEndsWithItsOwnAnswerBesideAnEarlierRequest(t *testing.T) {
	for name, answer := range map[string]func(engine.Replier){
		"short value": func(r engine.Replier) { r.Acked([]byte("v")) },
		"refusal":     func(r engine.Replier) { r.Nacked(0) },
		"failure":     func(r engine.Replier) { r.DeadLettered() },
	} {
		for _, earlierAsks := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, earlier one asks %v", name, earlierAsks), func(t *testing.T) {
				t.Parallel()
				srv, e := startServer(t, nil)
				c := dial(t, srv)
				earlier, later := openTwo(c, e)
				mayStreamInTime(t, later)
				if earlierAsks {
					mayStreamInTime(t, earlier)
				}
				answer(later.Reply)
				c.send(getCommand("behind"))
				receive(t, e.submitted).Reply.Nacked(0) // before the earlier one is answered
				earlier.Reply.Acked([]byte("first"))
				c.expect("$5", "first")
			})
		}
	}
}

// Guards against a request that is read behind a value that is being passed on because the proxy begins to close the connection, or another
// request of it ends: the pause outlasts both.
func TestNoCloseOfAConnectionEndsThePauseOfItsValue(t *testing.T) {
	for name, end := range closers {
		t.Run(name, func(t *testing.T) {
			srv, e := startServer(t, nil)
			c := dial(t, srv)
			earlier, later := openTwo(c, e)
			if !mayStreamInTime(t, later) {
				t.Fatal("the later value may not be passed on, though nothing is behind it")
			}
			end(srv)
			mayStreamInTime(t, earlier)
			earlier.Reply.Nacked(0)
			c.expect("-BUSY")
			sendBehind(c, srv, e)
			w := streamHalf(c, later)
			end(srv)
			w.CloseWithError(errCutValue)
			waitUntil(t, "closed", func() bool { return srv.OpenConns() == 0 })
			if len(e.submitted) > 0 {
				t.Error("a request was submitted behind a value that was cut")
			}
		})
	}
}
