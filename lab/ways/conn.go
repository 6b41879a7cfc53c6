package ways

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	chunkSize = 16 << 10
	maxChunks = 64 // pieces on their way in each direction; the sender waits for more
)

// Conn is the lab's end of a connection: what comes and goes passes the ways between far and near.
type Conn struct {
	net.Conn
	rules             *RuleTable
	remote, local     Endpoint
	silent            bool // it came up, and never says or hears anything
	inbound, outbound direction
	closed            chan struct{}
	closeOnce         sync.Once
	readEnded         chan struct{}
	readErr           error // why nothing more comes, once that is closed
}

type chunk struct {
	data       []byte
	sentAt     time.Time // when it was sent
	releasedAt time.Time // when a thinned way has let it through
}

// pipe is one direction.
type direction struct {
	queue           chan chunk
	current         *chunk     // that was taken off the queue
	rest            []byte     // of a piece that was read in part
	mu              sync.Mutex // guards what follows, but for free
	sentAt          time.Time
	busyUntil       time.Time // a thinned way is busy until then
	readDeadline    time.Time // a reader's deadline
	deadlineChanged chan struct{}
}

// Through has a connection pass the ways between its two ends.
func (t *RuleTable) Wrap(c net.Conn, remote, local Endpoint) *Conn {
	inboundRule, _ := t.effective(remote, local)
	k := &Conn{Conn: c, rules: t, remote: remote, local: local, silent: t.draw(inboundRule.SilentShare), closed: make(chan struct{}), readEnded: make(chan struct{})}
	for _, d := range []*direction{&k.inbound, &k.outbound} {
		d.queue, d.deadlineChanged = make(chan chunk, maxChunks), make(chan struct{})
	}
	t.subscribe(k, true)
	go k.receive()
	go k.send()
	return k
}

// receive takes bytes off as they come, whatever the way does with them: their time is when they were sent.
func (k *Conn) receive() {
	defer close(k.inbound.queue)
	for {
		data := make([]byte, chunkSize)
		n, err := k.Conn.Read(data)
		if n > 0 && !k.silent {
			select {
			case k.inbound.queue <- chunk{data: data[:n], sentAt: time.Now()}:
			case <-k.closed:
				return
			}
		}
		if err != nil {
			k.readErr = err
			close(k.readEnded)
			return
		}
	}
}

// wait is how long a piece stays on its way from now on; 0: it is out. cut: until the rules change, which they do by what
// closes changed.
func (k *Conn) transitDelay(d *direction, from, to Endpoint, c *chunk) (remaining time.Duration, cut bool, changed <-chan struct{}) {
	rule, changed := k.rules.effective(from, to)
	if rule.Cut {
		return 0, true, changed
	}
	due := c.sentAt.Add(rule.Delay)
	if rule.BytesPerSecond > 0 && c.releasedAt.IsZero() {
		if d.busyUntil.Before(due) {
			d.busyUntil = due
		}
		d.busyUntil = d.busyUntil.Add(time.Duration(float64(len(c.data)) / rule.BytesPerSecond * float64(time.Second)))
		c.releasedAt = d.busyUntil
	}
	if due.Before(c.releasedAt) {
		due = c.releasedAt
	}
	return max(time.Until(due), 0), false, changed
}

// Read gives what has come through; Sent tells when that was sent.
func (k *Conn) Read(b []byte) (int, error) {
	d := &k.inbound
	for len(d.rest) == 0 {
		d.mu.Lock()
		deadline, deadlineChanged := d.readDeadline, d.deadlineChanged
		d.mu.Unlock()
		var timeout, released <-chan time.Time
		var changed, senderClosed <-chan struct{}
		queue := d.queue
		if !deadline.IsZero() {
			timeout = time.After(time.Until(deadline))
		}
		if d.current != nil {
			remaining, cut, rulesChanged := k.transitDelay(d, k.remote, k.local, d.current)
			if remaining == 0 && !cut {
				d.mu.Lock()
				d.rest, d.sentAt, d.current = d.current.data, d.current.sentAt, nil
				d.mu.Unlock()
				continue
			}
			if queue, changed = nil, rulesChanged; cut {
				senderClosed = k.readEnded // the sender has closed: what is still on a cut way never comes
			} else {
				released = time.After(remaining)
			}
		}
		select {
		case c, more := <-queue:
			if !more {
				return 0, k.readErr
			}
			d.current = &c
		case <-senderClosed:
			return 0, k.readErr
		case <-released:
		case <-changed:
		case <-deadlineChanged:
		case <-timeout:
			return 0, os.ErrDeadlineExceeded
		case <-k.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// Sent is when the bytes that were last read were sent.
func (k *Conn) SentAt() time.Time {
	k.inbound.mu.Lock()
	defer k.inbound.mu.Unlock()
	return k.inbound.sentAt
}

// SetReadDeadline and SetDeadline are those of a net.Conn, for reads; what is written is not waited for.
func (k *Conn) SetReadDeadline(at time.Time) error {
	k.inbound.mu.Lock()
	defer k.inbound.mu.Unlock()
	k.inbound.readDeadline = at
	close(k.inbound.deadlineChanged)
	k.inbound.deadlineChanged = make(chan struct{})
	return nil
}

func (k *Conn) SetDeadline(at time.Time) error { return k.SetReadDeadline(at) }

// SetWriteDeadline does nothing. Danger: it would end the connection under what is still on its way, and be taken for the other
// side's doing.
func (k *Conn) SetWriteDeadline(time.Time) error { return nil }

// Write sends on its way, and waits only if too much is on it.
func (k *Conn) Write(b []byte) (int, error) {
	select {
	case <-k.closed:
		return 0, net.ErrClosed
	default:
	}
	if k.silent {
		return len(b), nil
	}
	select {
	case k.outbound.queue <- chunk{data: append([]byte(nil), b...), sentAt: time.Now()}:
		return len(b), nil
	case <-k.closed:
		return 0, net.ErrClosed
	}
}

// send has what was written go out, also what was written before the end, unless the way is cut by then.
func (k *Conn) send() {
	defer k.Conn.Close()
	for closed := false; ; {
		var c chunk
		select {
		case c = <-k.outbound.queue:
		default:
			if closed {
				return
			}
			select {
			case c = <-k.outbound.queue:
			case <-k.closed:
				closed = true
				continue
			}
		}
		for {
			remaining, cut, changed := k.transitDelay(&k.outbound, k.local, k.remote, &c)
			if cut {
				select {
				case <-changed:
				case <-k.closed:
					return
				}
				continue
			}
			if remaining == 0 {
				break
			}
			time.Sleep(remaining)
		}
		if _, err := k.Conn.Write(c.data); err != nil {
			k.Close()
			return
		}
	}
}

// Close ends it; what is on its way still goes out.
func (k *Conn) Close() error {
	k.closeOnce.Do(func() {
		k.rules.subscribe(k, false)
		close(k.closed)
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
func (k *Conn) rulesChanged(put *Rule) {
	if put != nil && put.ResetShare > 0 && (put.matches(k.remote, k.local) || put.matches(k.local, k.remote)) && k.rules.draw(put.ResetShare) {
		k.Abort()
	}
}

// ErrCut is a handshake that did not come up.
var ErrLinkCut = errors.New("the way is cut")

// Dial connects to another process, unless the way is cut for all the time that it may take.
func (t *RuleTable) Dial(local, remote Endpoint, addr string, timeout time.Duration) (net.Conn, error) {
	for expired := time.After(timeout); t.IsCut(local, remote); {
		_, changed := t.effective(local, remote)
		select {
		case <-changed:
		case <-expired:
			return nil, ErrLinkCut
		}
	}
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return t.Wrap(c, remote, local), nil
}
