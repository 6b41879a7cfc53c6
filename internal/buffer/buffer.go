// Package buffer provides the growable read buffer of a connection.
package buffer

import (
	"errors"
	"io"

	"minttray/internal/memory"
)

const (
	// MaxSize is the upper bound of a buffer in bytes: a value of 64 KiB and the command around it.
	MaxSize = memory.BlockSize
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
	// Blocks lends what a message needs above initialSize; Fill returns memory.ErrNoMemory if it has nothing to lend. nil: the buffer
	// grows by allocation.
	Blocks *memory.Pool

	block *memory.Block // that data is; nil: data is allocated
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
			b.replace(nil, nil)
		}
	}
}

// Release drops all bytes and the allocation.
func (b *Buffer) Release() {
	b.start, b.end = 0, 0
	b.replace(nil, nil)
}

// replace replaces the allocation, and moves the unread bytes to the start of the new one.
func (b *Buffer) replace(data []byte, block *memory.Block) {
	b.end = copy(data, b.data[b.start:b.end])
	b.start = 0
	b.block.Release()
	b.data, b.block = data, block
}

// grow makes room behind the unread bytes of a full buffer.
func (b *Buffer) grow() error {
	switch size := min(max(2*len(b.data), initialSize), MaxSize); {
	case b.block != nil && b.end-b.start <= initialSize/2: // the message that needed the block is gone
		b.replace(make([]byte, initialSize), nil)
	case b.start > 0:
		b.replace(b.data, b.block.Held())
	case b.end >= MaxSize:
		return ErrFull
	case b.Blocks == nil || size == initialSize:
		b.replace(make([]byte, size), nil)
	default:
		block, err := b.Blocks.AcquireNow()
		if err != nil {
			return err
		}
		b.replace(block.Bytes(), block)
	}
	return nil
}

// Fill reads from r once and blocks until at least one byte arrives. The buffer grows only when it is full: memory
// follows the bytes that were received, never a length that the peer has only announced.
func (b *Buffer) Fill(r io.Reader) error {
	if b.end == len(b.data) {
		if err := b.grow(); err != nil {
			return err
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
