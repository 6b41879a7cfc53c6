package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// NewID returns an id that no other request has.
func NewID() string { return fmt.Sprintf("%016x", 0xc0de<<32|lastID.Add(1)) }

// Client is one connection of a client to a proxy.
type Client struct {
	net.Conn
	Reader *bufio.Reader
}

// Dial connects a client.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReaderSize(conn, 64<<10)}, nil
}

// Answer is a proxy's answer.
type Answer struct {
	Value  string
	Served bool // a bulk string
	Line   string
}

// Busy reports whether the answer is a refusal.
func (a Answer) Busy() bool { return strings.HasPrefix(a.Line, "-BUSY") }

// Send sends one or more commands at once.
func (c *Client) Send(commands ...string) error {
	_, err := io.WriteString(c, strings.Join(commands, ""))
	return err
}

// Receive reads one answer within a time.
func (c *Client) Receive(within time.Duration) (a Answer, err error) {
	c.SetReadDeadline(time.Now().Add(within))
	line, err := c.Reader.ReadString('\n')
	if err != nil {
		return a, err
	}
	a.Line = strings.TrimRight(line, "\r\n")
	if line[0] != '$' {
		return a, nil
	}
	size := 0
	if _, err := fmt.Sscanf(line, "$%d", &size); err != nil || size < 0 {
		return a, nil
	}
	value := make([]byte, size+2)
	n, err := io.ReadFull(c.Reader, value)
	if err != nil {
		a.Value = string(value[:n])
		return a, fmt.Errorf("%d of %d bytes of a value: %w", n, size, err)
	}
	a.Value, a.Served = string(value[:size]), true
	return a, nil
}

// Get and Set return commands of a client that waits for ms milliseconds.
func Get(key, id, class string, ms int) string {
	return Encode("CACHE.GET", key, id, fmt.Sprintf("c=%s,d=%d", class, ms))
}

// Set is Get for a write.
func Set(key, id, class string, ms int, value string) string {
	return Encode("CACHE.SET", key, id, fmt.Sprintf("c=%s,d=%d", class, ms), value)
}
