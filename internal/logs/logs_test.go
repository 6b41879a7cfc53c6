package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is a log destination whose writes block while the test holds mu.
type blockedWriter struct {
	mu         sync.Mutex
	firstWrite chan bool // closed when the first write begins
	once       sync.Once
	buf        bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	w.once.Do(func() { close(w.firstWrite) })
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(line)
}

// The engine logs from its own goroutine, so it would stand still if logging waited for a slow reader of the log.
// Here the destination blocks, and three times as many lines as the queue holds are logged meanwhile.
func TestLogNeverBlocks(t *testing.T) {
	w := &blockedWriter{firstWrite: make(chan bool)}
	w.mu.Lock()
	log, sink := New(w, "")
	log.Info().Msg("first")
	<-w.firstWrite
	for range 3 * queueCapacity {
		log.Info().Msg("more")
	}
	log.Debug().Msg("unwanted")
	w.mu.Unlock()
	sink.Close()
	text := w.buf.String()
	if !strings.Contains(text, `"message":"first"`) || !strings.Contains(text, "log lines dropped") || strings.Contains(text, "unwanted") {
		t.Errorf("log: %.300s", text)
	}
}
