// Package ledger writes down what clients sent, what servers were sent and what clients got, and judges the four
// rules from that alone. It streams to disk: only ops that are still open are held in memory, so that a run of
// tens of millions fits, and one that was cut short can be judged all the same.
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

// Kind is what a record tells.
type Kind uint8

// The kinds, with what A, B and C hold.
const (
	OpSent     Kind = iota // an op's last byte is written to an accepted connection: A proxy life, B category, C wait in µs
	OpAnswered               // its client got: A an Answers value, B come-back in ms
	ClientLeft                 // its client went away by itself: A 1 if it closed its connection, and the way to the proxy is whole
	PushReceived                 // a server has a push's last byte: A server, B connection, C work in µs
	PushEnded                 // a push is over there: A server, B connection, C an Ends value
	StateAnnounced                 // a proxy was told of a server: A proxy life, B server, C a States value
	ServerStarted              // a server started: A server, B its capacity in thousandths of a core, C 1 if it is cold
	ProxyExited                 // a proxy's process ended: A proxy life, C a Deaths value
	WriteApplied               // a write was carried out: A server
	RunFinished             // the run was whole
	OperatorOverride                 // an operator was told yes: A proxy life, B server, C 1 for out, 0 for back
	ProxyStalled              // a proxy's process was stopped, or goes on: A proxy life, C 1 or 0
	LinkFault                // ways between processes break, or are whole again: C 1 or 0; pushes on them may be seen by nobody
	DeadlineForwarded               // the deadline that a push passed to its server: A server, B connection, C in µs, 0 for none
)

// Answers are what a client can get.
const (
	AnswerAcked = iota
	AnswerNacked
	AnswerDeadLettered    // an error: no promise
	AnswerClosed  // the connection ended with the answer owed
	AnswerWrongValue // a value that was made for another op, or for none
	AnswerTruncated    // a value that began and did not end
	AnswerIdleClosed // a connection used before ended as the op was written: a proxy may close one between ops
)

// Ends are how a push is over at its server.
const (
	EndAnswered = iota
	EndMissed
	EndRefused // never ran
	EndFailed
	EndConnLost // the connection ended
	EndUnanswered  // no answer will ever come; the connection is still open
)

// States are what a list can say of a server.
const (
	StateActive = iota
	StateLeaving
	StateOut
)

// Deaths are how a proxy's process ended.
const (
	ExitCrashed    = iota // by itself
	ExitKilled            // by SIGKILL, with no warning that counts: what it held is excused
	ExitTerminated        // after SIGTERM, by itself or by the SIGKILL that follows: nothing that it held is excused
)

// Record is one line of the ledger.
type Record struct {
	Kind    Kind
	At      time.Duration // on the run's one monotonic clock
	Op      uint64
	A, B, C uint32
}

const size = 32 // of a record on disk

// Writer takes records from any goroutine; it never waits for the disk while there is room in its buffer.
type Writer struct {
	mu   sync.Mutex
	out  *bufio.Writer
	file *os.File
	err  error
	n    int64
}

// Create starts a ledger in a file.
func Create(path string) (*Writer, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Writer{out: bufio.NewWriterSize(f, 1<<20), file: f}, nil
}

// Append writes a record down. An error of the disk is kept, and voids the run.
func (b *Writer) Append(r Record) {
	var raw [size]byte
	raw[0] = byte(r.Kind)
	binary.LittleEndian.PutUint64(raw[4:], uint64(r.At))
	binary.LittleEndian.PutUint64(raw[12:], r.Op)
	binary.LittleEndian.PutUint32(raw[20:], r.A)
	binary.LittleEndian.PutUint32(raw[24:], r.B)
	binary.LittleEndian.PutUint32(raw[28:], r.C)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		_, b.err = b.out.Write(raw[:])
		b.n++
	}
}

// Close ends the ledger, and tells how many records it has and whether the disk took them all.
func (b *Writer) Close() (int64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.n, errors.Join(b.err, b.out.Flush(), b.file.Close())
}

// Read hands on a ledger's records in the order in which they were written. A last one that is cut short is passed
// over: the run ended there.
func Read(in io.Reader, each func(Record)) error {
	r := bufio.NewReaderSize(in, 1<<20)
	for {
		var raw [size]byte
		if _, err := io.ReadFull(r, raw[:]); err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil
		} else if err != nil {
			return err
		}
		if raw[0] > byte(DeadlineForwarded) {
			return fmt.Errorf("a record of unknown kind %d", raw[0])
		}
		each(Record{Kind(raw[0]), time.Duration(binary.LittleEndian.Uint64(raw[4:])), binary.LittleEndian.Uint64(raw[12:]),
			binary.LittleEndian.Uint32(raw[20:]), binary.LittleEndian.Uint32(raw[24:]), binary.LittleEndian.Uint32(raw[28:])})
	}
}
