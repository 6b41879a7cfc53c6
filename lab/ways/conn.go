package ways

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	piece    = 16 << 10
	mostHeld = 64 // pieces on their way in each direction; the sender waits for more
)

// Conn is the lab's end of a connection: what comes and goes passes the ways between far and near.
type Conn struct {
	net.Conn
	t         *RuleTable
	far, near Endpoint
	mute      bool // it came up, and never says or hears anything
	in, out   pipe
	over      chan struct{}
	once      sync.Once
	ended     chan struct{}
	broke     error // why nothing more comes, once that is closed
}

type held struct {
	data []byte
	at   time.Time // when it was sent
	out  time.Time // when a thinned way has let it through
}

// pipe is one direction.
type pipe struct {
	queue chan held
	next  *held      // that was taken off the queue
	rest  []byte     // of a piece that was read in part
	mu    sync.Mutex // guards what follows, but for free
	sent  time.Time
	free  time.Time // a thinned way is busy until then
	until time.Time // a reader's deadline
	wake  chan struct{}
}

// Through has a connection pass the ways between its two ends.
func (t *RuleTable) Through(c net.Conn, far, near Endpoint) *Conn {
	there, _ := t.is(far, near)
	k := &Conn{Conn: c, t: t, far: far, near: near, mute: t.draw(there.Lose), over: make(chan struct{}), ended: make(chan struct{})}
	for _, p := range []*pipe{&k.in, &k.out} {
		p.queue, p.wake = make(chan held, mostHeld), make(chan struct{})
	}
	t.follow(k, true)
	go k.receive()
	go k.send()
	return k
}

// receive takes bytes off as they come, whatever the way does with them: their time is when they were sent.
func (k *Conn) receive() {
	defer close(k.in.queue)
	for {
		data := make([]byte, piece)
		n, err := k.Conn.Read(data)
		if n > 0 && !k.mute {
			select {
			case k.in.queue <- held{data: data[:n], at: time.Now()}:
			case <-k.over:
				return
			}
		}
		if err != nil {
			k.broke = err
			close(k.ended)
			return
		}
	}
}

// wait is how long a piece stays on its way from now on; 0: it is out. cut: until the rules change, which they do by what
// closes changed.
func (k *Conn) wait(p *pipe, from, to Endpoint, h *held) (left time.Duration, cut bool, changed <-chan struct{}) {
	is, changed := k.t.is(from, to)
	if is.Cut {
		return 0, true, changed
	}
	due := h.at.Add(is.Delay)
	if is.Rate > 0 && h.out.IsZero() {
		if p.free.Before(due) {
			p.free = due
		}
		p.free = p.free.Add(time.Duration(float64(len(h.data)) / is.Rate * float64(time.Second)))
		h.out = p.free
	}
	if due.Before(h.out) {
		due = h.out
	}
	return max(time.Until(due), 0), false, changed
}

// Read gives what has come through; Sent tells when that was sent.
func (k *Conn) Read(b []byte) (int, error) {
	p := &k.in
	for len(p.rest) == 0 {
		p.mu.Lock()
		until, wake := p.until, p.wake
		p.mu.Unlock()
		var stop, out <-chan time.Time
		var changed, ended <-chan struct{}
		queue := p.queue
		if !until.IsZero() {
			stop = time.After(time.Until(until))
		}
		if p.next != nil {
			left, cut, news := k.wait(p, k.far, k.near, p.next)
			if left == 0 && !cut {
				p.mu.Lock()
				p.rest, p.sent, p.next = p.next.data, p.next.at, nil
				p.mu.Unlock()
				continue
			}
			if queue, changed = nil, news; cut {
				ended = k.ended // the sender has closed: what is still on a cut way never comes
			} else {
				out = time.After(left)
			}
		}
		select {
		case h, more := <-queue:
			if !more {
				return 0, k.broke
			}
			p.next = &h
		case <-ended:
			return 0, k.broke
		case <-out:
		case <-changed:
		case <-wake:
		case <-stop:
			return 0, os.ErrDeadlineExceeded
		case <-k.over:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// Sent is when the bytes that were last read were sent.
func (k *Conn) Sent() time.Time {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	return k.in.sent
}

// SetReadDeadline and SetDeadline are those of a net.Conn, for reads; what is written is not waited for.
func (k *Conn) SetReadDeadline(at time.Time) error {
	k.in.mu.Lock()
	defer k.in.mu.Unlock()
	k.in.until = at
	close(k.in.wake)
	k.in.wake = make(chan struct{})
	return nil
}

func (k *Conn) SetDeadline(at time.Time) error { return k.SetReadDeadline(at) }

// SetWriteDeadline does nothing. Danger: it would end the connection under what is still on its way, and be taken for the other
// side's doing.
func (k *Conn) SetWriteDeadline(time.Time) error { return nil }

// Write sends on its way, and waits only if too much is on it.
func (k *Conn) Write(b []byte) (int, error) {
	select {
	case <-k.over:
		return 0, net.ErrClosed
	default:
	}
	if k.mute {
		return len(b), nil
	}
	select {
	case k.out.queue <- held{data: append([]byte(nil), b...), at: time.Now()}:
		return len(b), nil
	case <-k.over:
		return 0, net.ErrClosed
	}
}

// send has what was written go out, also what was written before the end, unless the way is cut by then.
func (k *Conn) send() {
	defer k.Conn.Close()
	for over := false; ; {
		var h held
		select {
		case h = <-k.out.queue:
		default:
			if over {
				return
			}
			select {
			case h = <-k.out.queue:
			case <-k.over:
				over = true
				continue
			}
		}
		for {
			left, cut, changed := k.wait(&k.out, k.near, k.far, &h)
			if cut {
				select {
				case <-changed:
				case <-k.over:
					return
				}
				continue
			}
			if left == 0 {
				break
			}
			time.Sleep(left)
		}
		if _, err := k.Conn.Write(h.data); err != nil {
			k.Close()
			return
		}
	}
}

// Close ends it; what is on its way still goes out.
func (k *Conn) Close() error {
	k.once.Do(func() {
		k.t.follow(k, false)
		close(k.over)
	})
	return nil
}

// Abort ends it with a reset.
func (k *Conn) Abort() {
	if t, ok := k.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	k.Conn.Close()
	k.Close()
}

// ruled resets a share of the open connections as a rule says.
func (k *Conn) ruled(put *Rule) {
	if put != nil && put.Reset > 0 && (put.holds(k.far, k.near) || put.holds(k.near, k.far)) && k.t.draw(put.Reset) {
		k.Abort()
	}
}

// ErrCut is a handshake that did not come up.
var ErrCut = errors.New("the way is cut")

// Dial connects to another process, unless the way is cut for all the time that it may take.
func (t *RuleTable) Dial(near, far Endpoint, addr string, patience time.Duration) (net.Conn, error) {
	for late := time.After(patience); t.Cut(near, far); {
		_, changed := t.is(near, far)
		select {
		case <-changed:
		case <-late:
			return nil, ErrCut
		}
	}
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return nil, err
	}
	return t.Through(c, far, near), nil
}
