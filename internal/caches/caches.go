// Package caches implements the wire protocol of the caches: RESP2 commands as requests, arrays and error lines as responses.
package caches

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/buffer"
	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/memory"
	"minttray/internal/pool"
	"minttray/internal/resp"
	"minttray/internal/settings"
	"minttray/policy"
)

// Protocol is the RESP2 dialect of the caches. It names the fields of their load reports; an empty name means that the
// reports have no such field.
type Protocol struct {
	LatencyField string // time that an operation takes, in milliseconds
	WaitingField string // number of operations waiting
	RateField    string // operations completed per second

	Values *memory.Pool // lends the memory of values over engine.MaxInlineBytes; nil: unlimited
}

// AppendRequest appends the command as the client sent it, except for the deadline, which is the attempt's own. For a value that is not
// inline, it appends the length line and the final line end, and valueOffset is the position between them.
func (Protocol) AppendRequest(b []byte, r *engine.Request, attemptDeadline deadline.AttemptDeadline) (encoded []byte, valueOffset int) {
	if r.Probe {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load"), 0
	}
	words := 4
	if r.Write {
		words = 5
	}
	propertiesSize := r.Properties.EncodedSize(attemptDeadline)
	b = slices.Grow(b, propertiesSize+len(r.Key)+len(r.ID)+maxFraming+min(r.Size(), engine.MaxInlineBytes))
	b = redcon.AppendArray(b, words)
	if r.Write {
		b = redcon.AppendBulkString(b, "CACHE.SET")
	} else {
		b = redcon.AppendBulkString(b, "CACHE.GET")
	}
	b = redcon.AppendBulkString(b, r.Key)
	b = redcon.AppendBulkString(b, r.ID)
	b = append(strconv.AppendInt(append(b, '$'), int64(propertiesSize), 10), "\r\n"...)
	b = append(r.Properties.Append(b, attemptDeadline), "\r\n"...)
	if r.Size() > engine.MaxInlineBytes {
		b = append(strconv.AppendInt(append(b, '$'), int64(r.Size()), 10), "\r\n"...)
		return append(b, "\r\n"...), len(b)
	}
	if r.Write {
		b = redcon.AppendBulk(b, r.Value)
	}
	return b, 0
}

// maxFraming is an upper bound of the bytes of a command that are neither its properties, key and id nor its value.
const maxFraming = 128

// NewResponseReader returns a reader for the responses of one connection.
func (p Protocol) NewResponseReader(r io.Reader) pool.ResponseReader {
	return &responseReader{Protocol: p, source: r}
}

type responseReader struct {
	Protocol
	source    io.Reader
	buf       buffer.Buffer
	valueSize int // size in bytes of the value that ReadResponse announced for streaming
}

func (rr *responseReader) Wait() error {
	if len(rr.buf.Bytes()) > 0 {
		return nil
	}
	return rr.buf.Fill(rr.source)
}

func (rr *responseReader) Buffered() int { return len(rr.buf.Bytes()) }

func (rr *responseReader) ReadResponse(r *engine.Request) (engine.Result, bool, error) {
	for {
		if tooLong := rr.largeValue(); tooLong != nil && !r.Probe {
			return rr.readLargeValue(r, tooLong)
		}
		var n int
		var res engine.Result
		var err error
		if r.Probe {
			n, res, err = rr.parseProbe(rr.buf.Bytes())
		} else {
			n, res, err = parseResponse(rr.buf.Bytes(), rr.LatencyField)
		}
		var tooLong *resp.BulkTooLongError
		if errors.As(err, &tooLong) && !r.Probe && tooLong.ArrayLength == responseLimits.MaxElements && tooLong.Index == 0 && tooLong.Length > 0 &&
			tooLong.Length <= engine.MaxValueBytes {
			rr.buf.Discard(tooLong.Offset)
			rr.valueSize = tooLong.Length
			return engine.Result{Outcome: policy.Acked, Body: engine.Body{Size: tooLong.Length}}, true, nil
		}
		if err != nil {
			return engine.Result{}, false, err
		}
		if n > 0 {
			rr.buf.Discard(n)
			return res, true, nil
		}
		if err := rr.buf.Fill(rr.source); errors.Is(err, buffer.ErrFull) {
			return engine.Result{}, false, invalidResponse(err)
		} else if err != nil {
			return engine.Result{}, false, err
		}
	}
}

// largeValue returns the place of a value that begins in the buffer and is kept in a block, or nil if there is none.
func (rr *responseReader) largeValue() *resp.BulkTooLongError {
	_, err := inlineResponseLimits.CheckArray(rr.buf.Bytes())
	var tooLong *resp.BulkTooLongError
	if errors.As(err, &tooLong) && tooLong.ArrayLength == responseLimits.MaxElements && tooLong.Index == 0 && tooLong.Length > 0 &&
		tooLong.Length <= engine.MaxContiguousBytes {
		return tooLong
	}
	return nil
}

// readLargeValue reads a response whose value is kept in a block. While no block is left it reads nothing, until the request's
// deadline: the server's bytes wait in the kernel.
func (rr *responseReader) readLargeValue(r *engine.Request, announced *resp.BulkTooLongError) (res engine.Result, keep bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline.Remaining(time.Now()))
	defer cancel()
	block, err := rr.Values.Acquire(ctx)
	if err != nil {
		return res, false, err
	}
	defer func() {
		if err != nil {
			block.Release()
		}
	}()
	rr.buf.Discard(announced.Offset)
	value := block.Bytes()[:announced.Length]
	n := copy(value, rr.buf.Bytes())
	rr.buf.Discard(n)
	if _, err := io.ReadFull(rr.source, value[n:]); err != nil {
		return res, false, err
	}
	if res, err = rr.readTrailer(); err != nil {
		return engine.Result{}, false, err
	}
	res.Outcome, res.Value, res.Block = policy.Acked, value, block
	return res, true, nil
}

// readTrailer reads what follows a value that was read apart: its line end, the result word and the load report.
func (rr *responseReader) readTrailer() (engine.Result, error) {
	const nullValue = "*3\r\n$-1" // in place of the value, so that the whole is a response
	for {
		if len(rr.buf.Bytes()) > 0 {
			n, res, err := parseResponse(append([]byte(nullValue), rr.buf.Bytes()...), rr.LatencyField)
			if err != nil {
				return res, err
			}
			if n > 0 {
				rr.buf.Discard(n - len(nullValue))
				return res, nil
			}
		}
		if err := rr.buf.Fill(rr.source); errors.Is(err, buffer.ErrFull) {
			return engine.Result{}, invalidResponse(err)
		} else if err != nil {
			return engine.Result{}, err
		}
	}
}

// StreamValue writes an announced value to w. It closes w only if the value is followed by a line end where its length says.
func (rr *responseReader) StreamValue(w *io.PipeWriter) (keep bool, err error) {
	r := pool.WithReadTimeout(rr.source)
	for remaining := rr.valueSize; remaining > 0; {
		if len(rr.buf.Bytes()) == 0 {
			if err := rr.buf.Fill(r); err != nil {
				return false, err
			}
		}
		part := rr.buf.Bytes()
		part = part[:min(len(part), remaining)]
		if _, err := w.Write(part); err != nil {
			return false, err
		}
		remaining -= len(part)
		rr.buf.Discard(len(part))
	}
	ended := false
	for {
		b := rr.buf.Bytes()
		if len(b) >= 1 && b[0] != '\r' || len(b) >= 2 && b[1] != '\n' {
			return false, invalidResponse(fmt.Sprintf("value does not end after the announced %d bytes", rr.valueSize))
		}
		if len(b) >= 2 && !ended {
			ended = true
			w.Close() // the value is complete, whatever happens to the rest of the response
		}
		if len(b) >= 2 {
			// b begins with the value's line end. With an array header before it, the rest of the response is an array of two.
			n, err := trailerLimits.CheckArray(append([]byte("*2"), b...))
			if err != nil {
				return false, nil // the connection can't be reused
			}
			if n > 0 {
				rr.buf.Discard(n - len("*2"))
				return true, nil
			}
		}
		if err := rr.buf.Fill(r); err != nil {
			if ended {
				err = nil
			}
			return false, err
		}
	}
}

// maxReportBytes limits the load report that answers a probe, and an error line with the load report at its end.
const maxReportBytes = 512

// responseLimits limits a response: an array of the value, the result word and the load report, each of which may be null.
var responseLimits = resp.Limits{MaxElements: 3, MaxBulkLength: engine.MaxContiguousBytes, AllowNull: true}

// inlineResponseLimits limits a response that is parsed in the read buffer.
var inlineResponseLimits = resp.Limits{MaxElements: responseLimits.MaxElements, MaxBulkLength: engine.MaxInlineBytes, AllowNull: true}

// trailerLimits limits what follows a streamed value: the result word and the load report.
var trailerLimits = resp.Limits{MaxElements: 2, MaxBulkLength: responseLimits.MaxBulkLength, AllowNull: true}

func invalidResponse(reason any) error {
	if tooLong, ok := reason.(*resp.BulkTooLongError); ok {
		return fmt.Errorf("%w: %w", pool.ErrInvalidResponse, tooLong)
	}
	return fmt.Errorf("%w: %v", pool.ErrInvalidResponse, reason)
}

// parseResponse parses the complete response at the start of b; n is 0 if it is incomplete. It accepts exactly the agreed format: an invalid
// response must neither be served nor be taken as proof that the request was not executed, and one that can't become
// complete must not be waited for. The load report alone may have any content: an unreadable one is only reported by
// res.ReportInvalid, and the response remains valid.
func parseResponse(b []byte, latencyField string) (n int, res engine.Result, err error) {
	if b[0] == redcon.Error {
		return parseErrorLine(b, latencyField)
	}
	if n, err = responseLimits.CheckArray(b); err != nil {
		return 0, res, invalidResponse(err)
	}
	if n == 0 {
		return 0, res, nil
	}
	_, reply := redcon.ReadNextRESP(b[:n])
	var parts []redcon.RESP
	reply.ForEach(func(part redcon.RESP) bool {
		parts = append(parts, part)
		return true
	})
	if len(parts) != responseLimits.MaxElements {
		return 0, res, invalidResponse(fmt.Sprintf("array of %d elements, want %d", len(parts), responseLimits.MaxElements))
	}
	switch result := string(parts[1].Data); {
	case isNull(parts[1]), result == "hit":
	case result == "miss", result == "pending":
		res.Missed = true // the cache reports a fetch from the origin; policy.Miss below means that the response holds no value
	default:
		return 0, res, invalidResponse(fmt.Sprintf("unknown result word %q", result))
	}
	res.ReportedLatency, res.ReportInvalid = parseLatency(string(parts[2].Data), latencyField)
	if isNull(parts[0]) {
		res.Outcome = policy.Miss
	} else {
		res.Outcome, res.Value = policy.Acked, bytes.Clone(parts[0].Data)
	}
	return n, res, nil
}

// parseProbe parses the complete response to a probe at the start of b, a load report or an error line; n is 0 if it is incomplete. A
// report that lacks a requested field, or holds an invalid number, yields a result with errIncompleteReport, as does a probe that was
// rejected as BUSY.
func (p Protocol) parseProbe(b []byte) (n int, res engine.Result, err error) {
	if b[0] == redcon.Error {
		if n, res, err = parseErrorLine(b, ""); n > 0 && res.Outcome == policy.Rejected {
			res = engine.Result{Outcome: policy.Errored, Err: errIncompleteReport}
		}
		return n, res, err
	}
	if n, err = probeLimits.CheckBulk(b); n == 0 || err != nil {
		if err != nil {
			err = invalidResponse(err)
		}
		return 0, res, err
	}
	_, reply := redcon.ReadNextRESP(b[:n])
	var waitingOK, rateOK bool
	res.QueueLength, waitingOK = parseField(string(reply.Data), p.WaitingField)
	res.OpsPerSecond, rateOK = parseField(string(reply.Data), p.RateField)
	if !waitingOK || !rateOK {
		res.Outcome, res.Err = policy.Errored, errIncompleteReport
	}
	return n, res, nil
}

var (
	probeLimits         = resp.Limits{MaxElements: 1, MaxBulkLength: maxReportBytes}
	errIncompleteReport = errors.New("probe was rejected, or its response holds no valid queue length and rate")
)

func isNull(part redcon.RESP) bool { return part.Raw[1] == '-' } // a null bulk string is written as $-1

// parseLatency returns the operation latency in a load report. A report without a valid positive latency is
// invalid. A text without "=" is no report, and no latency is expected if field is empty.
func parseLatency(report, field string) (latency policy.Time, invalid bool) {
	if ms, ok := parseField(report, field); ok {
		latency = settings.ReportedLatency(ms)
	}
	return latency, latency == 0 && field != "" && strings.Contains(report, "=")
}

// parseField returns one field of a load report, which caches write as name=value,name=value. ok is false if field is empty,
// if the report lacks the field, holds it twice, or holds any value that is no number, and if the field is negative or not finite.
func parseField(report, field string) (found float64, ok bool) {
	if field == "" || report == "" {
		return 0, false
	}
	for _, pair := range strings.Split(report, ",") {
		name, text, hasValue := strings.Cut(pair, "=")
		number, err := strconv.ParseFloat(text, 64)
		if !hasValue || err != nil || name == field && ok {
			return 0, false
		}
		if name == field {
			found, ok = number, true
		}
	}
	return found, ok && found >= 0 && !math.IsInf(found, 0)
}

// parseErrorLine parses the error line at the start of b; n is 0 if it is incomplete.
func parseErrorLine(b []byte, latencyField string) (n int, res engine.Result, err error) {
	end := bytes.IndexAny(b, "\r\n")
	switch {
	case end < 0 && len(b) > maxReportBytes, end > maxReportBytes, end >= 0 && b[end] == '\n':
		return 0, res, invalidResponse(fmt.Sprintf("error line does not end with CR LF within %d bytes", maxReportBytes))
	case end < 0 || end+1 == len(b):
		return 0, res, nil
	case b[end+1] != '\n':
		return 0, res, invalidResponse("error line has no LF after CR")
	}
	code, rest, _ := strings.Cut(string(b[1:end]), " ")
	res.ReportedLatency, res.ReportInvalid = parseLatency(rest[strings.LastIndexByte(rest, ' ')+1:], latencyField)
	switch code {
	case "BUSY":
		res.Outcome = policy.Rejected
	case "ERR", "SYNTAX", "NOPERM":
		res.Outcome, res.Err = policy.Errored, errors.New(strings.ToValidUTF8(string(b[1:end]), "?"))
	default:
		return 0, res, invalidResponse(fmt.Sprintf("unknown error code %q", code))
	}
	return end + 2, res, nil
}
