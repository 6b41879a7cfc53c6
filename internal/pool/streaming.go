package pool

import (
	"errors"
	"io"
	"net"
	"time"

	"minttray/internal/engine"
)

// streamReadTimeout is the limit for each read from a server while its value is being streamed.
const streamReadTimeout = 3 * time.Second

// streamValue streams a value to the client as it arrives. The attempt's outcome is reported with the response header; from then on
// only the client's reads and the server's writes decide how the transfer ends. keep reports whether the connection can be reused.
func (c *conn) streamValue(a *attempt, res engine.Result) (keep bool) {
	p := c.pool
	p.mu.Lock()
	if a.cancelled { // while its header arrived
		p.mu.Unlock()
		return false
	}
	p.mu.Unlock()
	r, w := io.Pipe()
	res.Body.ReadCloser = r
	p.shared.StreamedValues.Add(1)
	a.complete(res)
	keep, err := c.responses.StreamValue(w)
	if errors.Is(err, io.EOF) { // the reader of the pipe would take it for the end of the value
		err = io.ErrUnexpectedEOF
	}
	w.CloseWithError(err) // nil: the end
	c.netConn.SetReadDeadline(time.Time{})
	if err != nil {
		p.shared.TruncatedValues.Add(1)
		p.shared.Log.Debug().Err(err).Str("server", p.addr).Msg("value streamed incompletely")
	}
	return keep && err == nil
}

// readTimeoutConn sets a read deadline before each read.
type readTimeoutConn struct{ net.Conn }

// WithReadTimeout limits each read of a value that is being streamed. A reader that is no network connection is returned unchanged.
func WithReadTimeout(r io.Reader) io.Reader {
	if c, ok := r.(net.Conn); ok {
		return readTimeoutConn{c}
	}
	return r
}

func (c readTimeoutConn) Read(b []byte) (int, error) {
	c.SetReadDeadline(time.Now().Add(streamReadTimeout))
	return c.Conn.Read(b)
}
