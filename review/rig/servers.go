package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Command is one command that a cache has received.
type Command struct {
	Words []string
	At    time.Time // when its last byte came
}

// ReadCommand reads one command: an array of bulk strings.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:size])
	}
	return words, nil
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%q in place of a length", line)
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err == nil && n < 0 {
		err = errors.New("a length is below 0")
	}
	return n, err
}

// Cache is a cache node. Handle answers each command on the connection that it came on; the connection is closed if it returns false.
type Cache struct {
	ID     string
	Handle func(c *net.TCPConn, cmd Command) bool

	listener net.Listener
}

// NewCache starts a cache node at a free loopback address.
func NewCache(id string, handle func(c *net.TCPConn, cmd Command) bool) (*Cache, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cache := &Cache{ID: id, Handle: handle, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go cache.serve(c.(*net.TCPConn))
		}
	}()
	return cache, nil
}

func (cache *Cache) serve(c *net.TCPConn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		words, err := ReadCommand(r)
		if err != nil {
			return
		}
		cmd := Command{words, time.Now()}
		switch strings.ToUpper(words[0]) {
		case "CACHE.GET", "CACHE.SET":
			if !cache.Handle(c, cmd) {
				return
			}
		case "PING":
			io.WriteString(c, "+PONG\r\n")
		case "CLIENT", "SELECT":
			io.WriteString(c, "+OK\r\n")
		default:
			io.WriteString(c, "-NOPERM\r\n")
		}
	}
}

// Addr returns the address of the cache node.
func (cache *Cache) Addr() string { return cache.listener.Addr().String() }

// Value returns a value of a size that was made for one request: it begins with the request's id.
func Value(id string, size int) string {
	return id + strings.Repeat(".", max(size-len(id), 0))
}

// Hit returns the answer of a cache node that has the value.
func Hit(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// Instance is an entry of discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// Node returns the entry of a warm cache node or of the origin.
func Node(id, addr, kind string) Instance {
	return Instance{ID: id, Addr: addr, Zone: "a", Kind: kind, Cell: 1, Lifecycle: "active", Weight: 1}
}

// Discovery is the discovery service.
type Discovery struct {
	mu         sync.Mutex
	generation uint64
	entries    []Instance
	changedIn  []uint64 // generation of each entry's last change
	changed    chan struct{}
	addr       string
	server     *http.Server
	OnCall     func(remote, query string)
}

// NewDiscovery starts discovery with a list.
func NewDiscovery(entries []Instance) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{generation: 1, entries: entries, changedIn: make([]uint64, len(entries)), changed: make(chan struct{}), addr: l.Addr().String()}
	d.serve(l)
	return d, nil
}

func (d *Discovery) serve(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(d.answer)}
	d.mu.Lock()
	d.server = server
	d.mu.Unlock()
	go server.Serve(l)
}

// Addr returns the address of discovery.
func (d *Discovery) Addr() string { return d.addr }

// Document returns the whole list as a document.
func (d *Discovery) Document() Object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Object{"generation": d.generation, "reset": true, "instances": append([]Instance{}, d.entries...)}
}

// Set changes the lifecycle of one entry.
func (d *Discovery) Set(id, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for i := range d.entries {
		if d.entries[i].ID == id {
			d.entries[i].Lifecycle, d.changedIn[i] = lifecycle, d.generation
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Stop ends the process of discovery: open connections are closed, new ones refused.
func (d *Discovery) Stop() {
	d.mu.Lock()
	server := d.server
	d.mu.Unlock()
	server.Close()
}

// Resume starts discovery again at its address, with what it knew.
func (d *Discovery) Resume() error {
	l, err := net.Listen("tcp", d.addr)
	if err == nil {
		d.serve(l)
	}
	return err
}

func (d *Discovery) answer(w http.ResponseWriter, r *http.Request) {
	if d.OnCall != nil {
		d.OnCall(r.RemoteAddr, r.URL.RawQuery)
	}
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		json.NewEncoder(w).Encode(d.Document())
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(min(wait, 60_000)) * time.Millisecond)
	for waiting := true; ; {
		d.mu.Lock()
		generation, changed := d.generation, d.changed
		entries := []Instance{}
		for i, e := range d.entries {
			if d.changedIn[i] > index {
				entries = append(entries, e)
			}
		}
		d.mu.Unlock()
		if index > generation {
			json.NewEncoder(w).Encode(d.Document())
			return
		}
		if generation > index || !waiting {
			json.NewEncoder(w).Encode(Object{"generation": generation, "reset": false, "instances": entries})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// Origin is the origin: it answers each request by Handle.
type Origin struct {
	listener net.Listener
}

// NewOrigin starts the origin at a free loopback address.
func NewOrigin(handle http.HandlerFunc) (*Origin, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go (&http.Server{Handler: handle}).Serve(l)
	return &Origin{l}, nil
}

// Addr returns the address of the origin.
func (o *Origin) Addr() string { return o.listener.Addr().String() }

// Client is one connection of a client.
type Client struct {
	*net.TCPConn
	Reader *bufio.Reader
}

// Dial opens a client's connection.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c.(*net.TCPConn), bufio.NewReader(c)}, nil
}

// Encode returns a command as it stands on the wire.
func Encode(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// ReadReply reads one answer: a line, or the value of a bulk string with "$" before it.
func ReadReply(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != '$' {
		return line, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return line, err
	}
	text := make([]byte, size+2)
	n, err := io.ReadFull(r, text)
	if err != nil {
		return fmt.Sprintf("%d of %d bytes", n, size), err
	}
	return "$" + string(text[:size]), nil
}
