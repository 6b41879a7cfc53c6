package front

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"minttray/internal/engine"
)

func TestLongWritesAreKeptInParts(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	value := strings.Repeat("0123456789", 20000)
	text := command("CACHE.SET", "k", "id", "c=put,d=5000", value) + command("PING")
	for at := 0; at < len(text); at += 7777 {
		c.send(text[at:min(at+7777, len(text))])
	}
	o := receive(t, e.submitted)
	if got := bytes.Join(o.Request.Parts, nil); string(got) != value || o.Request.Size() != len(value) || len(o.Request.Value) > 0 {
		t.Errorf("got a value of %d bytes", len(got))
	}
	if !srv.longValueBudget.TryAcquire(srv.MaxLongValueBytes-int64(len(value))) || srv.longValueBudget.TryAcquire(1) {
		t.Error("the free budget is not the total less the value")
	}
	srv.longValueBudget.Release(srv.MaxLongValueBytes - int64(len(value)))
	o.Reply.Acked([]byte("receipt"))
	c.expect("$7", "receipt", "+PONG")
	if o.OnRelease(); !srv.longValueBudget.TryAcquire(srv.MaxLongValueBytes) {
		t.Error("budget not released")
	}
}

// Guards against long values that fill the memory: one that exceeds the budget is refused, and its client gets an answer.
func TestLongWritesWithoutRoomAreTurnedAway(t *testing.T) {
	srv, e := startServer(t, nil)
	srv.longValueBudget.TryAcquire(srv.MaxLongValueBytes)
	c := dial(t, srv)
	c.send(command("CACHE.SET", "k", "id", "c=put,d=5000", strings.Repeat("x", 100000)) + command("CACHE.GET", "k", "id2", "c=read,d=5000"))
	c.expect("-BUSY")
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	c.expect("$1", "v")
	for giveUpAt := time.Now().Add(testTimeout); srv.Metrics.InFlight.Load() != 0; time.Sleep(time.Millisecond) { // updated after the write
		if time.Now().After(giveUpAt) {
			t.Fatal("request still counted as in flight")
		}
	}
}

// Each way in which a long write fails must release its share of the budget.
func TestLongWritesThatAreNone(t *testing.T) {
	srv, e := startServer(t, nil)
	long := strings.Repeat("x", 100000)
	for sent, want := range map[string]string{
		command("CACHE.SET", "k", "id", "c=nothing,d=5", long):                                       "-ERR unknown or repeated class \"nothing\"",
		command("NO.SUCH", "k", "id", "c=put,d=5", long):                                             "-ERR unknown command 'NO.SUCH'",
		command("CACHE.SET", "k", "twice", "c=put,d=5", long):                                        "-ERR an op with this id was taken before",
		command("CACHE.GET", "k", "id", "c=read,d=5", long):                                          "-ERR wrong number of arguments: 4 words wanted, 5 came",
		strings.Replace(command("CACHE.SET", "k", "id", "c=put,d=5", long), "x\r\n", "xxx", 1):       "-ERR protocol error",
		strings.Replace(command("CACHE.SET", "k", "id", "c=put,d=5", long), "$100000", "$200000", 1): "-ERR the rest of the value did not come",
	} {
		c := dial(t, srv)
		c.send(sent)
		c.expect(want)
	}
	e.full = true
	c := dial(t, srv)
	c.send(command("CACHE.SET", "k", "id", "c=put,d=5", long))
	c.expect("-BUSY")
	for giveUpAt := time.Now().Add(testTimeout); !srv.longValueBudget.TryAcquire(srv.MaxLongValueBytes); time.Sleep(time.Millisecond) {
		if time.Now().After(giveUpAt) {
			t.Fatal("budget not released")
		}
	}
}

// pipedBody returns a body of 100 announced pieces that delivers the given number and then err, or its end.
func pipedBody(pieces int, err error) (engine.Body, *io.PipeWriter) {
	r, w := io.Pipe()
	go func() {
		for i := range pieces {
			fmt.Fprintf(w, "%0*d", 1000, i)
		}
		w.CloseWithError(err)
	}()
	return engine.Body{Size: 100 * 1000, ReadCloser: r}, w
}

func TestLongAnswersPassInTheirOrder(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(command("CACHE.GET", "k", "a", "c=read,d=5000") + command("CACHE.GET", "k", "b", "c=read,d=5000") + command("PING"))
	a, b := receive(t, e.submitted), receive(t, e.submitted)
	second, _ := pipedBody(100, nil)
	b.Reply.Streamed(second)
	a.Reply.Acked([]byte("first"))
	c.expect("$5", "first", "$100000")
	got := make([]byte, 100000)
	if _, err := io.ReadFull(c.reader, got); err != nil || !strings.HasSuffix(string(got), "99") {
		t.Errorf("error %v, value ends with %q", err, got[99990:])
	}
	c.expect("", "+PONG")
}

// Guards against a client that takes a truncated value for a complete one.
func TestALongAnswerThatBreaksEndsItsConnection(t *testing.T) {
	srv, e := startServer(t, nil)
	for i, failure := range []struct {
		pieces int
		err    error
	}{{50, errors.New("broken")}, {50, nil}, {100, errors.New("read error at the end")}, {101, nil}} {
		c := dial(t, srv)
		c.send(command("CACHE.GET", "k", fmt.Sprint("id", i), "c=read,d=5000") + command("PING"))
		value, _ := pipedBody(failure.pieces, failure.err)
		receive(t, e.submitted).Reply.Streamed(value)
		c.expect("$100000")
		received, _ := io.ReadAll(c.reader)
		if len(received) > 100000 || strings.Contains(string(received), "\r\n") {
			t.Errorf("%+v: got %d bytes that look like a complete value", failure, len(received))
		}
	}
	if class := srv.Metrics.Class("read"); srv.Metrics.InFlight.Load() != 0 || class == nil || srv.Metrics.Total(2) != 4 {
		t.Errorf("%d requests in flight, %d failed", srv.Metrics.InFlight.Load(), srv.Metrics.Total(2))
	}
}

// Guards against a long value for a client that is gone, which would hold its cache's connection.
func TestALongAnswerIsLetGoWithItsClient(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(command("CACHE.GET", "k", "a", "c=read,d=5000") + command("CACHE.GET", "k", "b", "c=read,d=5000"))
	receive(t, e.submitted)
	r, w := io.Pipe()
	receive(t, e.submitted).Reply.Streamed(engine.Body{Size: 100000, ReadCloser: r}) // after a request that is still open
	c.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := w.Write(make([]byte, 1000))
		ended <- err
	}()
	if err := receive(t, ended); err == nil {
		t.Error("the value was read for a client that is gone")
	}
}
