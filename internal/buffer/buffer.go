// Package buffer holds the one buffer that a connection reads into.
package buffer

import (
	"errors"
	"io"
)

const (
	Most  = 72 << 10 // a value of 64 KiB, and what stands round it
	least = 4 << 10  // first size
	kept  = 16 << 10 // an empty buffer over this is let go, so that a fleet of idle connections stays small
)

// ErrFull means that one message is longer than any may be.
var ErrFull = errors.New("message too long")

// Buffer grows as it needs and is compacted in place. Its zero value is ready.
type Buffer struct {
	b        []byte
	from, to int
}

// Bytes is what was read and not yet taken; it is valid until the next Fill or Take.
func (b *Buffer) Bytes() []byte { return b.b[b.from:b.to] }

// Size is the memory that it holds.
func (b *Buffer) Size() int { return len(b.b) }

// Discard drops the first n bytes.
func (b *Buffer) Discard(n int) {
	if b.from += n; b.from == b.to {
		b.from, b.to = 0, 0
		if len(b.b) > kept {
			b.b = nil
		}
	}
}

// Fill reads once, waiting for at least a byte. It grows only when full: memory follows what has really come,
// never a length that the other side has merely announced.
func (b *Buffer) Fill(r io.Reader) error {
	if b.to == len(b.b) {
		if b.from > 0 {
			b.to = copy(b.b, b.b[b.from:b.to])
			b.from = 0
		} else if b.to >= Most {
			return ErrFull
		} else {
			grown := make([]byte, min(max(2*len(b.b), least), Most))
			copy(grown, b.b[:b.to])
			b.b = grown
		}
	}
	n, err := r.Read(b.b[b.to:])
	b.to += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}
