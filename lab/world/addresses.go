package world

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
)

// blocks are parts of the loopback range that worlds are given in turn. Danger: two worlds at the same addresses, as tests that run beside each other
// make them, take each other's ports while a cache or a proxy is down.
const addressBlocks = 8

var worldCount atomic.Uint32

// nextBlock is the block of one more world; those of other processes on the machine mostly have others.
func nextBlock() int { return (os.Getpid() + int(worldCount.Add(1))) % addressBlocks }

// cachesInARow is how many caches share the third number of their addresses.
const cachesPerSubnet = 250

// cacheHost is where a cache is reached through a door.
func (w *World) cacheHost(door int, number uint32) string {
	subnet := w.addressBlock*(256/addressBlocks) + int(number)/cachesPerSubnet%(256/addressBlocks)
	return fmt.Sprintf("127.%d.%d.%d", 30+door, subnet, number%cachesPerSubnet+1)
}

func (w *World) agentHost(proxy int) string {
	return fmt.Sprintf("127.28.%d.%d", w.addressBlock, proxy+1)
}
func (w *World) originHost(door int) string {
	return fmt.Sprintf("127.29.%d.%d", door, w.addressBlock+1)
}
func (w *World) controlHost(proxy int) string {
	return fmt.Sprintf("127.26.%d.%d", w.addressBlock, proxy+1)
}

// ProxyAddr finds an address for a proxy, ControlAddr one for its operators' calls.
func (w *World) ProxyAddr(proxy int) (string, error) {
	return FreeAddr(fmt.Sprintf("127.27.%d.%d", w.addressBlock, proxy+1))
}

func (w *World) ControlAddr(proxy int) (string, error) { return FreeAddr(w.controlHost(proxy)) }

// addr is where a cache is reached through a door now.
func (c *Cache) addr(door int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[door]
}

func (c *Cache) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addrs)
}

// listenAgain listens at an address that was in use before, or, if another has its port by now, at another port there.
func (w *World) relisten(addr string, listen func(addr string) (net.Listener, error)) (net.Listener, error) {
	l, err := listen(addr)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return l, err
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	return listen(net.JoinHostPort(host, "0"))
}
