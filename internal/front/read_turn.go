package front

import (
	"io"
	"runtime"
	"sync/atomic"
)

const (
	// turnsPerCore is how many connections that send without a pause are read at a time, for each core.
	turnsPerCore = 2
	// maxUnpausedReads is the number of reads in a row that find input at once before a connection has to wait for its turn.
	maxUnpausedReads = 2
	// floodReads is the number of them from which a connection may be evicted with work pending.
	floodReads = 16
)

// readTurns are the turns of connections that send without a pause, given in the order of their requests. They leave most of the
// processor to the connections whose clients wait for an answer before they send on, and to the goroutines that answer them.
type readTurns chan struct{}

func newReadTurns() readTurns { return make(readTurns, turnsPerCore*runtime.GOMAXPROCS(0)) }

// turnReader reads a connection. It takes a turn for each read, up to the handling of what was read, unless the client has paused
// since its last one. A connection that is new has not paused. Only the connection's reader uses it.
type turnReader struct {
	source   *arrivalReader
	turns    readTurns
	unpaused atomic.Int64 // reads in a row that found input at once
	held     bool
}

var _ io.Reader = (*turnReader)(nil)

func newTurnReader(source *arrivalReader, turns readTurns) *turnReader {
	t := &turnReader{source: source, turns: turns}
	t.unpaused.Store(maxUnpausedReads)
	source.onBlock = t.pause
	return t
}

// Read reads once, in a turn if the connection needs one. Input that was there already may have been left behind by a client that has
// closed its sending side: it is dropped, since nobody would get the answers.
func (t *turnReader) Read(dest []byte) (int, error) {
	t.end()
	if t.unpaused.Load() >= maxUnpausedReads {
		t.begin()
	}
	if t.unpaused.Add(1) > 1 && t.source.hasRemoteClose() {
		return 0, io.EOF
	}
	n, err := t.source.Read(dest)
	if err == nil && t.unpaused.Load() == 1 && t.source.hasRemoteClose() { // the first read that found input at once
		return 0, io.EOF
	}
	return n, err
}

// isFlooding reports whether the client has sent without a pause for many reads. Any goroutine may call it.
func (t *turnReader) isFlooding() bool { return t.unpaused.Load() >= floodReads }

// begin waits for a turn. It lets all goroutines that are ready run first: the scheduler would go on with this reader and the
// writer that wakes it, back and forth, for a time slice.
func (t *turnReader) begin() {
	runtime.Gosched()
	t.turns <- struct{}{}
	t.held = true
}

// suspend gives the turn back for a wait, and returns a function that takes one again if one was held.
func (t *turnReader) suspend() (resume func()) {
	if !t.held {
		return func() {}
	}
	t.end()
	return t.begin
}

// pause records that the client has sent nothing more, and ends the turn.
func (t *turnReader) pause() {
	t.unpaused.Store(0)
	t.end()
}

// end gives the turn back, if one is held. It is called before any wait.
func (t *turnReader) end() {
	if t.held {
		t.held = false
		<-t.turns
	}
}
