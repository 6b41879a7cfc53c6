package front

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"minttray/decide/lifecycle"
	"minttray/internal/buffer"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/resp"
)

const (
	mostWaiting = 256                     // commands of one connection that wait for their answers
	mostPiled   = 1 << 20                 // bytes of answers that one client hasn't read
	firstWord   = 2500 * time.Millisecond // for the first word of a command
	halfCommand = 2500 * time.Millisecond // for the rest of a command, or the next bytes of a long value
	idleClient  = 2 * time.Second         // without an op: many clients ask once and keep their connection for good
	mostRefused = 16                      // bad commands of one connection; one that sends nothing else ends
	slowClient  = 10 * time.Second        // for one write
	halfAtEnd   = 500 * time.Millisecond  // for the rest of a command that was half read as the connection was to end
	linger      = 300 * time.Millisecond  // for the client's end, once ours is said
	mostScrap   = 256 << 10               // bytes that are read and thrown away meanwhile
)

// conn is one client's connection. One goroutine reads commands, one writes answers in the commands' order.
type conn struct {
	front *Front
	nc    net.Conn
	born  time.Time
	place float64 // 0 to 1: when it ends among others that are not used

	// The reader's.
	source  *source
	buf     buffer.Buffer
	size    int       // of buf, as far as the front's sum knows it
	began   time.Time // when the half command in buf began to come
	refused int

	mu        sync.Mutex
	slots     []*slot // by command; not yet written
	piled     int     // bytes of answers not yet written
	used      time.Time
	room      sync.Cond // the reader waits for it while too much is piled up
	wake      chan struct{}
	heard     bool         // a whole command has come
	half      bool         // part of a command has been read
	ending    bool         // closed as soon as all that was read is answered
	grace     bool         // the reader waits, once, for the rest of a half command
	body      *engine.Body // that is being passed on
	graceEnds time.Time
	last      bool // all is answered and our side is closed: only the client's end is waited for
	unread    bool // the reader has stopped: no further command is taken
	ended     bool

	stopped chan struct{} // closed once the reader is done with the connection
}

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

func (s *slot) Passed(body engine.Body) {
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
	slow := total > c.front.Piled && int64(c.piled) > c.front.Piled/max(c.front.Conns.Load(), 1)
	c.mu.Unlock()
	if slow {
		c.front.slow.Add(1)
		go c.drop() // drop tells the engine, on whose goroutine this may be
		return
	}
	if first {
		c.signal()
	}
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// newConn makes a connection that was not there at a moment.
func newConn(f *Front, nc net.Conn, since time.Time) *conn {
	c := &conn{front: f, nc: nc, source: newSource(nc, since, f.Pulse), wake: make(chan struct{}, 1), stopped: make(chan struct{}), born: time.Now()}
	c.used = c.born
	c.room.L = &c.mu
	return c
}

// read takes commands until the client goes away or the framing is lost. It goes on while ops are open, so that
// the engine hears at once of a client that has left.
func (c *conn) read() {
	defer close(c.stopped)
	defer c.attend(func() bool { return !c.owing() }, func() {}) // what is still open may lose its client
	defer func() {
		if fault := recover(); fault != nil {
			c.front.panicked(c, fault)
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
			c.drop()
			return
		}
		now, received := time.Now(), c.source.came
		for {
			n, words, err := next(c.buf.Bytes(), args)
			var long *resp.Long
			if errors.As(err, &long) && long.Word == 4 && long.Words == 5 && long.Size > 0 && long.Size <= engine.Longest {
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
			c.buf.Take(n)
			c.began = time.Time{}
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
	if sum := c.front.buffered.Add(int64(grown)); grown > 0 && sum > c.front.Piled {
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
	ending, idle := c.ending, len(c.slots) == 0 && time.Since(c.used) >= idleClient
	half, heard := c.half, c.heard
	c.mu.Unlock()
	switch {
	case ending:
	case half:
		c.end(&c.front.halves, errHalf)
		return false
	case !heard:
		c.front.silent.Add(1)
		c.drop() // nothing was ever asked on it
		return false
	case idle:
		c.front.idle.Add(1)
		c.finish()
	}
	return true
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
	case c.ending && (!c.half || c.grace):
		c.unread = true
		c.signal()
		return false
	case c.ending:
		// The rest may already stand in the kernel's buffer, and the op is then taken.
		c.grace = true
		until = time.Now().Add(halfAtEnd)
	case c.half:
		until = c.began.Add(halfCommand)
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
	c.ending, c.unread = true, true
	c.mu.Unlock()
	c.signal()
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
	if c.refused++; c.refused >= mostRefused {
		c.front.hopeless.Add(1)
		c.stop()
		return false
	}
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
	switch name {
	case "CACHE.GET", "CACHE.SET":
		names := c.front.names.Load()
		op, err := names.parse(words, name == "CACHE.SET", received)
		if err != nil {
			return c.bad(&c.front.malformed, err)
		}
		s := &slot{c: c, op: op, class: names.classes[op.Category]}
		op.Reply, op.Request.Parts, op.Over = s, parts, over
		if !c.reserve(s) {
			return false
		}
		err = c.front.Engine.Submit(op)
		if err == nil {
			handed = true
			return true
		}
		c.mu.Lock()
		s.op = nil
		c.mu.Unlock()
		if errors.Is(err, engine.ErrTwice) {
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
		c.front.Book.InFlight.Add(1)
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

// write writes answers as far as the order allows.
func (c *conn) write() {
	defer func() {
		if fault := recover(); fault != nil {
			c.front.panicked(c, fault)
			c.drop()
		}
	}()
	var out []byte
	var done []slot // whose answers are in out
	for range c.wake {
		c.mu.Lock()
		n := 0
		for n < len(c.slots) && c.slots[n].answer != nil && (n == 0 || c.slots[n-1].body.Size == 0) {
			out = append(out, c.slots[n].answer...)
			done = append(done, slot{class: c.slots[n].class, end: c.slots[n].end, body: c.slots[n].body})
			n++
		}
		c.slots = append(c.slots[:0], c.slots[n:]...)
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return
		}
		if len(out) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(slowClient))
			_, err := c.nc.Write(out)
			for _, s := range done {
				if err == nil && s.body.Size > 0 { // the last of them
					if err = c.pass(s.body); err != nil {
						s.end = figures.Failed
						s.over(c.front, true)
						break
					}
				}
				s.let()
				s.over(c.front, err == nil)
			}
			if done = done[:0]; err != nil {
				c.drop()
				return
			}
		}
		c.mu.Lock()
		if lifecycle.Phase(c.front.phase.Load()) >= lifecycle.Answered && len(c.slots) == 0 && len(out) > 0 {
			// Right behind an answer the client is least likely to be writing: what crosses the end is left unread.
			c.endReading()
		}
		if !c.ended {
			c.piled -= len(out)
			c.front.piled.Add(-int64(len(out)))
		}
		c.used = time.Now()
		c.room.Signal()
		// Not before the reader has stopped: a command that it has read but not yet put in its place would be lost.
		last := c.unread && len(c.slots) == 0
		more := len(c.slots) > 0 && c.slots[0].answer != nil
		c.mu.Unlock()
		if out = out[:0]; cap(out) > 16<<10 {
			out = nil
		}
		if last {
			c.bye()
			return
		}
		if more {
			c.signal()
		}
	}
}

// pass hands on a value as it comes. The last line end is not written before the value has ended as it should: else the
// client must be able to tell, by the end of its connection.
func (c *conn) pass(body engine.Body) error {
	defer body.Close()
	c.mu.Lock()
	c.body = &body
	c.mu.Unlock()
	buf := passing.Get().(*[32 << 10]byte)
	defer passing.Put(buf)
	for left := body.Size; ; {
		n, err := body.Read(buf[:])
		if left -= n; err == io.EOF && left == 0 {
			c.nc.SetWriteDeadline(time.Now().Add(slowClient))
			_, err = io.WriteString(c.nc, "\r\n")
			return err
		}
		if err == io.EOF || left < 0 {
			err = errShort
		}
		if n > 0 && left >= 0 {
			c.nc.SetWriteDeadline(time.Now().Add(slowClient))
			if _, err := c.nc.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			c.front.cutOff.Add(1)
			return err
		}
	}
}

var (
	passing  = sync.Pool{New: func() any { return new([32 << 10]byte) }}
	errShort = errors.New("a value of another length than was said")
)

// let lets go of a value that nobody reads to its end.
func (s *slot) let() {
	if s.body.Size > 0 {
		s.body.Close()
	}
}

// finish lets the connection end once all that was read is answered. The reader stops between commands.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endReading()
}

// endReading stops the reader between commands; the mutex is held.
func (c *conn) endReading() {
	if !c.ending {
		c.ending = true
		c.nc.SetReadDeadline(passed)
	}
}

// unused tells whether nothing is on it, and its client has had the time to ask. One that asks again and again ends behind
// an answer.
func (c *conn) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.half && len(c.slots) == 0 && time.Since(c.used) > fresh && time.Since(c.born) > newcomer
}

// old tells whether a client has asked, or has had the time to since it came.
func (c *conn) old(born time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard || c.born.Before(born)
}

// over books an op's end: once its last byte is written, or as it was lost with its client.
func (s *slot) over(f *Front, written bool) {
	if s.class == nil {
		return
	}
	f.Book.InFlight.Add(-1)
	if written {
		s.class.Count(s.end)
	}
}

// bye ends a connection whose answers are all written. Closing with unread input would reset it, and the reset
// could overtake the last answer: so our side ends first, and the client's is read to its end.
func (c *conn) bye() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.mu.Lock()
		c.last = true
		c.mu.Unlock()
		c.nc.SetReadDeadline(passed)
		<-c.stopped // from here on this goroutine reads
		c.nc.SetReadDeadline(time.Now().Add(linger))
		scrap := make([]byte, 4<<10)
		for read := 0; read < mostScrap; {
			n, err := c.nc.Read(scrap)
			if read += n; err != nil {
				break
			}
		}
	}
	c.drop()
}

// makeWay drops the connection for another's sake, unless something came on it meanwhile, and tells whether it did.
func (c *conn) makeWay() bool {
	c.mu.Lock()
	if c.ended || !c.last && (c.ending || c.half || len(c.slots) > 0) {
		c.mu.Unlock()
		return false
	}
	c.close()
	return true
}

// drop closes the connection at once. Ops that are still open have lost their client.
func (c *conn) drop() {
	c.mu.Lock()
	c.close()
}

// close is drop with the mutex held; it lets go of that.
func (c *conn) close() {
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.ended = true
	c.front.piled.Add(-int64(c.piled))
	var left []*engine.Op
	for _, s := range c.slots {
		if s.op != nil && s.answer == nil {
			left = append(left, s.op)
		}
		s.let()
		s.over(c.front, false)
	}
	if c.body != nil {
		c.body.Close() // the server's connection must not wait for a client that has gone
	}
	c.room.Broadcast()
	c.mu.Unlock()
	c.nc.Close()
	c.signal()
	c.front.remove(c)
	for _, op := range left {
		c.front.Engine.Leave(op)
	}
}
