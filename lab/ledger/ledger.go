// Package ledger records on disk what clients sent, what servers received and what clients were answered, and checks
// the routing rules from these records alone. Records are streamed: the checker holds only open ops in memory, so it can
// process runs of tens of millions of ops, and runs that were cut short.
package ledger

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Kind is the type of event that a record describes. Its number is stored on disk.
type Kind uint8

// The kinds of records, with the meaning of the record's fields A, B and C. A proxy process is identified by a number
// that is unique over all proxies and restarts of a run.
const (
	// OpSent: a client is about to write a try to an open connection. A is the proxy process, B the category, C the time
	// that the client waits, in µs.
	OpSent Kind = iota
	// OpAnswered: the client received an answer or lost its connection. A is one of the Answer constants, B the retry-after
	// time in ms.
	OpAnswered
	// ClientLeft: the client stopped waiting by itself. A is 1 if it closed its connection and no link fault hides that
	// from the proxy.
	ClientLeft
	// PushReceived: a server received the last byte of a push. A is the server, B the connection, C the work in µs.
	PushReceived
	// PushEnded: a push is over at its server. A is the server, B the connection, C one of the End constants.
	PushEnded
	// StateAnnounced: a proxy was sent a server's new state. A is the proxy process, B the server, C one of the State
	// constants.
	StateAnnounced
	// ServerStarted: a server started. A is the server, B its capacity in thousandths of a core, C is 1 if its cache is cold.
	ServerStarted
	// ProxyExited: a proxy process ended. A is the proxy process, C one of the Exit constants.
	ProxyExited
	// WriteApplied: a server carried out a write. A is the server.
	WriteApplied
	// RunFinished: the run ended regularly; the ledger is complete.
	RunFinished
	// OperatorOverride: a proxy confirmed an operator's command. A is the proxy process, B the server, C is 1 if the server
	// is detached, 0 if it is attached again.
	OperatorOverride
	// ProxyStalled: a proxy process was stopped (C is 1) or resumed (C is 0). A is the proxy process.
	ProxyStalled
	// LinkFault: a fault of a network link begins (C is 1) or ends (C is 0). Pushes on a faulty link may reach no server.
	LinkFault
	// DeadlineForwarded: the deadline that a push carried to its server. A is the server, B the connection, C the deadline
	// in µs, 0 if the push had none.
	DeadlineForwarded
)

// Answers that a client can receive.
const (
	AnswerAcked = iota
	AnswerNacked
	AnswerDeadLettered // an error reply: the op may or may not have run
	AnswerClosed       // the connection ended before the answer
	AnswerWrongValue   // a value that was not made for this op
	AnswerTruncated    // a value whose end is missing
	AnswerIdleClosed   // a reused connection ended as the op was written: a proxy may close idle connections
)

// Ways in which a push ends at its server.
const (
	EndAnswered = iota
	EndMissed
	EndRefused // the push did not run
	EndFailed
	EndConnLost
	EndUnanswered // the server will never answer, and the connection stays open
)

// States of a server in the discovery list.
const (
	StateActive = iota
	StateLeaving
	StateOut
)

// Ways in which a proxy process ends.
const (
	// ExitCrashed: the process ended by itself.
	ExitCrashed = iota
	// ExitKilled: SIGKILL without an earlier SIGTERM. The ops that the process held are excused.
	ExitKilled
	// ExitTerminated: the process ended after SIGTERM, by itself or by a later SIGKILL. The ops that it held are not excused.
	ExitTerminated
)

// Record is one entry of the ledger.
type Record struct {
	Kind    Kind
	At      time.Duration // on the run's monotonic clock
	Op      uint64        // identifies the try; 0 if the record belongs to none
	A, B, C uint32        // their meaning depends on Kind
}

const (
	recordSize = 32      // bytes of a record on disk
	bufferSize = 1 << 20 // bytes of the buffers for reading and writing
)

// Writer appends records to a ledger file. It is safe for concurrent use, and blocks on the disk only when its buffer is
// full.
type Writer struct {
	mu      sync.Mutex
	buffer  *bufio.Writer
	file    *os.File
	err     error // the first write error
	written int64 // records
}

// Create creates a ledger file, replacing an existing one.
func Create(path string) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Writer{buffer: bufio.NewWriterSize(f, bufferSize), file: f}, nil
}

// Append writes a record. A write error is kept and returned by Close; later records are discarded.
func (w *Writer) Append(r Record) {
	var raw [recordSize]byte
	raw[0] = byte(r.Kind)
	binary.LittleEndian.PutUint64(raw[4:], uint64(r.At))
	binary.LittleEndian.PutUint64(raw[12:], r.Op)
	binary.LittleEndian.PutUint32(raw[20:], r.A)
	binary.LittleEndian.PutUint32(raw[24:], r.B)
	binary.LittleEndian.PutUint32(raw[28:], r.C)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		_, w.err = w.buffer.Write(raw[:])
		w.written++
	}
}

// Close flushes and closes the file. It returns the number of records, and an error if any of them could not be written.
func (w *Writer) Close() (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written, errors.Join(w.err, w.buffer.Flush(), w.file.Close())
}

// Read calls each with the records of a ledger, in the order in which they were written. A truncated last record is
// ignored: the run was cut short there.
func Read(in io.Reader, each func(Record)) error {
	r := bufio.NewReaderSize(in, bufferSize)
	for {
		var raw [recordSize]byte
		if _, err := io.ReadFull(r, raw[:]); err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil
		} else if err != nil {
			return err
		}
		if raw[0] > byte(DeadlineForwarded) {
			return fmt.Errorf("ledger record of unknown kind %d, the highest known is %d", raw[0], DeadlineForwarded)
		}
		each(Record{
			Kind: Kind(raw[0]),
			At:   time.Duration(binary.LittleEndian.Uint64(raw[4:])),
			Op:   binary.LittleEndian.Uint64(raw[12:]),
			A:    binary.LittleEndian.Uint32(raw[20:]),
			B:    binary.LittleEndian.Uint32(raw[24:]),
			C:    binary.LittleEndian.Uint32(raw[28:]),
		})
	}
}
