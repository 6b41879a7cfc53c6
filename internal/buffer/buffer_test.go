package buffer

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

func TestGrowsCompactsAndShrinks(t *testing.T) {
	sent := make([]byte, 300<<10)
	for i := range sent {
		sent[i] = byte(i * 7 >> 3)
	}
	r, got := iotest.HalfReader(bytes.NewReader(sent)), []byte{}
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
		if len(b.b) > Most {
			t.Fatalf("%d bytes held", len(b.b))
		}
	}
	if !bytes.Equal(got, sent) {
		t.Error("bytes lost or out of order")
	}
	if len(b.b) > kept {
		t.Errorf("empty, but %d bytes held", len(b.b))
	}
	if err := b.Fill(r); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
}

func TestEndlessMessageIsCut(t *testing.T) {
	var b Buffer
	r := iotest.HalfReader(neverending{})
	for range 10000 {
		if err := b.Fill(r); err == ErrFull {
			return
		}
	}
	t.Errorf("%d bytes and no end", len(b.Bytes()))
}

type neverending struct{}

func (neverending) Read(p []byte) (int, error) { return len(p), nil }
