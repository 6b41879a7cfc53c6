package front

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/memory"
)

// slot is one command's place in the order of answers. It is the Replier of the command's op.
type slot struct {
	conn    *conn
	op      *engine.Op // nil for a command that needs no op, or whose op the engine has not taken
	refused *engine.Op // the op that the engine has not taken, for the log
	reason  refusal    // why
	class   *figures.Class
	outcome figures.Outcome // of the answer; counted once it is written
	answer  []byte          // nil until there is one; the head of the answer if there is a body
	body    engine.Body     // of a long value, written after answer
	value   []byte          // of a large value, written after answer with a line end behind it
	block   *memory.Block   // that holds value
}

// Answers of one line that are always the same. They are never changed.
var (
	pongLine         = []byte("+PONG\r\n")
	okLine           = []byte("+OK\r\n")
	busyLine         = []byte("-BUSY\r\n")
	lameDuckLine     = []byte("-ERR sent away: use another proxy\r\n")
	deadLetteredLine = []byte("-ERR dead-lettered: it may have run\r\n")
)

// hasPayload reports whether a value is written after the slot's answer.
func (s *slot) hasPayload() bool { return s.body.Size > 0 || s.block != nil }

// size returns the number of bytes of the answer that are held until it is written.
func (s *slot) size() int {
	if s.block == nil {
		return len(s.answer)
	}
	return len(s.answer) + len(s.value) + len(lineEnd)
}

// Acked answers with a value.
func (s *slot) Acked(value []byte) {
	s.setAnswer(figures.Served, redcon.AppendBulk(make([]byte, 0, len(value)+16), value), engine.Body{}, nil, nil)
}

// AckedBlock answers with a large value, which is written from its block.
func (s *slot) AckedBlock(value []byte, block *memory.Block) {
	s.setAnswer(figures.Served, bulkHead(len(value)), engine.Body{}, value, block)
}

// Streamed answers with a long value that is copied as it arrives.
func (s *slot) Streamed(body engine.Body) {
	s.setAnswer(figures.Served, bulkHead(body.Size), body, nil, nil)
}

// bulkHead returns the length line of a bulk string.
func bulkHead(size int) []byte {
	return append(strconv.AppendInt([]byte("$"), int64(size), 10), lineEnd...)
}

// answerLine sets an answer of one line.
func (s *slot) answerLine(outcome figures.Outcome, line []byte) {
	s.setAnswer(outcome, line, engine.Body{}, nil, nil)
}

// Nacked refuses the request. A retryAfter above 0 is sent along, rounded up to milliseconds.
func (s *slot) Nacked(retryAfter time.Duration) {
	if ms := int64((retryAfter + time.Millisecond - 1) / time.Millisecond); ms > 0 {
		s.answerLine(figures.Refused, []byte("-BUSY "+strconv.FormatInt(ms, 10)+"\r\n"))
		return
	}
	s.answerLine(figures.Refused, busyLine)
}

// DeadLettered reports a request whose effect is unknown.
func (s *slot) DeadLettered() {
	s.answerLine(figures.Failed, deadLetteredLine)
}

// setAnswer records the slot's only answer. All of it is set under the mutex: when the client leaves at that moment,
// another goroutine closes the slots.
func (s *slot) setAnswer(outcome figures.Outcome, answer []byte, body engine.Body, value []byte, block *memory.Block) {
	c := s.conn
	c.mu.Lock()
	s.body, s.value, s.block = body, value, block
	if c.closed {
		c.mu.Unlock()
		s.closePayload()
		return
	}
	s.answer, s.outcome = answer, outcome
	if body.Size == 0 {
		c.resumeReading(s) // no value is passed on
	}
	c.unwrittenBytes += s.size()
	total := c.server.unwrittenBytes.Add(int64(s.size()))
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

// closePayload gives up a value that is not written, or not to its end.
func (s *slot) closePayload() {
	if s.body.Size > 0 {
		s.body.Close()
	}
	s.block.Release()
	s.block, s.value = nil, nil
}

// logAnswered logs a request whose answer has been written, or could not be.
func (s *slot) logAnswered(srv *Server, err error) {
	op := s.op
	if op == nil {
		op = s.refused
	}
	if op != nil {
		srv.logAnswered(op, s.outcome.String(), s.reason, err)
	}
}

// disown records that the engine has not taken the slot's op, and why.
func (s *slot) disown(reason refusal) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.op, s.refused, s.reason = nil, s.op, reason
	if s.refused != nil {
		s.refused.Request.Properties = deadline.Properties{} // may refer to the read buffer
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
