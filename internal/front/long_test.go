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
	f, e := serve(t, nil)
	c := dial(t, f)
	value := strings.Repeat("0123456789", 20000)
	text := words("CACHE.SET", "k", "id", "c=put,d=5000", value) + words("PING")
	for at := 0; at < len(text); at += 7777 {
		c.send(text[at:min(at+7777, len(text))])
	}
	o := wait(t, e.taken)
	if got := bytes.Join(o.Request.Parts, nil); string(got) != value || o.Request.Size() != len(value) || len(o.Request.Value) > 0 {
		t.Errorf("%d bytes came", len(got))
	}
	if !f.long.TryAcquire(f.MaxLongValueBytes-int64(len(value))) || f.long.TryAcquire(1) {
		t.Error("room is not what is left")
	}
	f.long.Release(f.MaxLongValueBytes - int64(len(value)))
	o.Reply.Acked([]byte("receipt"))
	c.want("$7", "receipt", "+PONG")
	if o.OnRelease(); !f.long.TryAcquire(f.MaxLongValueBytes) {
		t.Error("room not given back")
	}
}

// Danger: values that many send at once fill the memory; one that finds no room must get its answer all the same.
func TestLongWritesWithoutRoomAreTurnedAway(t *testing.T) {
	f, e := serve(t, nil)
	f.long.TryAcquire(f.MaxLongValueBytes)
	c := dial(t, f)
	c.send(words("CACHE.SET", "k", "id", "c=put,d=5000", strings.Repeat("x", 100000)) + words("CACHE.GET", "k", "id2", "c=read,d=5000"))
	c.want("-BUSY")
	wait(t, e.taken).Reply.Acked([]byte("v"))
	c.want("$1", "v")
	for late := time.Now().Add(patience); f.Metrics.InFlight.Load() != 0; time.Sleep(time.Millisecond) { // counted behind the write
		if time.Now().After(late) {
			t.Fatal("still in flight")
		}
	}
}

// Every way in which a long write is not taken gives its room back.
func TestLongWritesThatAreNone(t *testing.T) {
	f, e := serve(t, nil)
	long := strings.Repeat("x", 100000)
	for sent, want := range map[string]string{
		words("CACHE.SET", "k", "id", "c=nothing,d=5", long):                                       "-ERR unknown or repeated class \"nothing\"",
		words("NO.SUCH", "k", "id", "c=put,d=5", long):                                             "-ERR unknown command 'NO.SUCH'",
		words("CACHE.SET", "k", "twice", "c=put,d=5", long):                                        "-ERR an op with this id was taken before",
		words("CACHE.GET", "k", "id", "c=read,d=5", long):                                          "-ERR wrong number of arguments: 4 words wanted, 5 came",
		strings.Replace(words("CACHE.SET", "k", "id", "c=put,d=5", long), "x\r\n", "xxx", 1):       "-ERR protocol error",
		strings.Replace(words("CACHE.SET", "k", "id", "c=put,d=5", long), "$100000", "$200000", 1): "-ERR the rest of the value did not come",
	} {
		c := dial(t, f)
		c.send(sent)
		c.want(want)
	}
	e.full = true
	c := dial(t, f)
	c.send(words("CACHE.SET", "k", "id", "c=put,d=5", long))
	c.want("-BUSY")
	for late := time.Now().Add(patience); !f.long.TryAcquire(f.MaxLongValueBytes); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("room not given back")
		}
	}
}

// body gives a value in pieces, and then its end or an error.
func body(pieces int, err error) (engine.Body, *io.PipeWriter) {
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
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(words("CACHE.GET", "k", "a", "c=read,d=5000") + words("CACHE.GET", "k", "b", "c=read,d=5000") + words("PING"))
	a, b := wait(t, e.taken), wait(t, e.taken)
	second, _ := body(100, nil)
	b.Reply.Streamed(second)
	a.Reply.Acked([]byte("first"))
	c.want("$5", "first", "$100000")
	got := make([]byte, 100000)
	if _, err := io.ReadFull(c.r, got); err != nil || !strings.HasSuffix(string(got), "99") {
		t.Errorf("%v, ends with %q", err, got[99990:])
	}
	c.want("", "+PONG")
}

// Danger: a client takes half a value for a whole one.
func TestALongAnswerThatBreaksEndsItsConnection(t *testing.T) {
	f, e := serve(t, nil)
	for i, k := range []struct {
		pieces int
		err    error
	}{{50, errors.New("broken")}, {50, nil}, {100, errors.New("ends wrongly")}, {101, nil}} {
		c := dial(t, f)
		c.send(words("CACHE.GET", "k", fmt.Sprint("id", i), "c=read,d=5000") + words("PING"))
		value, _ := body(k.pieces, k.err)
		wait(t, e.taken).Reply.Streamed(value)
		c.want("$100000")
		rest, _ := io.ReadAll(c.r)
		if len(rest) > 100000 || strings.Contains(string(rest), "\r\n") {
			t.Errorf("%+v: %d bytes, and the client can't tell", k, len(rest))
		}
	}
	if n := f.Metrics.Class("read"); f.Metrics.InFlight.Load() != 0 || n == nil || f.Metrics.Sum(2) != 4 {
		t.Errorf("%d in flight, %d failed", f.Metrics.InFlight.Load(), f.Metrics.Sum(2))
	}
}

// Danger: a value that waits for a client that has gone holds its cache's connection.
func TestALongAnswerIsLetGoWithItsClient(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(words("CACHE.GET", "k", "a", "c=read,d=5000") + words("CACHE.GET", "k", "b", "c=read,d=5000"))
	wait(t, e.taken)
	r, w := io.Pipe()
	wait(t, e.taken).Reply.Streamed(engine.Body{Size: 100000, ReadCloser: r}) // behind one that is open
	c.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := w.Write(make([]byte, 1000))
		ended <- err
	}()
	if err := wait(t, ended); err == nil {
		t.Error("somebody reads it")
	}
}
