package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Command is a request that a cache has received whole.
type Command struct {
	Words []string // name, key, id, properties, perhaps a value
	Conn  *net.TCPConn
}

// Key, ID and Class are parts of a command.
func (c Command) Key() string { return c.Words[1] }

// ID returns the request's id.
func (c Command) ID() string { return c.Words[2] }

// Cache is a stand-in cache. Each command that has come whole is passed to Handle, on the connection's own goroutine.
type Cache struct {
	Instance
	Handle func(c Command)

	// OneWay is how long each direction between the proxy and the cache takes.
	OneWay time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*sender
}

// StartCache starts a cache.
func StartCache(id, zone string) (*Cache, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cache := &Cache{Instance: Instance{ID: id, Addr: l.Addr().String(), Zone: zone, Kind: "box", Cell: 1, State: "active", Weight: 1},
		conns: map[net.Conn]*sender{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go cache.serve(conn.(*net.TCPConn))
		}
	}()
	return cache, nil
}

// serve reads commands in order. A command arrives OneWay after its last byte was read from the socket.
func (cache *Cache) serve(conn *net.TCPConn) {
	defer conn.Close()
	s := newSender(conn)
	cache.mu.Lock()
	cache.conns[conn] = s
	cache.mu.Unlock()
	defer func() {
		cache.mu.Lock()
		delete(cache.conns, conn)
		cache.mu.Unlock()
		s.close()
	}()
	type arrival struct {
		words []string
		at    time.Time
	}
	arrivals := make(chan arrival, 1024)
	go func() {
		defer close(arrivals)
		r := bufio.NewReaderSize(conn, 64<<10)
		for {
			words, err := ReadCommand(r)
			if err != nil {
				return
			}
			arrivals <- arrival{words, time.Now().Add(cache.OneWay)}
		}
	}()
	for a := range arrivals {
		time.Sleep(time.Until(a.at))
		s.begin()
		switch strings.ToUpper(a.words[0]) {
		case "CACHE.GET", "CACHE.SET":
			cache.Handle(Command{a.words, conn})
		case "PING":
			cache.Send(conn, "+PONG\r\n")
		case "CLIENT", "SELECT":
			cache.Send(conn, "+OK\r\n")
		case "INFO":
			cache.Send(conn, "-NOPERM\r\n")
		default:
			cache.Send(conn, "-ERR unknown command\r\n")
		}
		s.end()
	}
}

// Send sends bytes to the proxy. They are written to the socket OneWay later, in order.
func (cache *Cache) Send(conn net.Conn, text string) {
	if s := cache.sender(conn); s != nil {
		s.put(text, time.Now().Add(cache.OneWay))
	}
}

// SendIfIdle sends bytes if no command has arrived on the connection that is not answered, and reports whether it did.
func (cache *Cache) SendIfIdle(conn net.Conn, text string) bool {
	s := cache.sender(conn)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.closed {
		return false
	}
	s.queue <- delayed{text, time.Now().Add(cache.OneWay)}
	return true
}

func (cache *Cache) sender(conn net.Conn) *sender {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	return cache.conns[conn]
}

// sender writes what a cache sends on one connection.
type sender struct {
	mu     sync.Mutex
	queue  chan delayed
	busy   bool // a command has arrived and is not answered
	closed bool
}

type delayed struct {
	text string
	at   time.Time
}

func newSender(conn net.Conn) *sender {
	s := &sender{queue: make(chan delayed, 4096)}
	go func() {
		for d := range s.queue {
			time.Sleep(time.Until(d.at))
			if _, err := io.WriteString(conn, d.text); err != nil {
				conn.Close()
			}
		}
	}()
	return s
}

func (s *sender) put(text string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.queue <- delayed{text, at}
	}
}

func (s *sender) begin() {
	s.mu.Lock()
	s.busy = true
	s.mu.Unlock()
}

func (s *sender) end() {
	s.mu.Lock()
	s.busy = false
	s.mu.Unlock()
}

func (s *sender) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
}

// Hit is the answer of a cache that has the value.
func Hit(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// Miss is the answer of a cache that lacks the key.
const Miss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"

// Encode returns a command on the wire.
func Encode(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}

// ReadCommand reads an array of bulk strings.
func ReadCommand(r *bufio.Reader) (words []string, err error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	for range count {
		size, err := readLength(r, '$')
		if err != nil || size < 0 {
			return nil, fmt.Errorf("bulk string of length %d: %v", size, err)
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return nil, err
		}
		words = append(words, string(text[:size]))
	}
	return words, nil
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != kind {
		return 0, fmt.Errorf("no length line: %q", line)
	}
	return strconv.Atoi(line[1 : len(line)-2])
}
