package memory

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

func TestAPoolLendsNoMoreThanItsLimit(t *testing.T) {
	p := NewPool(2 * BlockSize)
	first, second := p.TryAcquire(), p.TryAcquire()
	if first == nil || second == nil || p.TryAcquire() != nil {
		t.Fatal("want two blocks")
	}
	short := 0
	p.OnShort(func() { short++ })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if b, err := p.Acquire(ctx); b != nil || !errors.Is(err, ErrNoMemory) || short != 1 {
		t.Errorf("%v, %v, short %d", b, err, short)
	}
	first.Hold()
	first.Release()
	if p.TryAcquire() != nil {
		t.Fatal("a block that is still held was lent again")
	}
	first.Release()
	if third, err := p.Acquire(context.Background()); third == nil || err != nil {
		t.Fatal("a released block was not lent")
	}
	if u := p.Usage(); u.Lent != 2*BlockSize || u.Waits != 1 || u.Refused != 1 || u.Leaked != 0 {
		t.Errorf("%+v", u)
	}
}

func TestABlockReleasedTwicePanics(t *testing.T) {
	b := NewPool(BlockSize).TryAcquire()
	b.Release()
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	b.Release()
}

// A holder that forgets its block must not lower the pool's limit for good.
func TestADroppedBlockIsReclaimed(t *testing.T) {
	p := NewPool(BlockSize)
	p.TryAcquire().Bytes()[0] = 1
	for giveUpAt := time.Now().Add(testTimeout); p.Usage().Leaked == 0; runtime.GC() {
		if time.Now().After(giveUpAt) {
			t.Fatal("not reclaimed")
		}
	}
	if p.TryAcquire() == nil {
		t.Error("its place was not given back")
	}
}

func TestFreeBlocksAreTrimmed(t *testing.T) {
	p := NewPool(4 * BlockSize)
	var lent []*Block
	for range 4 {
		lent = append(lent, p.TryAcquire())
	}
	for _, b := range lent {
		b.Release()
	}
	for range 5 {
		p.Trim()
	}
	if u := p.Usage(); u.Free != 0 || u.Lent != 0 {
		t.Errorf("%+v", u)
	}
}
