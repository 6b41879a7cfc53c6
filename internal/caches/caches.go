// Package caches holds the caches' wire: RESP2 commands out, arrays and error lines back.
package caches

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/buffer"
	"minttray/internal/engine"
	"minttray/internal/pool"
	"minttray/policy"
)

// Protocol is RESP2 as caches speak it.
type Protocol struct{}

// Append writes the command as the client sent it, but for the time that this push has.
func (Protocol) Append(b []byte, r *engine.Request, left time.Duration) []byte {
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
	wait := strconv.FormatInt(max(left.Milliseconds(), 1), 10)
	b = redcon.AppendBulkString(b, r.Props[:r.Wait[0]]+wait+r.Props[r.Wait[1]:])
	if r.Write {
		b = redcon.AppendBulk(b, r.Value)
	}
	return b
}

// Answers reads one connection's answers.
func (Protocol) Answers(r io.Reader) pool.Answers { return &answers{r: r} }

type answers struct {
	r   io.Reader
	buf buffer.Buffer
}

func (a *answers) Wait() error {
	if len(a.buf.Bytes()) > 0 {
		return nil
	}
	return a.buf.Fill(a.r)
}

func (a *answers) Rest() int { return len(a.buf.Bytes()) }

func (a *answers) Read(*engine.Request) (engine.Result, bool, error) {
	for {
		n, reply, err := next(a.buf.Bytes())
		if err != nil {
			return engine.Result{}, false, err
		}
		if n > 0 {
			res, err := result(reply)
			a.buf.Take(n)
			return res, err == nil, err
		}
		if err := a.buf.Fill(a.r); err != nil {
			return engine.Result{}, false, err
		}
	}
}

var errGarbage = errors.New("not an answer")

// next finds a whole reply at the start of b; n is 0 while some of it is missing.
func next(b []byte) (n int, reply redcon.RESP, err error) {
	defer func() {
		if recover() != nil { // redcon's parser runs over its input on absurd lengths
			n, err = 0, errGarbage
		}
	}()
	if b[0] != redcon.Array && b[0] != redcon.Error {
		return 0, reply, errGarbage
	}
	n, reply = redcon.ReadNextRESP(b)
	return n, reply, nil
}

// result reads a whole reply. What is not in the form agreed may have run.
func result(reply redcon.RESP) (engine.Result, error) {
	if reply.Type == redcon.Error {
		if word, _, _ := bytes.Cut(reply.Data, []byte(" ")); string(word) == "BUSY" {
			return engine.Result{Outcome: policy.Full}, nil
		}
		return engine.Result{Outcome: policy.Errored, Err: errors.New(strings.ToValidUTF8(string(reply.Data), "?"))}, nil
	}
	var parts []redcon.RESP
	reply.ForEach(func(part redcon.RESP) bool {
		parts = append(parts, part)
		return len(parts) < 3
	})
	if len(parts) == 0 || parts[0].Type != redcon.Bulk {
		return engine.Result{}, errGarbage
	}
	res := engine.Result{Outcome: policy.Acked}
	if len(parts) > 1 && parts[1].Type == redcon.Bulk {
		how := string(parts[1].Data)
		res.Missed = how == "miss" || how == "pending"
	}
	if parts[0].Raw[1] == '-' { // $-1: nothing is stored there
		res.Outcome = policy.Miss
	} else {
		res.Value = bytes.Clone(parts[0].Data)
	}
	return res, nil
}
