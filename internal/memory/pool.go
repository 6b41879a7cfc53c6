// Package memory bounds and accounts for the memory of a process. Data that is too large to be left to the collector is kept in
// blocks of one size, which a pool lends and takes back; a pool lends no more blocks than its limit, whoever holds them.
package memory

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// BlockSize is the size of a block in bytes: the longest value that is kept in one piece, and the command around it.
const BlockSize = 72 << 10

// ErrNoMemory means that all blocks of a pool are lent.
var ErrNoMemory = errors.New("no memory left for large data")

// Pool lends blocks up to a limit. A nil pool lends blocks without a limit.
type Pool struct {
	limit   int64 // blocks
	slots   *semaphore.Weighted
	lent    atomic.Int64
	waits   atomic.Int64 // acquisitions that found no block at first
	refused atomic.Int64 // acquisitions that got none, with or without a wait
	leaked  atomic.Int64 // blocks that the collector found instead of their holder giving them back
	onShort atomic.Pointer[func()]

	mu      sync.Mutex
	free    [][]byte
	minFree int // fewest free blocks since the last Trim
}

// NewPool returns a pool that lends as many blocks as fit into limit bytes, and at least one.
func NewPool(limit int64) *Pool {
	blocks := max(limit/BlockSize, 1)
	return &Pool{limit: blocks, slots: semaphore.NewWeighted(blocks)}
}

// OnShort sets a function that is called while an acquisition finds no block, at intervals. It must not block.
func (p *Pool) OnShort(f func()) { p.onShort.Store(&f) }

// Block is a block that was lent. It returns to its pool when its last holder releases it.
type Block struct {
	data  []byte
	state *blockState
}

// blockState is what outlives a Block that is dropped without a release.
type blockState struct {
	pool    *Pool
	holders atomic.Int32
}

// TryAcquire lends a block, held by the caller, or returns nil if none is left.
func (p *Pool) TryAcquire() *Block {
	if p == nil {
		return newBlock(nil, make([]byte, BlockSize))
	}
	if !p.slots.TryAcquire(1) {
		return nil
	}
	return p.lend()
}

// AcquireNow is Acquire without a wait.
func (p *Pool) AcquireNow() (*Block, error) {
	b := p.TryAcquire()
	if b == nil {
		p.refused.Add(1)
		return nil, ErrNoMemory
	}
	return b, nil
}

// Acquire waits for a block until ctx is done.
func (p *Pool) Acquire(ctx context.Context) (*Block, error) {
	if b := p.TryAcquire(); b != nil {
		return b, nil
	}
	p.waits.Add(1)
	wait := p.slots.Acquire
	if p.onShort.Load() != nil {
		wait = p.waitInTurns
	}
	if wait(ctx, 1) != nil {
		p.refused.Add(1)
		return nil, ErrNoMemory
	}
	return p.lend(), nil
}

// waitInTurns waits for places until ctx is done, and calls the function of OnShort at intervals.
func (p *Pool) waitInTurns(ctx context.Context, n int64) error {
	for {
		(*p.onShort.Load())()
		turn, cancel := context.WithTimeout(ctx, shortageInterval)
		err := p.slots.Acquire(turn, n)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// shortageInterval is the time between two calls of the function of OnShort while an acquisition waits.
const shortageInterval = 50 * time.Millisecond

// lend returns a block for a slot that was acquired.
func (p *Pool) lend() *Block {
	p.lent.Add(1)
	p.mu.Lock()
	var data []byte
	if last := len(p.free) - 1; last >= 0 {
		data, p.free[last] = p.free[last], nil
		p.free = p.free[:last]
		p.minFree = min(p.minFree, last)
	}
	p.mu.Unlock()
	if data == nil {
		data = make([]byte, BlockSize)
	}
	return newBlock(p, data)
}

func newBlock(p *Pool, data []byte) *Block {
	b := &Block{data: data, state: &blockState{pool: p}}
	b.state.holders.Store(1)
	if p != nil {
		// A block that nobody holds and nobody released is lost to the pool, but must not lower its limit for good. Its data is left
		// to the collector, since something may still refer to it.
		runtime.AddCleanup(b, reclaim, b.state)
	}
	return b
}

// reclaim returns the place of a block that was dropped without a release.
func reclaim(s *blockState) {
	if s.holders.Swap(0) > 0 {
		s.pool.leaked.Add(1)
		s.pool.giveBack(nil)
	}
}

// giveBack ends a loan. data is kept for the next one.
func (p *Pool) giveBack(data []byte) {
	if data != nil {
		p.mu.Lock()
		p.free = append(p.free, data)
		p.mu.Unlock()
	}
	p.lent.Add(-1)
	p.slots.Release(1)
}

// Bytes returns the block's BlockSize bytes. They must not be used after the release.
func (b *Block) Bytes() []byte { return b.data }

// Hold adds a holder. It is called by one that holds the block already.
func (b *Block) Hold() { b.state.holders.Add(1) }

// Held is Hold for a block that may be nil, and returns the block.
func (b *Block) Held() *Block {
	if b != nil {
		b.Hold()
	}
	return b
}

// TryHold adds a holder unless the last one has released the block, and reports whether it did.
func (b *Block) TryHold() bool {
	for {
		holders := b.state.holders.Load()
		if holders <= 0 {
			return false
		}
		if b.state.holders.CompareAndSwap(holders, holders+1) {
			return true
		}
	}
}

// Release ends the hold of one holder. A nil block has none.
func (b *Block) Release() {
	if b == nil {
		return
	}
	switch holders := b.state.holders.Add(-1); {
	case holders < 0:
		panic("memory: a block was released more often than it was held")
	case holders == 0 && b.state.pool != nil:
		data := b.data
		b.data = nil
		b.state.pool.giveBack(data)
	}
}

// Trim leaves half of the blocks that were free since the last call to the collector, so that the memory of a rush does not stay.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	drop := (min(p.minFree, len(p.free)) + 1) / 2
	keep := len(p.free) - drop
	clear(p.free[keep:])
	p.free = p.free[:keep]
	p.minFree = keep
}

// Usage is what a pool has lent, and how often it had nothing to lend.
type Usage struct {
	Lent, Free, Limit      int64 // bytes
	Waits, Refused, Leaked int64 // since the start
}

// Usage returns the pool's present figures.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	free := int64(len(p.free))
	p.mu.Unlock()
	return Usage{Lent: p.lent.Load() * BlockSize, Free: free * BlockSize, Limit: p.limit * BlockSize,
		Waits: p.waits.Load(), Refused: p.refused.Load(), Leaked: p.leaked.Load()}
}
