package ways

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	chunkSize = 16 << 10 // largest number of bytes read at once
	maxChunks = 64       // chunks in transit in each direction; at this number reading from the peer, or Write, blocks
)

// Conn is the laboratory's end of a connection. Its data is subject to the rules between the two endpoints.
type Conn struct {
	net.Conn
	rules     *RuleTable
	remote    Endpoint
	local     Endpoint
	silent    bool // carries no data in either direction, by SilentShare
	inbound   direction
	outbound  direction
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
	readEnded chan struct{} // closed when the underlying connection has ended
	readErr   error         // why it has ended; nil before, and if receive ended because of Close
}

// chunk is data in transit.
type chunk struct {
	data       []byte
	sentAt     time.Time // when it was read from the peer, or passed to Write
	releasedAt time.Time // when it passes a bandwidth limit; zero: no limit was applied
}

// direction is the state of one direction of a connection. current, rest, sentAt, readDeadline and deadlineChanged are used for inbound
// data only.
type direction struct {
	queue           chan chunk
	current         *chunk        // taken off the queue and still in transit; nil: none. Used by Read alone, as is rest
	rest            []byte        // unread part of a delivered chunk
	busyUntil       time.Time     // when all chunks accepted so far will have passed the bandwidth limit; not guarded by mu, as one goroutine uses it
	mu              sync.Mutex    // guards the fields below
	sentAt          time.Time     // of the last delivered chunk
	readDeadline    time.Time     // zero: none
	deadlineChanged chan struct{} // closed and replaced when readDeadline changes
}

// Wrap applies the rules between two endpoints to a connection.
func (t *RuleTable) Wrap(c net.Conn, remote, local Endpoint) *Conn {
	inboundRule, _ := t.effective(remote, local)
	k := &Conn{
		Conn:      c,
		rules:     t,
		remote:    remote,
		local:     local,
		silent:    t.draw(inboundRule.SilentShare),
		closed:    make(chan struct{}),
		readEnded: make(chan struct{}),
	}
	for _, d := range []*direction{&k.inbound, &k.outbound} {
		d.queue, d.deadlineChanged = make(chan chunk, maxChunks), make(chan struct{})
	}
	t.subscribe(k, true)
	go k.receive()
	go k.send()
	return k
}

// receive reads data as it arrives, while fewer than maxChunks chunks are in transit, so that sentAt is close to the time at which the
// peer sent it. Rules delay only the queued data.
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

// transitDelay returns how much longer a chunk is in transit; 0: it has arrived. cut means that it stays in transit until the rules
// change, when changed is closed. At the first call for a chunk under a bandwidth limit, it reserves the time that the chunk takes.
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

// Read returns data that has passed the link. See SentAt for when the peer sent it.
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
				senderClosed = k.readEnded // data on a cut link is dropped when its sender closes the connection
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

// SentAt returns about when the peer sent the bytes that were last read.
func (k *Conn) SentAt() time.Time {
	k.inbound.mu.Lock()
	defer k.inbound.mu.Unlock()
	return k.inbound.sentAt
}

// SetReadDeadline implements net.Conn.
func (k *Conn) SetReadDeadline(at time.Time) error {
	k.inbound.mu.Lock()
	defer k.inbound.mu.Unlock()
	k.inbound.readDeadline = at
	close(k.inbound.deadlineChanged)
	k.inbound.deadlineChanged = make(chan struct{})
	return nil
}

// SetDeadline sets the read deadline alone; see SetWriteDeadline.
func (k *Conn) SetDeadline(at time.Time) error { return k.SetReadDeadline(at) }

// SetWriteDeadline does nothing: a deadline on the underlying connection could expire while data is delayed by a rule, and the
// time-out would be taken for a fault of the peer.
func (k *Conn) SetWriteDeadline(time.Time) error { return nil }

// Write queues data for the link. It blocks only while maxChunks chunks are in transit.
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

// send writes queued data to the underlying connection when it has passed the link. After Close it writes the rest of the queue, unless the
// link is cut, and then closes the underlying connection.
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

// Close ends the connection and returns at once. Data in transit to the peer is still written, unless the link is cut; data in transit from
// the peer is dropped.
func (k *Conn) Close() error {
	k.closeOnce.Do(func() {
		k.rules.subscribe(k, false)
		close(k.closed)
	})
	return nil
}

// Abort closes the connection with a TCP reset, and drops the data in transit.
func (k *Conn) Abort() {
	if t, ok := k.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	k.Conn.Close()
	k.Close()
}

// rulesChanged resets the connection with probability ResetShare of an added rule that matches either direction. It does nothing for other
// changes.
func (k *Conn) rulesChanged(added *Rule) {
	if added != nil && added.ResetShare > 0 && (added.matches(k.remote, k.local) || added.matches(k.local, k.remote)) && k.rules.draw(added.ResetShare) {
		k.Abort()
	}
}

// ErrLinkCut is returned by Dial if the link stayed cut for the whole time-out.
var ErrLinkCut = errors.New("link is cut")

// Dial connects to another process. The wait while the link is cut and the dial after it take up to timeout each.
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
