package front

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/engine"
	"minttray/internal/figures"
)

// slot is one command's place in the order of answers. It is the op's Replier.
type slot struct {
	c      *conn
	op     *engine.Op // nil for what needs no op
	class  *figures.Class
	end    figures.End // what the answer says, booked once it is written
	answer []byte      // nil until there is one
	body   engine.Body // behind the answer, which then is its head
}

func (s *slot) Acked(value []byte) {
	s.put(figures.Served, redcon.AppendBulk(make([]byte, 0, len(value)+16), value), engine.Body{})
}

func (s *slot) Streamed(body engine.Body) {
	s.put(figures.Served, append(strconv.AppendInt([]byte("$"), int64(body.Size), 10), "\r\n"...), body)
}

func (s *slot) Nacked(comeBack time.Duration) {
	if ms := int64((comeBack + time.Millisecond - 1) / time.Millisecond); ms > 0 {
		s.put(figures.Refused, []byte("-BUSY "+strconv.FormatInt(ms, 10)+"\r\n"), engine.Body{})
		return
	}
	s.put(figures.Refused, []byte("-BUSY\r\n"), engine.Body{})
}

func (s *slot) DeadLettered() {
	s.put(figures.Failed, []byte("-ERR dead-lettered: it may have run\r\n"), engine.Body{})
}

// put takes the one answer. Danger: a client that leaves just then has its slots let go on another goroutine; all of the answer is set
// under the mutex.
func (s *slot) put(end figures.End, answer []byte, body engine.Body) {
	c := s.c
	c.mu.Lock()
	s.body = body
	if c.ended {
		c.mu.Unlock()
		s.let()
		return
	}
	s.answer, s.end = answer, end
	c.piled += len(answer)
	total := c.front.piled.Add(int64(len(answer)))
	first := c.slots[0] == s
	// Over the bound for all clients, those that left more than their part unread are let go: a few slow readers
	// must not take the memory that all need.
	slow := total > c.front.MaxPendingBytes && int64(c.piled) > c.front.MaxPendingBytes/max(c.front.MaxConns.Load(), 1)
	c.mu.Unlock()
	if slow {
		c.front.slow.Add(1)
		go c.drop(slowReader) // drop tells the engine, on whose goroutine this may be
		return
	}
	if first {
		c.signal()
	}
}

// let lets go of a value that nobody reads to its end.
func (s *slot) let() {
	if s.body.Size > 0 {
		s.body.Close()
	}
}

// log tells of a request whose answer has been written, or could not be.
func (s *slot) log(f *Server, err error) {
	if s.op != nil {
		f.written(s.op, s.end.String(), err)
	}
}

// over books an op's end: once its last byte is written, or as it was lost with its client.
func (s *slot) over(f *Server, written bool) {
	if s.class == nil {
		return
	}
	f.Metrics.InFlight.Add(-1)
	if written {
		s.class.Count(s.end)
	}
}
