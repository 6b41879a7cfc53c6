package pool

import (
	"errors"
	"io"
	"net"
	"time"

	"minttray/internal/engine"
)

// stalled is how long a server may give nothing of a value that it has begun.
const stalled = 3 * time.Second

// pass hands a value on as it comes. The attempt has its outcome with the head: from there on only the client's own reading
// and the server's giving decide how it ends.
func (c *conn) pass(a *attempt, res engine.Result) (keep bool) {
	p := c.pool
	p.mu.Lock()
	if a.cancelled { // as its head came
		p.mu.Unlock()
		return false
	}
	p.mu.Unlock()
	r, w := io.Pipe()
	res.Body.ReadCloser = r
	p.shared.Passed.Add(1)
	a.done(res)
	keep, err := c.answers.Pass(w)
	if errors.Is(err, io.EOF) { // to w it would be the value's own end
		err = io.ErrUnexpectedEOF
	}
	w.CloseWithError(err) // nil: the end
	c.nc.SetReadDeadline(time.Time{})
	if err != nil {
		p.shared.CutOff.Add(1)
		p.shared.Log.Debug().Err(err).Str("server", p.addr).Msg("a value passed on in part")
	}
	return keep && err == nil
}

// patient reads with a bound on each wait.
type patient struct{ net.Conn }

// Patiently gives what bounds the waits for a value that has begun; a reader without deadlines is as it is.
func Patiently(r io.Reader) io.Reader {
	if c, ok := r.(net.Conn); ok {
		return patient{c}
	}
	return r
}

func (p patient) Read(b []byte) (int, error) {
	p.SetReadDeadline(time.Now().Add(stalled))
	return p.Conn.Read(b)
}
