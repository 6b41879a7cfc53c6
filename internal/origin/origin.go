// Package origin holds the origin's wire, HTTP/1.1. Requests go out over our own connections: net/http's
// Transport sends a GET again by itself when a reused connection breaks, and each copy counts as a push.
package origin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/pool"
	"minttray/policy"
)

const (
	longest     = engine.MaxContiguousBytes // a value that is held
	longestHead = 16 << 10     // net/http sets no bound to an answer's header
	mostInterim = 16           // 1xx ahead of one answer
)

// Protocol is HTTP/1.1 as the origin speaks it; Host is the address that stands in the list.
type Protocol struct{ Host string }

// Append writes GET /KEY, or PUT /KEY with the value. The properties go on as they came, but for the deadline, which is the attempt's own:
// the origin is a server like any other.
func (p Protocol) Append(b []byte, r *engine.Request, passed deadline.AttemptDeadline) (all []byte, gap int) {
	properties := string(r.Properties.Append(nil, passed))
	req := &http.Request{Method: http.MethodGet, Host: p.Host, URL: &url.URL{Path: "/" + r.Key}, Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"X-Trace-Id": {r.ID}, "X-Props": {properties}, "User-Agent": nil}}
	if len(r.Parts) > 0 { // net/http would have to be handed the value
		out := bytes.NewBuffer(b)
		fmt.Fprintf(out, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", req.URL.RequestURI(), p.Host, r.Size())
		delete(req.Header, "User-Agent")
		req.Header.Write(out)
		out.WriteString("\r\n")
		return out.Bytes(), out.Len()
	}
	if r.Write {
		req.Method, req.ContentLength = http.MethodPut, int64(len(r.Value))
		if req.Body = http.NoBody; len(r.Value) > 0 {
			req.Body = io.NopCloser(bytes.NewReader(r.Value))
		}
	}
	out := bytes.NewBuffer(b)
	req.Write(out) // to memory: it can't fail but for a malformed request, which is then cut and refused
	return out.Bytes(), 0
}

// Answers reads one connection's answers.
func (Protocol) Answers(r io.Reader) pool.Answers {
	limit := &io.LimitedReader{R: r}
	return &answers{limit: limit, r: bufio.NewReader(limit)}
}

type answers struct {
	limit *io.LimitedReader // what one answer may take, so that an endless one ends
	r     *bufio.Reader
	body  io.ReadCloser // of a value that is announced
	size  int64
	keep  bool
}

func (a *answers) Wait() error {
	a.limit.N = longest + longestHead
	_, err := a.r.Peek(1)
	return err
}

// Pass hands on an announced value.
func (a *answers) Pass(w *io.PipeWriter) (keep bool, err error) {
	under := a.limit.R
	a.limit.R, a.limit.N = pool.Patiently(under), a.size
	defer func() { a.limit.R, a.body = under, nil }()
	buf := make([]byte, 32<<10)
	if _, err := io.CopyBuffer(struct{ io.Writer }{w}, a.body, buf); err != nil {
		return false, err
	}
	a.body.Close()
	return a.keep, nil
}

func (a *answers) Rest() int { return a.r.Buffered() }

// spoilt keeps the network's errors apart: what ended or was given up is no bad answer.
func spoilt(why any) error {
	if err, ok := why.(error); ok {
		var n net.Error
		if errors.As(err, &n) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			return err
		}
	}
	return fmt.Errorf("%w: %v", pool.ErrSpoilt, why)
}

func (a *answers) Read(r *engine.Request) (engine.Result, bool, error) {
	method := http.MethodGet
	if r.Write {
		method = http.MethodPut
	}
	req := &http.Request{Method: method}
	resp, err := http.ReadResponse(a.r, req)
	for n := 0; err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols && n < mostInterim; n++ {
		resp, err = http.ReadResponse(a.r, req) // word that the answer is still to come
	}
	if err != nil {
		return engine.Result{}, false, spoilt(err)
	}
	switch {
	case resp.StatusCode < 200:
		return engine.Result{}, false, spoilt("no answer behind its interim ones")
	case resp.ContentLength > longest && resp.ContentLength <= engine.MaxValueBytes && resp.StatusCode == http.StatusOK:
		a.body, a.size, a.keep = resp.Body, resp.ContentLength, !resp.Close
		return engine.Result{Outcome: policy.Acked, Body: engine.Body{Size: int(a.size)}}, a.keep, nil
	case resp.ContentLength > longest:
		return engine.Result{}, false, spoilt("body longer than a value may be")
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// It would end with the connection: nobody could tell a whole value from one cut short.
		return engine.Result{}, false, spoilt("body of no known length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, longest+1))
	if err != nil {
		return engine.Result{}, false, spoilt(err)
	}
	if len(body) > longest {
		return engine.Result{}, false, spoilt("body longer than a value may be")
	}
	resp.Body.Close()
	keep := !resp.Close
	switch {
	case resp.StatusCode == http.StatusOK:
		return engine.Result{Outcome: policy.Acked, Value: body}, keep, nil
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		return engine.Result{Outcome: policy.Rejected}, keep, nil
	default:
		return engine.Result{Outcome: policy.Errored, Err: errors.New("origin: " + resp.Status)}, keep, nil
	}
}
