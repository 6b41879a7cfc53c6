package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"minttray/internal/memory"
)

// lendValue returns a block that holds a value of size bytes.
func lendValue(t *testing.T, p *memory.Pool, size int) ([]byte, *memory.Block) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	block, err := p.Acquire(ctx) // one counts as given back just before it is
	if err != nil {
		t.Fatal(err)
	}
	value := block.Bytes()[:size]
	for i := range value {
		value[i] = byte('a' + i%26)
	}
	return value, block
}

// A value in a block reaches its client whole and in its place among other answers, and the block is given back.
func TestAValueInABlockIsWrittenAndGivenBack(t *testing.T) {
	srv, e := startServer(t, nil)
	blocks := memory.NewPool(memory.BlockSize)
	c := dial(t, srv)
	c.send(getCommand("a") + getCommand("b") + command("PING"))
	first, second := receive(t, e.submitted), receive(t, e.submitted)
	value, block := lendValue(t, blocks, 60<<10)
	want := bytes.Clone(value)
	second.Reply.AckedBlock(value, block)
	first.Reply.Acked([]byte("v"))
	c.expect("$1", "v", fmt.Sprintf("$%d", len(want)))
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c.reader, got); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("the value differs, %v", err)
	}
	c.expect("", "+PONG")
	waitUntil(t, "the block to be given back", func() bool { return blocks.Usage().Lent == 0 && srv.unwrittenBytes.Load() == 0 })
}

// A value for a client that has left must be given back, whether its answer comes before or after the close.
func TestAValueForAClientThatLeftIsGivenBack(t *testing.T) {
	srv, e := startServer(t, nil)
	blocks := memory.NewPool(2 * memory.BlockSize)
	c := dial(t, srv)
	c.send(getCommand("a") + getCommand("b"))
	first, second := receive(t, e.submitted), receive(t, e.submitted)
	second.Reply.AckedBlock(lendValue(t, blocks, 60<<10)) // waits behind the first
	c.Close()
	receive(t, e.gone)
	first.Reply.AckedBlock(lendValue(t, blocks, 60<<10))
	waitUntil(t, "the blocks to be given back", func() bool { return blocks.Usage().Lent == 0 && srv.unwrittenBytes.Load() == 0 })
}

// While memory for values is short, a client that does not read its value loses it, and one that reads does not.
func TestAClientThatDoesNotReadGivesWayWhileMemoryIsShort(t *testing.T) {
	srv, e := startServer(t, nil)
	blocks := memory.NewPool(memory.BlockSize)
	stuck, good := dial(t, srv), dial(t, srv)
	stuck.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	sent := 0
	waitUntil(t, "the stuck client's connection to be closed", func() bool {
		if srv.slowReaders.Load() == 0 && blocks.Usage().Lent == 0 { // the kernel has taken all values so far
			stuck.send(getCommand(fmt.Sprint(sent)))
			receive(t, e.submitted).Reply.AckedBlock(lendValue(t, blocks, 64<<10))
			sent++
		}
		srv.ReclaimValues()
		return srv.slowReaders.Load() > 0 && blocks.Usage().Lent == 0
	})
	good.send(getCommand("good"))
	receive(t, e.submitted).Reply.AckedBlock(lendValue(t, blocks, 100))
	good.expect("$100")
}
