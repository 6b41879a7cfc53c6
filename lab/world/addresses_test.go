package world

import (
	"net"
	"testing"
)

// Guards against a restart that fails because another process took the port while the cache was down.
func TestRestartAfterPortWasTaken(t *testing.T) {
	w, done := newTestWorld(t)
	defer done()
	c := w.Caches()[0]
	previous := c.addr(0)
	c.Kill()
	l, err := net.Listen("tcp", previous)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	if c.addr(0) == previous || !c.Alive() {
		t.Errorf("alive: %v; it listens at %s, whose port is taken", c.Alive(), c.addr(0))
	}
}

// Concurrent worlds must not share addresses.
func TestWorldsUseDistinctAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range addressBlocks {
		w := &World{addressBlock: nextBlock()}
		for _, number := range []uint32{1, 250, 251, 3200, 6400} {
			host := w.cacheHost(0, number)
			if seen[host] || net.ParseIP(host) == nil {
				t.Errorf("%q is used twice or is no IP address", host)
			}
			seen[host] = true
		}
	}
}
