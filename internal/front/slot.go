package front

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/engine"
	"minttray/internal/figures"
)

// slot is one command's place in the order of answers. It is the Replier of the command's op.
type slot struct {
	conn    *conn
	op      *engine.Op // nil for a command that needs no op
	class   *figures.Class
	outcome figures.Outcome // of the answer; counted once it is written
	answer  []byte          // nil until there is one; the head of the answer if there is a body
	body    engine.Body     // of a long value, written after answer
}

// Acked answers with a value.
func (s *slot) Acked(value []byte) {
	s.setAnswer(figures.Served, redcon.AppendBulk(make([]byte, 0, len(value)+16), value), engine.Body{})
}

// Streamed answers with a long value that is copied as it arrives.
func (s *slot) Streamed(body engine.Body) {
	s.setAnswer(figures.Served, append(strconv.AppendInt([]byte("$"), int64(body.Size), 10), "\r\n"...), body)
}

// Nacked refuses the request. A retryAfter above 0 is sent along, rounded up to milliseconds.
func (s *slot) Nacked(retryAfter time.Duration) {
	if ms := int64((retryAfter + time.Millisecond - 1) / time.Millisecond); ms > 0 {
		s.setAnswer(figures.Refused, []byte("-BUSY "+strconv.FormatInt(ms, 10)+"\r\n"), engine.Body{})
		return
	}
	s.setAnswer(figures.Refused, []byte("-BUSY\r\n"), engine.Body{})
}

// DeadLettered reports a request whose effect is unknown.
func (s *slot) DeadLettered() {
	s.setAnswer(figures.Failed, []byte("-ERR dead-lettered: it may have run\r\n"), engine.Body{})
}

// setAnswer records the slot's only answer. All of it is set under the mutex: when the client leaves at that moment,
// another goroutine closes the slots.
func (s *slot) setAnswer(outcome figures.Outcome, answer []byte, body engine.Body) {
	c := s.conn
	c.mu.Lock()
	s.body = body
	if c.closed {
		c.mu.Unlock()
		s.closeBody()
		return
	}
	s.answer, s.outcome = answer, outcome
	c.unwrittenBytes += len(answer)
	total := c.server.unwrittenBytes.Add(int64(len(answer)))
	isFirst := c.slots[0] == s
	// Above the bound for all clients, a client with more unread bytes than an equal share is disconnected: a few slow
	// readers must not take the memory that all clients share.
	isSlow := total > c.server.MaxPendingBytes && int64(c.unwrittenBytes) > c.server.MaxPendingBytes/max(c.server.MaxConns.Load(), 1)
	c.mu.Unlock()
	if isSlow {
		c.server.slowReaders.Add(1)
		go c.abort(slowReader) // abort calls the engine, whose goroutine this may be
		return
	}
	if isFirst {
		c.wakeWriter()
	}
}

// closeBody closes a long value that is not read to its end.
func (s *slot) closeBody() {
	if s.body.Size > 0 {
		s.body.Close()
	}
}

// logAnswered logs a request whose answer has been written, or could not be.
func (s *slot) logAnswered(srv *Server, err error) {
	if s.op != nil {
		srv.logAnswered(s.op, s.outcome.String(), err)
	}
}

// recordOutcome updates the metrics when a request ends: after its last byte is written, or when its client is lost.
func (s *slot) recordOutcome(srv *Server, written bool) {
	if s.class == nil {
		return
	}
	srv.Metrics.InFlight.Add(-1)
	if written {
		s.class.Count(s.outcome)
	}
}
