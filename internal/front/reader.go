package front

import (
	"errors"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/buffer"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/resp"
)

// read takes commands until the client goes away or the framing is lost. It goes on while ops are open, so that
// the engine hears at once of a client that has left.
func (c *conn) read() {
	defer close(c.stopped)
	defer c.attend(func() bool { return !c.owing() }, func() {}) // what is still open may lose its client
	defer func() {
		if fault := recover(); fault != nil {
			c.front.panicked(c, fault)
			c.answerHanded()
			c.stop() // what was taken still gets its answer
		}
	}()
	defer func() { c.front.buffered.Add(-int64(c.size)) }()
	args := make([][]byte, 0, 8)
	for {
		if !c.goOn() {
			return
		}
		err := c.buf.Fill(c.source)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !c.late() {
				return
			}
			continue
		}
		if err == nil {
			err = c.account()
		}
		if errors.Is(err, buffer.ErrFull) || errors.Is(err, errMemory) {
			c.end(&c.front.malformed, err)
			return
		}
		if err != nil || !c.got() {
			c.drop(clientGone)
			return
		}
		now, received := time.Now(), c.source.came
		for {
			n, words, err := next(c.buf.Bytes(), args)
			var long *resp.BulkTooLongError
			if errors.As(err, &long) && long.Index == 4 && long.ArrayLength == 5 && long.Length > 0 && long.Length <= engine.MaxValueBytes {
				if !c.long(long) {
					return
				}
				now, received = time.Now(), c.source.came
				continue
			}
			if err != nil {
				// Nothing that follows can be told apart any more: what was taken is answered, then it ends.
				c.end(&c.front.malformed, err)
				return
			}
			if n == 0 {
				break
			}
			if !c.command(words, nil, received, nil) {
				return
			}
			c.buf.Discard(n)
			c.began = time.Time{}
		}
		if c.refused >= mostRefused {
			c.front.hopeless.Add(1)
			c.stop()
			return
		}
		if c.overflow && c.heard {
			c.front.overflowed.Add(1)
			c.stop()
			return
		}
		if len(c.buf.Bytes()) == 0 {
			c.began = time.Time{}
		} else if c.began.IsZero() {
			c.began = now
		}
	}
}

var (
	errMemory = errors.New("too much half read from all clients")
	errHalf   = errors.New("the rest of the command did not come")
)

// account keeps the sum of all clients' buffers within its bound: each may grow to hold the longest command, but not
// all together.
func (c *conn) account() error {
	grown := c.buf.Size() - c.size
	c.size += grown
	if sum := c.front.buffered.Add(int64(grown)); grown > 0 && sum > c.front.MaxPendingBytes {
		return errMemory
	}
	return nil
}

// got notes that something has been read which has no place yet; false: the connection has ended meanwhile. Danger: a
// connection that made way just then would lose a command that it has read, and may have handed in.
func (c *conn) got() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.half = true
	return !c.ended
}

// late is called when the reader's time ran out; it tells whether to read on.
func (c *conn) late() bool {
	c.mu.Lock()
	ending, idle := c.ending, c.owes() == owesNothing && time.Since(c.used) >= idleClient
	half, heard := c.half, c.heard
	c.mu.Unlock()
	switch {
	case ending:
	case half:
		c.end(&c.front.halves, errHalf)
		return false
	case !heard:
		c.front.silent.Add(1)
		c.drop(neverAsked)
		return false
	case idle:
		c.front.idle.Add(1)
		c.finish()
	}
	return true
}

// answerHanded answers the request that was being handed in as its reader panicked: whether the engine has it is not known.
func (c *conn) answerHanded() {
	if s := c.handing; s != nil {
		c.mu.Lock()
		s.op = nil
		c.mu.Unlock()
		s.DeadLettered()
	}
}

// end answers with an error, and ends the connection once what came before it is answered.
func (c *conn) end(reason *atomic.Int64, err error) {
	c.refuse(reason, err)
	c.stop()
}

// goOn tells the reader whether to read on, and sets how long.
func (c *conn) goOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.half = len(c.buf.Bytes()) > 0
	until := time.Now().Add(idleClient)
	switch {
	case c.ending && !c.half && !c.heard && !c.looked && pending(c.nc):
		// Danger: nothing was ever read on it, so its client can't take what it has sent for a crossing between two requests.
		c.looked = true
		until = time.Now().Add(fresh)
	case c.ending && (!c.half || c.grace):
		c.stopReading() // of half a command the rest has not come: it is no request
		return false
	case c.ending:
		// The rest may already stand in the kernel's buffer, and the op is then taken.
		c.grace = true
		until = time.Now().Add(halfAtEnd)
	case c.half:
		until = c.began.Add(halfCommand)
	case !c.heard && c.overflow:
		until = c.born.Add(overflowWord)
	case !c.heard:
		until = c.born.Add(firstWord)
	case len(c.slots) == 0:
		until = c.used.Add(idleClient)
	}
	c.nc.SetReadDeadline(until)
	return true
}

// stop ends reading for good; the reader calls it.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.stopReading()
}

func (c *conn) refuse(reason *atomic.Int64, err error) {
	reason.Add(1)
	c.reserve(&slot{c: c, answer: errorLine(err)})
}

func errorLine(err error) []byte { return redcon.AppendError(nil, "ERR "+clean(err.Error())) }

func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '\ufffd' {
			return '?'
		}
		return r
	}, s)
}

// bad refuses a command whose end is known, so that the connection can go on, unless too many were bad.
func (c *conn) bad(reason *atomic.Int64, err error) (goOn bool) {
	c.refuse(reason, err)
	c.refused++
	return true
}

// command takes one command, whose last byte came after the moment received, a long value's parts beside it; false means that nothing more is read from the connection. over
// is called once nobody needs the parts any more.
func (c *conn) command(words, parts [][]byte, received time.Time, over func()) bool {
	handed := false
	defer func() {
		if over != nil && !handed {
			over()
		}
	}()
	name := strings.ToUpper(string(words[0][:min(len(words[0]), 32)]))
	if c.refused >= mostRefused || c.overflow && name != "PING" {
		return c.refuseRest(name)
	}
	switch name {
	case "CACHE.GET", "CACHE.SET":
		names := c.front.names.Load()
		op, err := names.parse(words, name == "CACHE.SET", received)
		if err != nil {
			return c.bad(&c.front.malformed, err)
		}
		s := &slot{c: c, op: op, class: names.classes[op.Category]}
		op.Reply, op.Request.Parts, op.OnRelease = s, parts, over
		if !c.reserve(s) {
			return false
		}
		c.handing = s
		err = c.front.Engine.Submit(op)
		c.handing = nil
		if err == nil {
			handed = true
			return true
		}
		c.mu.Lock()
		s.op = nil
		c.mu.Unlock()
		if errors.Is(err, engine.ErrDuplicateID) {
			// The op that has this id stays untouched: a value for it belongs to its own client alone.
			c.front.twice.Add(1)
			s.put(figures.Failed, errorLine(err), engine.Body{})
			c.refused++
			return true
		}
		c.front.full.Add(1)
		s.Nacked(0)
		return true
	case "PING":
		if c.front.away.Load() {
			return c.reserve(&slot{c: c, answer: []byte("-ERR sent away: use another proxy\r\n")})
		}
		return c.reserve(&slot{c: c, answer: []byte("+PONG\r\n")})
	case "CLIENT", "SELECT":
		return c.reserve(&slot{c: c, answer: []byte("+OK\r\n")})
	}
	return c.bad(&c.front.malformed, errors.New("unknown command '"+name+"'"))
}

// refuseRest takes a command on a connection that ends, as there is no room for it or for the bad ones that were read with it: a request gets its
// answer all the same.
func (c *conn) refuseRest(name string) bool {
	if name != "CACHE.GET" && name != "CACHE.SET" {
		return true
	}
	return c.reserve(&slot{c: c, answer: []byte("-BUSY\r\n")})
}

// crowded tells whether a further command has to wait; the mutex is held.
func (c *conn) crowded() bool { return len(c.slots) >= mostWaiting || c.piled >= mostPiled }

// reserve appends a slot, once there is room; false means that the connection has ended.
func (c *conn) reserve(s *slot) bool {
	c.mu.Lock()
	if c.crowded() && !c.ended {
		c.mu.Unlock()
		end := c.watch(func() {})
		c.mu.Lock()
		for c.crowded() && !c.ended {
			c.room.Wait()
		}
		c.mu.Unlock()
		end()
		c.mu.Lock()
	}
	if c.ended {
		c.mu.Unlock()
		return false
	}
	if c.slots = append(c.slots, s); s.class != nil {
		c.front.Metrics.InFlight.Add(1)
	}
	c.heard = true
	c.piled += len(s.answer)
	c.front.piled.Add(int64(len(s.answer)))
	c.used = time.Now()
	first := s.answer != nil && len(c.slots) == 1
	c.mu.Unlock()
	if first {
		c.signal()
	}
	return true
}
