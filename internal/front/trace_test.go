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
	"minttray/internal/memory"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// linesFor returns the lines that name a request.
func (b *logBuffer) linesFor(id string) (lines []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range strings.Split(strings.TrimSpace(b.text.String()), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["request"] == id {
			lines = append(lines, line)
		}
	}
	return lines
}

// The log alone must explain what became of a request: answered, abandoned by its client before the answer, or answered
// and not read.
func TestALostRequestIsExplainedByTheLog(t *testing.T) {
	log := &logBuffer{}
	srv, e := startServer(t, func(srv *Server) { srv.Log = zerolog.New(log).Level(zerolog.DebugLevel) })
	firstLine := func(id string) map[string]any {
		t.Helper()
		waitUntil(t, "a line about "+id, func() bool { return len(log.linesFor(id)) > 0 })
		return log.linesFor(id)[0]
	}
	c := dial(t, srv)
	c.send(getCommand("answered"))
	receive(t, e.submitted).Reply.Nacked(0)
	c.expect("-BUSY")
	if line := firstLine("answered"); line["end"] != "refused" || line["written_ms"] == nil || line["level"] != "debug" || line["attempts"] != 0.0 {
		t.Errorf("%v", line)
	}
	c.send(getCommand("abandoned"))
	receive(t, e.submitted)
	c.Close()
	if line := firstLine("abandoned"); line["stood"] != "handed in" || line["reason"] != string(clientGone) || line["closed_ms"] == nil {
		t.Errorf("%v", line)
	}
	write := newGate()
	stuck := admitGated(t, srv, gate{}, write)
	stuck.send(getCommand("first") + getCommand("behind"))
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	behind := receive(t, e.submitted)
	receive(t, write.reached)
	behind.Reply.Acked([]byte("w"))
	srv.withOnlyConn(func(c *conn) bool { go c.abort(slowReader); return true })
	if line := firstLine("behind"); line["stood"] != "answered, not written" || line["reason"] != string(slowReader) || line["level"] != "warn" {
		t.Errorf("%v", line)
	}
	close(write.open)
	if line := firstLine("first"); line["failed"] == nil {
		t.Errorf("%v", line)
	}
}

// Late answers are logged at warn, within a bound.
func TestLateAnswersAreToldWithinABound(t *testing.T) {
	log := &logBuffer{}
	srv := &Server{Log: zerolog.New(log).Level(zerolog.InfoLevel)}
	for range 5 * maxWarningsPerSecond {
		o := &engine.Op{ReceivedAt: time.Now().Add(-time.Second)}
		o.Request.ID = "late"
		srv.logAnswered(o, "served", "", nil)
	}
	lines := log.linesFor("late")
	if n := len(lines); n < maxWarningsPerSecond || n > 2*maxWarningsPerSecond || lines[0]["level"] != "warn" {
		t.Errorf("got %d log lines", n)
	}
	if srv.lateWarnings.dropped.Load() == 0 {
		t.Error("no log line was dropped")
	}
}

// A request that the front end refuses is logged like any other, with the reason and when it was read.
func TestARefusalIsLoggedWithItsReason(t *testing.T) {
	log := &logBuffer{}
	srv, e := startServer(t, func(srv *Server) {
		srv.Log = zerolog.New(log).Level(zerolog.DebugLevel)
		srv.Blocks.Values = memory.NewPool(memory.BlockSize)
		srv.Blocks.Properties = memory.NewPool(memory.BlockSize)
	})
	for _, block := range []*memory.Block{srv.Blocks.Values.TryAcquire(), srv.Blocks.Properties.TryAcquire()} {
		defer block.Release()
	}
	c := dial(t, srv)
	c.send(command("CACHE.SET", "k", "large", "c=put,d=100", strings.Repeat("x", 5000)))
	c.expect("-BUSY")
	c.send(command("CACHE.GET", "k", "fields", "c=read,d=100"+strings.Repeat(",a=1", 1000)))
	c.expect("-BUSY")
	e.full = true
	c.send(getCommand("full"))
	c.expect("-BUSY")
	for id, want := range map[string]refusal{"large": noValueMemory, "fields": noPropertyMemory, "full": notAccepted + refusal(engine.ErrFull.Error())} {
		waitUntil(t, "the log line of "+id, func() bool { return len(log.linesFor(id)) == 1 })
		line := log.linesFor(id)[0]
		if line["reason"] != string(want) || line["end"] != "refused" || line["read_ms"] == nil {
			t.Errorf("%s: %v", id, line)
		}
	}
}
