// Package buffer provides the growable read buffer of a connection.
package buffer

import (
	"errors"
	"io"
)

const (
	// MaxSize is the upper bound of a buffer in bytes: a value of 64 KiB and the command around it.
	MaxSize = 72 << 10
	// initialSize is the first allocation in bytes.
	initialSize = 4 << 10
	// maxIdleSize is the largest allocation in bytes that an empty buffer keeps, so that many idle connections use
	// little memory.
	maxIdleSize = 16 << 10
)

// ErrFull is returned by Fill when one message does not fit into MaxSize bytes.
var ErrFull = errors.New("message too long")

// Buffer is a read buffer that grows on demand and is compacted in place. Its zero value is ready to use.
type Buffer struct {
	data  []byte
	start int // index of the first unread byte in data
	end   int // index after the last unread byte in data
}

// Bytes returns the bytes that were read and not yet discarded. They are valid until the next Fill or Discard.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Size returns the allocated size in bytes.
func (b *Buffer) Size() int { return len(b.data) }

// Discard drops the first n bytes, and releases a large allocation once the buffer is empty.
func (b *Buffer) Discard(n int) {
	if b.start += n; b.start == b.end {
		b.start, b.end = 0, 0
		if len(b.data) > maxIdleSize {
			b.data = nil
		}
	}
}

// Fill reads from r once and blocks until at least one byte arrives. The buffer grows only when it is full: memory
// follows the bytes that were received, never a length that the peer has only announced.
func (b *Buffer) Fill(r io.Reader) error {
	if b.end == len(b.data) {
		if b.start > 0 {
			b.end = copy(b.data, b.data[b.start:b.end])
			b.start = 0
		} else if b.end >= MaxSize {
			return ErrFull
		} else {
			grown := make([]byte, min(max(2*len(b.data), initialSize), MaxSize))
			copy(grown, b.data[:b.end])
			b.data = grown
		}
	}
	n, err := r.Read(b.data[b.end:])
	b.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}
