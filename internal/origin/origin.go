// Package origin implements the wire protocol of the origin, HTTP/1.1. Requests go out over the connections of package pool: the
// Transport of net/http resends a GET when a reused connection breaks, and each copy counts as an attempt.
package origin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/memory"
	"minttray/internal/pool"
	"minttray/policy"
)

const (
	maxValueBytes       = engine.MaxContiguousBytes // largest value that is read at once; longer ones are streamed
	maxHeaderBytes      = 16 << 10                  // net/http does not limit the header of a response
	maxInterimResponses = 16                        // 1xx responses before a final one
)

// Protocol is the origin's HTTP/1.1 dialect.
type Protocol struct {
	Host string // the origin's address, host:port, as listed by discovery

	Values *memory.Pool // lends the memory of values over engine.MaxInlineBytes; nil: unlimited
}

// AppendRequest appends GET /KEY, or PUT /KEY with the value. The properties are forwarded unchanged, except for the deadline, which is
// the attempt's own, as with caches.
func (p Protocol) AppendRequest(b []byte, r *engine.Request, attemptDeadline deadline.AttemptDeadline) (encoded []byte, valueOffset int) {
	method := http.MethodGet
	if r.Write {
		method = http.MethodPut
	}
	b = slices.Grow(b, r.Properties.Size()+len(r.Key)+maxFraming+min(r.Size(), engine.MaxInlineBytes))
	target := url.URL{Path: "/" + r.Key}
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target.RequestURI(), p.Host)
	if r.Write {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", r.Size())
	}
	b = append(r.Properties.Append(append(b, "X-Props: "...), attemptDeadline), "\r\nX-Trace-Id: "...)
	b = append(append(b, r.ID...), "\r\n\r\n"...)
	if r.Size() > engine.MaxInlineBytes {
		return b, len(b)
	}
	return append(b, r.Value...), 0
}

// maxFraming is an upper bound of the bytes of a request that are neither its properties and key nor its value.
const maxFraming = 2 << 10

// NewResponseReader returns a reader for the responses of one connection.
func (p Protocol) NewResponseReader(r io.Reader) pool.ResponseReader {
	limited := &io.LimitedReader{R: r}
	return &responseReader{values: p.Values, limited: limited, reader: bufio.NewReader(limited)}
}

type responseReader struct {
	values  *memory.Pool
	limited *io.LimitedReader // limits the bytes of one response
	reader  *bufio.Reader

	// Set by ReadResponse for a value that StreamValue reads.
	pendingBody      io.ReadCloser
	pendingSize      int64 // bytes
	pendingKeepAlive bool
}

func (rr *responseReader) Wait() error {
	rr.limited.N = maxValueBytes + maxHeaderBytes
	_, err := rr.reader.Peek(1)
	return err
}

// StreamValue writes an announced value to w.
func (rr *responseReader) StreamValue(w *io.PipeWriter) (keep bool, err error) {
	source := rr.limited.R
	rr.limited.R, rr.limited.N = pool.WithReadTimeout(source), rr.pendingSize
	defer func() { rr.limited.R, rr.pendingBody = source, nil }()
	buf := make([]byte, 32<<10)
	if _, err := io.CopyBuffer(struct{ io.Writer }{w}, rr.pendingBody, buf); err != nil {
		return false, err
	}
	rr.pendingBody.Close()
	return rr.pendingKeepAlive, nil
}

func (rr *responseReader) Buffered() int { return rr.reader.Buffered() }

// invalidResponse wraps reason in pool.ErrInvalidResponse. It returns network errors unchanged: a connection that was closed or aborted is
// no protocol violation.
func invalidResponse(reason any) error {
	if err, ok := reason.(error); ok {
		var netErr net.Error
		if errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			return err
		}
	}
	return fmt.Errorf("%w: %v", pool.ErrInvalidResponse, reason)
}

func (rr *responseReader) ReadResponse(r *engine.Request) (engine.Result, bool, error) {
	method := http.MethodGet
	if r.Write {
		method = http.MethodPut
	}
	req := &http.Request{Method: method}
	resp, err := http.ReadResponse(rr.reader, req)
	for n := 0; err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols && n < maxInterimResponses; n++ {
		resp, err = http.ReadResponse(rr.reader, req)
	}
	if err != nil {
		return engine.Result{}, false, invalidResponse(err)
	}
	switch {
	case resp.StatusCode < 200:
		return engine.Result{}, false, invalidResponse("no final response after " + resp.Status)
	case resp.ContentLength > maxValueBytes && resp.ContentLength <= engine.MaxValueBytes && resp.StatusCode == http.StatusOK:
		rr.pendingBody, rr.pendingSize, rr.pendingKeepAlive = resp.Body, resp.ContentLength, !resp.Close
		return engine.Result{Outcome: policy.Acked, Body: engine.Body{Size: int(rr.pendingSize)}}, rr.pendingKeepAlive, nil
	case resp.ContentLength > maxValueBytes:
		return engine.Result{}, false, invalidResponse(fmt.Sprintf("%s with a body of %d bytes exceeds the limit", resp.Status, resp.ContentLength))
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// Such a body ends with the connection: a complete value can't be told from a truncated one.
		return engine.Result{}, false, invalidResponse("body without a length")
	}
	body, block, err := rr.readBody(r, resp.Body)
	if err != nil {
		return engine.Result{}, false, err
	}
	resp.Body.Close()
	keep := !resp.Close
	if resp.StatusCode == http.StatusOK {
		return engine.Result{Outcome: policy.Acked, Value: body, Block: block}, keep, nil
	}
	block.Release()
	switch {
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		return engine.Result{Outcome: policy.Rejected}, keep, nil
	default:
		return engine.Result{Outcome: policy.Errored, Err: errors.New("origin: " + resp.Status)}, keep, nil
	}
}

// readBody reads a body to its end. One longer than engine.MaxInlineBytes is kept in a block; while none is left nothing is read,
// until the request's deadline.
func (rr *responseReader) readBody(r *engine.Request, source io.Reader) (body []byte, block *memory.Block, err error) {
	body, err = io.ReadAll(io.LimitReader(source, engine.MaxInlineBytes))
	if err != nil {
		return nil, nil, invalidResponse(err)
	}
	if len(body) < engine.MaxInlineBytes {
		return body, nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline.Remaining(time.Now()))
	defer cancel()
	if block, err = rr.values.Acquire(ctx); err != nil {
		return nil, nil, err
	}
	n, err := readAllInto(block.Bytes()[:maxValueBytes+1], copy(block.Bytes(), body), source)
	if err != nil {
		block.Release()
		return nil, nil, err
	}
	return block.Bytes()[:n], block, nil
}

// readAllInto reads a body to its end into dest, whose first n bytes are taken. A body that fills dest is too long.
func readAllInto(dest []byte, n int, source io.Reader) (int, error) {
	for n < len(dest) {
		read, err := source.Read(dest[n:])
		n += read
		if err == io.EOF && n < len(dest) {
			return n, nil
		}
		if err != nil && err != io.EOF {
			return 0, invalidResponse(err)
		}
	}
	return 0, invalidResponse(fmt.Sprintf("chunked body exceeds %d bytes", maxValueBytes))
}
