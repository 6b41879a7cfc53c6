package buffer

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// Reads of many sizes must lose no byte, and the allocation must stay within its bounds.
func TestGrowsCompactsAndShrinks(t *testing.T) {
	sent := make([]byte, 300<<10)
	for i := range sent {
		sent[i] = byte(i * 7 >> 3)
	}
	r := iotest.HalfReader(bytes.NewReader(sent))
	got := []byte{}
	var b Buffer
	for size := 1; len(got) < len(sent); size = size*5%60000 + 1 {
		size = min(size, len(sent)-len(got))
		for len(b.Bytes()) < size {
			if err := b.Fill(r); err != nil {
				t.Fatal(err)
			}
		}
		got = append(got, b.Bytes()[:size]...)
		b.Discard(size)
		if len(b.data) > MaxSize {
			t.Fatalf("buffer holds %d bytes, more than MaxSize", len(b.data))
		}
	}
	if !bytes.Equal(got, sent) {
		t.Error("bytes lost or out of order")
	}
	if len(b.data) > maxIdleSize {
		t.Errorf("empty buffer holds %d bytes, more than maxIdleSize", len(b.data))
	}
	if err := b.Fill(r); err != io.EOF {
		t.Errorf("Fill at the end of input: got %v, want EOF", err)
	}
}

// A peer that never ends its message must not make the buffer grow without bound.
func TestEndlessMessageIsCut(t *testing.T) {
	var b Buffer
	r := iotest.HalfReader(endlessReader{})
	for range 10000 {
		if err := b.Fill(r); err == ErrFull {
			return
		}
	}
	t.Errorf("no ErrFull after %d bytes of an endless message", len(b.Bytes()))
}

// endlessReader always fills the whole slice.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
