package front

import (
	"bytes"
	"context"
	"errors"
	"os"
	"time"

	"minttray/internal/resp"
)

const (
	partSize  = 64 << 10
	longValue = 20 * time.Second // for all of one
)

var errLong = errors.New("the rest of the value did not come")

// long takes a command with a value that is longer than engine.Whole, of which the head stands in the buffer. The value is
// kept in parts, as it comes, and within one budget for all clients. It tells whether to read on.
func (c *conn) long(l *resp.BulkTooLongError) bool {
	words := l.Before(c.buf.Bytes())
	for i, word := range words {
		words[i] = bytes.Clone(word)
	}
	c.buf.Discard(l.Offset)
	c.mu.Lock()
	c.half, c.heard = true, true
	c.mu.Unlock()
	held := c.front.long.TryAcquire(int64(l.Length))
	if !held {
		room, cancel := context.WithTimeout(context.Background(), c.front.room)
		end := c.watch(cancel)
		held = c.front.long.Acquire(room, int64(l.Length)) == nil
		end()
		cancel()
	}
	parts, err := c.parts(l.Length, held)
	if err != nil {
		if held {
			c.front.long.Release(int64(l.Length))
		}
		if errors.Is(err, errLong) {
			c.end(&c.front.halves, err)
		} else if errors.Is(err, errFraming) {
			c.end(&c.front.malformed, err)
		} else {
			c.drop(clientGone)
		}
		return false
	}
	c.began = time.Time{}
	if !held {
		c.front.full.Add(1)
		return c.busy(words)
	}
	return c.command(append(words, nil), parts, c.source.came, func() { c.front.long.Release(int64(l.Length)) })
}

// parts reads a value and the line end behind it; what is not held is thrown away.
func (c *conn) parts(size int, held bool) (parts [][]byte, err error) {
	late := time.Now().Add(longValue)
	scrap := make([]byte, 0, partSize)
	for left := size; left > 0; {
		part := scrap
		if held {
			part = make([]byte, 0, min(left, partSize))
		}
		for len(part) < cap(part) && len(part) < left {
			rest := part[len(part):min(cap(part), left)]
			n := copy(rest, c.buf.Bytes())
			if c.buf.Discard(n); n == 0 {
				if !c.wait(late) {
					return nil, errLong
				}
				if n, err = c.source.Read(rest); errors.Is(err, os.ErrDeadlineExceeded) && c.graced() {
					err = nil
				}
				if errors.Is(err, os.ErrDeadlineExceeded) {
					return nil, errLong
				}
				if err != nil && n == 0 {
					return nil, err
				}
			}
			part = part[:len(part)+n]
		}
		left -= len(part)
		if held {
			parts = append(parts, part)
		}
	}
	for len(c.buf.Bytes()) < 2 {
		if !c.wait(late) {
			return nil, errLong
		}
		if err := c.buf.Fill(c.source); errors.Is(err, os.ErrDeadlineExceeded) && c.graced() {
			continue
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errLong
		} else if err != nil {
			return nil, err
		}
	}
	if string(c.buf.Bytes()[:2]) != "\r\n" {
		return nil, errFraming
	}
	c.buf.Discard(2)
	return parts, nil
}

// wait sets how long the next bytes of a long value may take.
func (c *conn) wait(late time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(halfCommand)
	if c.ending && c.grace {
		until = c.graceEnds
	}
	if until.After(late) {
		until = late
	}
	c.nc.SetReadDeadline(until)
	return time.Now().Before(until)
}

// graced gives, once, the rest of a value some time as its connection is to end.
func (c *conn) graced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || c.grace {
		return false
	}
	c.grace, c.graceEnds = true, time.Now().Add(halfAtEnd)
	return true
}

// busy turns a long write away for want of room, once it has come.
func (c *conn) busy(words [][]byte) bool {
	op, err := c.front.names.Load().parse(append(words, nil), true, c.source.came)
	if err != nil || string(bytes.ToUpper(words[0])) != "CACHE.SET" {
		return c.bad(&c.front.malformed, errors.New("long value in no command that takes one"))
	}
	s := &slot{c: c, op: op, class: c.front.names.Load().classes[op.Category]}
	if !c.reserve(s) {
		return false
	}
	c.mu.Lock()
	s.op = nil
	c.mu.Unlock()
	s.Nacked(0)
	return true
}
