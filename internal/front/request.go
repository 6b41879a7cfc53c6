package front

import (
	"errors"
	"time"

	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/memory"
)

// requestMemory is the memory of a request that is kept apart from it.
type requestMemory struct {
	properties *memory.Block // nil: they are short
	value      *writeValue   // nil: there is none, or it is short
}

func (m *requestMemory) release() {
	m.properties.Release()
	m.value.release()
}

// handleRequest handles a read or a write, of which value may be a part. It reports whether to read on.
func (c *conn) handleRequest(words [][]byte, write bool, value *writeValue, received time.Time) bool {
	names := c.server.names.Load()
	op, err := names.parseRequest(words, write, received)
	if err != nil {
		value.release()
		return c.rejectCommand(&c.server.malformed, err)
	}
	op.MarkRead(time.Now())
	s := &slot{conn: c, op: op, class: names.classes[op.Category]}
	op.Reply = s
	op.Request.MayStream = s.mayStream
	held := &requestMemory{value: value}
	if held.properties, err = c.server.keepProperties(op); err != nil {
		held.release()
		c.server.rejected.Add(1)
		return c.refuse(s, noPropertyMemory)
	}
	value.attach(op)
	if held.properties != nil || value != nil {
		op.OnRelease = held.release
	}
	if !c.reserve(s) {
		held.release()
		return false
	}
	c.submitting = s
	err = c.server.Engine.Submit(op) // the engine releases what is held, unless it returns an error
	c.submitting = nil
	if err != nil {
		held.release()
		c.answerRejected(s, err)
	}
	return true
}

// answerRejected answers a request that the engine has not taken.
func (c *conn) answerRejected(s *slot, err error) {
	s.disown(notAccepted + refusal(err.Error()))
	if errors.Is(err, engine.ErrDuplicateID) {
		// The op that has this id is left untouched: its value belongs to its own client alone.
		c.server.duplicates.Add(1)
		s.answerLine(figures.Failed, errorLine(err))
		c.badCommands++
		return
	}
	c.server.rejected.Add(1)
	s.Nacked(0) // without a retry delay
}

// keepProperties moves an op's properties from the read buffer to memory of their own, which is a block if they are long.
func (srv *Server) keepProperties(op *engine.Op) (*memory.Block, error) {
	size := op.Request.Properties.Size()
	if size <= engine.MaxInlineBytes {
		op.Request.Properties = op.Request.Properties.CopyTo(make([]byte, size))
		return nil, nil
	}
	block, err := srv.Blocks.Properties.AcquireNow()
	if err != nil {
		return nil, err
	}
	op.Request.Properties = op.Request.Properties.CopyTo(block.Bytes())
	return block, nil
}

// refuse refuses a request that is not submitted. It reports whether to read on.
func (c *conn) refuse(s *slot, reason refusal) bool {
	if !c.reserve(s) {
		return false
	}
	s.disown(reason)
	s.Nacked(0) // without a retry delay
	return true
}
