package front

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"minttray/internal/engine"
)

// kept is a log that a test reads.
type kept struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (k *kept) Write(line []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.text.Write(line)
}

// about gives the lines that name a request.
func (k *kept) about(id string) (lines []map[string]any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, text := range strings.Split(strings.TrimSpace(k.text.String()), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == id {
			lines = append(lines, line)
		}
	}
	return lines
}

// What became of a request, and where it stood, is told by the log alone: answered, left by its client unanswered, and not read by it.
func TestALostRequestIsExplainedByTheLog(t *testing.T) {
	log := &kept{}
	f, e := serve(t, func(f *Server) { f.Log = zerolog.New(log).Level(zerolog.DebugLevel) })
	one := func(id string) map[string]any {
		t.Helper()
		until(t, "a line about "+id, func() bool { return len(log.about(id)) > 0 })
		return log.about(id)[0]
	}
	c := dial(t, f)
	c.send(get("answered"))
	wait(t, e.taken).Reply.Nacked(0)
	c.want("-BUSY")
	if line := one("answered"); line["end"] != "refused" || line["written_ms"] == nil || line["level"] != "debug" || line["attempts"] != 0.0 {
		t.Errorf("%v", line)
	}
	c.send(get("abandoned"))
	wait(t, e.taken)
	c.Close()
	if line := one("abandoned"); line["stood"] != "handed in" || line["reason"] != string(clientGone) || line["closed_ms"] == nil {
		t.Errorf("%v", line)
	}
	write := newGate()
	stuck := gated(t, f, gate{}, write)
	stuck.send(get("first") + get("behind"))
	wait(t, e.taken).Reply.Acked([]byte("v"))
	behind := wait(t, e.taken)
	wait(t, write.reached)
	behind.Reply.Acked([]byte("w"))
	f.only(func(c *conn) bool { go c.drop(slowReader); return true })
	if line := one("behind"); line["stood"] != "answered, not written" || line["reason"] != string(slowReader) || line["level"] != "warn" {
		t.Errorf("%v", line)
	}
	close(write.open)
	if line := one("first"); line["failed"] == nil {
		t.Errorf("%v", line)
	}
}

// An answer past its deadline is told at warn, and not without bound.
func TestLateAnswersAreToldWithinABound(t *testing.T) {
	log := &kept{}
	f := &Server{Log: zerolog.New(log).Level(zerolog.InfoLevel)}
	for range 5 * mostWarnings {
		o := &engine.Op{ReceivedAt: time.Now().Add(-time.Second)}
		o.Request.ID = "late"
		f.written(o, "served", nil)
	}
	lines := log.about("late")
	if n := len(lines); n < mostWarnings || n > 2*mostWarnings || lines[0]["level"] != "warn" {
		t.Errorf("%d lines", n)
	}
	if f.late.dropped.Load() == 0 {
		t.Error("none was dropped")
	}
}
