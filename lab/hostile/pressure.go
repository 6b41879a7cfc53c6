package hostile

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"
)

// Kind is what one hostile client does, again and again, on one connection after the other.
type Kind string

// The kinds of hostile clients.
const (
	Silent          Kind = "silent"            // connects and sends nothing
	StoppedWrites   Kind = "stopped writes"    // a write of 64 KiB that stops 4 KiB before its end
	HalfLongWrites  Kind = "half long writes"  // a write of 4 MiB that stops half way
	UnreadAnswers   Kind = "unread answers"    // reads of large values whose answers are not read
	FullSpeedWrites Kind = "full-speed writes" // whole writes of 60 KiB, pipelined, as fast as they are taken
	ManyFields      Kind = "many fields"       // requests with the properties that hold the most short fields
	SlowWrites      Kind = "slow writes"       // a large write a few bytes at a time
	SlowLongReads   Kind = "slow long reads"   // long values that are read slowly
	LongWrites      Kind = "long writes"       // whole writes of 1 MiB
	Pings           Kind = "pings"             // PING at full speed
	BadCommands     Kind = "bad commands"      // unsound commands at full speed
	LeavingReads    Kind = "leaving reads"     // many reads of large values at once, and a close
)

// Kinds lists all kinds of hostile clients.
var Kinds = []Kind{Silent, StoppedWrites, HalfLongWrites, UnreadAnswers, FullSpeedWrites, ManyFields, SlowWrites, SlowLongReads,
	LongWrites, Pings, BadCommands, LeavingReads}

const (
	pingCommand      = "*1\r\n$4\r\nPING\r\n"
	pongLine         = "+PONG\r\n"
	maxShortValue    = 64 << 10 // bytes; a longer value is a long one
	longWriteSize    = 4 << 20  // bytes
	stoppedShort     = 4 << 10  // bytes that a stopped write lacks
	fieldCount       = 15_000
	pipelinedWrites  = 8
	pipelinedReads   = 16
	holdTime         = time.Second // how long a client that has stopped keeps its connection
	reconnectPause   = 50 * time.Millisecond
	smallReceive     = 4 << 10 // bytes of the receive buffer of a client that reads slowly
	slowPieceSize    = 256     // bytes
	slowPieceTime    = 10 * time.Millisecond
	slowReadSize     = 16 << 10 // bytes
	connTimeout      = 2500 * time.Millisecond
	writeDeadline    = "c=put,t=acme,d=1500"
	readDeadline     = "c=read,t=acme,d=1500"
	pingsPerWrite    = 500
	commandsPerWrite = 15
)

// hostileClient is one client of a kind. Each request has an id of its own.
type hostileClient struct {
	kind   Kind
	addr   string
	number int
	random *rand.Rand
	sent   int
}

// run repeats the kind's behaviour until the given time.
func (h *hostileClient) run(until time.Time) {
	for time.Now().Before(until) {
		h.useConnection(until)
		time.Sleep(time.Duration(h.random.Int64N(int64(reconnectPause))))
	}
}

// useConnection opens one connection and misuses it, until connTimeout or the given time at the latest.
func (h *hostileClient) useConnection(until time.Time) {
	dialer := net.Dialer{Timeout: time.Second, Control: h.setReceiveBuffer}
	c, err := dialer.Dial("tcp", h.addr)
	if err != nil {
		return
	}
	defer c.Close()
	endAt := time.Now().Add(connTimeout)
	if endAt.After(until) {
		endAt = until
	}
	c.SetDeadline(endAt)
	switch h.kind {
	case Silent:
		io.Copy(io.Discard, c)
	case StoppedWrites:
		command := h.write(maxShortValue, "")
		h.stopAfter(c, command[:len(command)-stoppedShort])
	case HalfLongWrites:
		command := h.write(longWriteSize, "")
		h.stopAfter(c, command[:len(command)/2])
	case UnreadAnswers:
		io.WriteString(c, h.reads(largeKeyPrefix, pipelinedReads))
		time.Sleep(time.Until(endAt))
	case FullSpeedWrites:
		go io.Copy(io.Discard, c)
		repeat(func() error { return writeAll(c, h.writes(pipelinedWrites)) })
	case ManyFields:
		go io.Copy(io.Discard, c)
		repeat(func() error { return writeAll(c, h.write(shortValueSize, strings.Repeat(",a=1", fieldCount))) })
	case SlowWrites:
		h.drip(c, h.write(largeValueSize, ""))
	case SlowLongReads:
		io.WriteString(c, h.reads(longKeyPrefix, 1))
		h.readSlowly(c)
	case LongWrites:
		go io.Copy(io.Discard, c)
		repeat(func() error { return writeAll(c, h.write(longValueSize, "")) })
	case Pings:
		go io.Copy(io.Discard, c)
		pings := strings.Repeat(pingCommand, pingsPerWrite)
		repeat(func() error { return writeAll(c, pings) })
	case BadCommands:
		go io.Copy(io.Discard, c)
		repeat(func() error { return writeAll(c, h.badCommands()) })
	case LeavingReads:
		io.WriteString(c, h.reads(largeKeyPrefix, pipelinedReads))
		time.Sleep(time.Duration(h.random.Int64N(int64(holdTime / 10))))
	}
}

// setReceiveBuffer gives a client that reads little a small receive buffer, so that its answers stay with the proxy.
func (h *hostileClient) setReceiveBuffer(_, _ string, c syscall.RawConn) error {
	if h.kind != UnreadAnswers && h.kind != SlowLongReads {
		return nil
	}
	return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceive) })
}

// repeat calls f until it fails.
func repeat(f func() error) {
	for f() == nil {
	}
}

func writeAll(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// stopAfter writes the start of a command, and then keeps the connection for a while or until the proxy closes it.
func (h *hostileClient) stopAfter(c net.Conn, start string) {
	if writeAll(c, start) == nil {
		c.SetReadDeadline(time.Now().Add(holdTime))
		io.Copy(io.Discard, c)
	}
}

// drip writes a command in small pieces.
func (h *hostileClient) drip(c net.Conn, command string) {
	for len(command) > 0 {
		n := min(len(command), slowPieceSize)
		if writeAll(c, command[:n]) != nil {
			return
		}
		command = command[n:]
		time.Sleep(slowPieceTime)
	}
}

// readSlowly reads until the connection ends, a little at a time.
func (h *hostileClient) readSlowly(c net.Conn) {
	for buf := make([]byte, slowReadSize); ; time.Sleep(slowPieceTime) {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// nextID returns an id that no other request of the run has.
func (h *hostileClient) nextID() string {
	h.sent++
	return fmt.Sprintf("h%04d-%08d", h.number, h.sent)
}

// write returns a write with a value of size bytes and further properties.
func (h *hostileClient) write(size int, properties string) string {
	id := h.nextID()
	return encode("CACHE.SET", fmt.Sprintf("key%d", h.random.IntN(1000)), id, writeDeadline+properties, strings.Repeat("v", size))
}

func (h *hostileClient) writes(count int) (commands string) {
	for range count {
		commands += h.write(largeValueSize, "")
	}
	return commands
}

// reads returns reads of keys with the prefix.
func (h *hostileClient) reads(keyPrefix string, count int) (commands string) {
	for range count {
		id := h.nextID()
		commands += encode("CACHE.GET", fmt.Sprintf("%s%d", keyPrefix, h.random.IntN(1000)), id, readDeadline)
	}
	return commands
}

// badCommands returns commands that are rejected one by one, with names that were never used before.
func (h *hostileClient) badCommands() (commands string) {
	for range commandsPerWrite {
		commands += encode("X"+h.nextID(), "key")
	}
	return commands
}

// encode formats a command as an array of bulk strings.
func encode(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}
