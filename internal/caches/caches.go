// Package caches holds the caches' wire: RESP2 commands out, arrays and error lines back.
package caches

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"minttray/internal/buffer"
	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/pool"
	"minttray/internal/resp"
	"minttray/internal/settings"
	"minttray/policy"
)

// Protocol is RESP2 as caches speak it.
type Protocol struct {
	// Names of the load report's fields: how long ops take, in milliseconds; ops that wait; ops done in a second.
	// Empty: it has none.
	LatencyField, WaitingField, RateField string
}

// Append writes the command as the client sent it, but for the deadline, which is the attempt's own.
func (Protocol) Append(b []byte, r *engine.Request, passed deadline.AttemptDeadline) (out []byte, gap int) {
	if r.Probe {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load"), 0
	}
	words := 4
	if r.Write {
		words = 5
	}
	b = redcon.AppendArray(b, words)
	if r.Write {
		b = redcon.AppendBulkString(b, "CACHE.SET")
	} else {
		b = redcon.AppendBulkString(b, "CACHE.GET")
	}
	b = redcon.AppendBulkString(b, r.Key)
	b = redcon.AppendBulkString(b, r.ID)
	b = redcon.AppendBulk(b, r.Properties.Append(nil, passed))
	if len(r.Parts) > 0 {
		b = append(strconv.AppendInt(append(b, '$'), int64(r.Size()), 10), "\r\n"...)
		return append(b, "\r\n"...), len(b)
	}
	if r.Write {
		b = redcon.AppendBulk(b, r.Value)
	}
	return b, 0
}

// Answers reads one connection's answers.
func (p Protocol) Answers(r io.Reader) pool.Answers { return &answers{Protocol: p, r: r} }

type answers struct {
	Protocol
	r    io.Reader
	buf  buffer.Buffer
	size int // of a value that is announced
}

func (a *answers) Wait() error {
	if len(a.buf.Bytes()) > 0 {
		return nil
	}
	return a.buf.Fill(a.r)
}

func (a *answers) Rest() int { return len(a.buf.Bytes()) }

func (a *answers) Read(r *engine.Request) (engine.Result, bool, error) {
	for {
		var n int
		var res engine.Result
		var err error
		if r.Probe {
			n, res, err = a.told(a.buf.Bytes())
		} else {
			n, res, err = next(a.buf.Bytes(), a.LatencyField)
		}
		var long *resp.BulkTooLongError
		if errors.As(err, &long) && !r.Probe && long.ArrayLength == form.MaxElements && long.Index == 0 && long.Length > 0 &&
			long.Length <= engine.MaxValueBytes {
			a.buf.Discard(long.Offset)
			a.size = long.Length
			return engine.Result{Outcome: policy.Acked, Body: engine.Body{Size: long.Length}}, true, nil
		}
		if err != nil {
			return engine.Result{}, false, err
		}
		if n > 0 {
			a.buf.Discard(n)
			return res, true, nil
		}
		if err := a.buf.Fill(a.r); errors.Is(err, buffer.ErrFull) {
			return engine.Result{}, false, spoilt(err)
		} else if err != nil {
			return engine.Result{}, false, err
		}
	}
}

// Pass hands on an announced value. Only when its frame has ended where its length says does w hear of the end.
func (a *answers) Pass(w *io.PipeWriter) (keep bool, err error) {
	r := pool.Patiently(a.r)
	for left := a.size; left > 0; {
		if len(a.buf.Bytes()) == 0 {
			if err := a.buf.Fill(r); err != nil {
				return false, err
			}
		}
		part := a.buf.Bytes()
		part = part[:min(len(part), left)]
		if _, err := w.Write(part); err != nil {
			return false, err
		}
		left -= len(part)
		a.buf.Discard(len(part))
	}
	ended := false
	for {
		b := a.buf.Bytes()
		if len(b) >= 1 && b[0] != '\r' || len(b) >= 2 && b[1] != '\n' {
			return false, spoilt("a value that does not end where its length says")
		}
		if len(b) >= 2 && !ended {
			ended = true
			w.Close() // the value is whole, whatever becomes of the rest
		}
		if len(b) >= 2 {
			n, err := tail.CheckArray(append([]byte("*2"), b...))
			if err != nil {
				return false, nil // of no further use
			}
			if n > 0 {
				a.buf.Discard(n - len("*2"))
				return true, nil
			}
		}
		if err := a.buf.Fill(r); err != nil {
			if ended {
				err = nil
			}
			return false, err
		}
	}
}

// tail is what follows a value: how it went, and the load report.
var tail = resp.Limits{MaxElements: 2, MaxBulkLength: form.MaxBulkLength, AllowNull: true}

const longestLine = 512 // of an error, with its load report

// An answer is an array of the value, how it went and the load report, each of which may be null.
var form = resp.Limits{MaxElements: 3, MaxBulkLength: engine.MaxContiguousBytes, AllowNull: true}

func spoilt(why any) error {
	if long, ok := why.(*resp.BulkTooLongError); ok {
		return fmt.Errorf("%w: %w", pool.ErrSpoilt, long)
	}
	return fmt.Errorf("%w: %v", pool.ErrSpoilt, why)
}

// next finds a whole answer at the start of b; n is 0 while some of it is missing. Only what is in the form agreed, to
// the letter, is one: a spoilt answer must neither be served nor be taken for the proof that nothing has run, and
// one that can't become whole must not be waited for. The load report alone may be anything: one that can't be
// read says nothing, and the answer stands.
func next(b []byte, pace string) (n int, res engine.Result, err error) {
	if b[0] == redcon.Error {
		return line(b, pace)
	}
	if n, err = form.CheckArray(b); err != nil {
		return 0, res, spoilt(err)
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
	if len(parts) != form.MaxElements {
		return 0, res, spoilt("an array of another length")
	}
	switch how := string(parts[1].Data); {
	case null(parts[1]), how == "hit":
	case how == "miss", how == "pending":
		res.Missed = true
	default:
		return 0, res, spoilt("no word for how it went")
	}
	res.ReportedLatency, res.ReportInvalid = report(string(parts[2].Data), pace)
	if null(parts[0]) {
		res.Outcome = policy.Miss
	} else {
		res.Outcome, res.Value = policy.Acked, bytes.Clone(parts[0].Data)
	}
	return n, res, nil
}

// told finds a probe's whole answer at the start of b, the load report or an error line. A report that lacks what was
// asked for, or says it in no figure that can be, tells nothing.
func (p Protocol) told(b []byte) (n int, res engine.Result, err error) {
	if b[0] == redcon.Error {
		if n, res, err = line(b, ""); n > 0 && res.Outcome == policy.Rejected {
			res = engine.Result{Outcome: policy.Errored, Err: errUntold}
		}
		return n, res, err
	}
	if n, err = probed.CheckBulk(b); n == 0 || err != nil {
		if err != nil {
			err = spoilt(err)
		}
		return 0, res, err
	}
	_, reply := redcon.ReadNextRESP(b[:n])
	var waiting, rate bool
	res.QueueLength, waiting = value(string(reply.Data), p.WaitingField)
	res.OpsPerSecond, rate = value(string(reply.Data), p.RateField)
	if !waiting || !rate {
		res.Outcome, res.Err = policy.Errored, errUntold
	}
	return n, res, nil
}

var (
	probed    = resp.Limits{MaxElements: 1, MaxBulkLength: longestLine}
	errUntold = errors.New("a probe that told nothing")
)

func null(part redcon.RESP) bool { return part.Raw[1] == '-' } // $-1

// report finds how long ops take in a load report; one that can't be read, or says what can't be, is garbled.
func report(text, field string) (pace policy.Time, garbled bool) {
	if ms, ok := value(text, field); ok {
		pace = settings.ReportedLatency(ms)
	}
	return pace, pace == 0 && field != "" && strings.Contains(text, "=")
}

// value finds one field of a load report, which caches write as name=value,name=value. One that can't be read, in which
// the field stands twice, or no figure from 0 up, says nothing.
func value(text, field string) (found float64, ok bool) {
	if field == "" || text == "" {
		return 0, false
	}
	for _, part := range strings.Split(text, ",") {
		name, word, pair := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(word, 64)
		if !pair || err != nil || name == field && ok {
			return 0, false
		}
		if name == field {
			found, ok = v, true
		}
	}
	return found, ok && found >= 0 && !math.IsInf(found, 0)
}

// line reads an error line.
func line(b []byte, pace string) (n int, res engine.Result, err error) {
	end := bytes.IndexAny(b, "\r\n")
	switch {
	case end < 0 && len(b) > longestLine, end > longestLine, end >= 0 && b[end] == '\n':
		return 0, res, spoilt("a line without an end")
	case end < 0 || end+1 == len(b):
		return 0, res, nil
	case b[end+1] != '\n':
		return 0, res, spoilt("a broken line")
	}
	word, rest, _ := strings.Cut(string(b[1:end]), " ")
	res.ReportedLatency, res.ReportInvalid = report(rest[strings.LastIndexByte(rest, ' ')+1:], pace)
	switch word {
	case "BUSY":
		res.Outcome = policy.Rejected
	case "ERR", "SYNTAX", "NOPERM":
		res.Outcome, res.Err = policy.Errored, errors.New(strings.ToValidUTF8(string(b[1:end]), "?"))
	default:
		return 0, res, spoilt("an unknown error")
	}
	return end + 2, res, nil
}
