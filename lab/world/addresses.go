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

// addressBlocks is the number of parts of the loopback range (127.0.0.0/8) that worlds use in turn. Worlds that run concurrently, as tests
// make them, must not share addresses: they would take each other's ports while a cache or a proxy is down.
const addressBlocks = 8

// worldCount counts the worlds of this process.
var worldCount atomic.Uint32

// nextBlock returns the index of the next world's address block, below addressBlocks. It starts from the process id, so that concurrent processes rarely share
// a block.
func nextBlock() int { return (os.Getpid() + int(worldCount.Add(1))) % addressBlocks }

// cachesPerSubnet is the number of caches that share the first three octets of their addresses.
const cachesPerSubnet = 250

// cacheHost returns the IP address at which the proxies of a group reach a cache.
func (w *World) cacheHost(group int, number uint32) string {
	subnet := w.addressBlock*(256/addressBlocks) + int(number)/cachesPerSubnet%(256/addressBlocks)
	return fmt.Sprintf("127.%d.%d.%d", 30+group, subnet, number%cachesPerSubnet+1)
}

// agentHost returns the IP address of a proxy's discovery agent.
func (w *World) agentHost(proxy int) string {
	return fmt.Sprintf("127.28.%d.%d", w.addressBlock, proxy+1)
}

// originHost returns the IP address at which the proxies of a group reach the origin.
func (w *World) originHost(group int) string {
	return fmt.Sprintf("127.29.%d.%d", group, w.addressBlock+1)
}

// controlHost returns the IP address of a proxy's control port.
func (w *World) controlHost(proxy int) string {
	return fmt.Sprintf("127.26.%d.%d", w.addressBlock, proxy+1)
}

// ProxyAddr returns a free address at which a proxy may listen for clients.
func (w *World) ProxyAddr(proxy int) (string, error) {
	return FreeAddr(fmt.Sprintf("127.27.%d.%d", w.addressBlock, proxy+1))
}

// ControlAddr returns a free address for a proxy's control port.
func (w *World) ControlAddr(proxy int) (string, error) { return FreeAddr(w.controlHost(proxy)) }

// addr returns the address at which the proxies of a group reach the cache now.
func (c *Cache) addr(group int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[group]
}

// addresses returns a copy of the cache's addresses, by proxy group.
func (c *Cache) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addrs)
}

// relisten listens at an address that was used before. If another process has taken the port meanwhile, it uses another port of
// the same IP address.
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
