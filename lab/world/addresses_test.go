package world

import (
	"net"
	"testing"
)

// Danger: a cache is down, and another process has its port by the time it comes back.
func TestACacheWhosePortIsTakenComesBackAtAnother(t *testing.T) {
	w, done := stand(t)
	defer done()
	c := w.Caches()[0]
	was := c.addr(0)
	c.Kill()
	l, err := net.Listen("tcp", was)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	if c.addr(0) == was || !c.Alive() {
		t.Errorf("it listens at %s, which was %s", c.addr(0), was)
	}
}

// Worlds beside each other do not share addresses.
func TestWorldsHaveBlocksOfTheirOwn(t *testing.T) {
	seen := map[string]bool{}
	for range addressBlocks {
		w := &World{addressBlock: nextBlock()}
		for _, number := range []uint32{1, 250, 251, 3200, 6400} {
			host := w.cacheHost(0, number)
			if seen[host] || net.ParseIP(host) == nil {
				t.Errorf("%s twice, or no address", host)
			}
			seen[host] = true
		}
	}
}
