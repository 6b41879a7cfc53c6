package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

type slowReader struct {
	mu    sync.Mutex
	first chan bool
	once  sync.Once
	buf   bytes.Buffer
}

func (w *slowReader) Write(line []byte) (int, error) {
	w.once.Do(func() { close(w.first) })
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(line)
}

// Danger: the engine logs, and must not wait for whoever reads the log.
func TestLogNeverBlocks(t *testing.T) {
	w := &slowReader{first: make(chan bool)}
	w.mu.Lock()
	log, sink := New(w, "")
	log.Info().Msg("first")
	<-w.first
	for range 3 * waiting {
		log.Info().Msg("more")
	}
	log.Debug().Msg("unwanted")
	w.mu.Unlock()
	sink.Close()
	text := w.buf.String()
	if !strings.Contains(text, `"message":"first"`) || !strings.Contains(text, "log lines dropped") || strings.Contains(text, "unwanted") {
		t.Errorf("%.300s", text)
	}
}
