package front

import (
	"net"
	"testing"
)

// Guards against resets of connections in the accept queue of a process that ends: with two listeners on an address, new
// connections go to the newer one, and the queue of the older one can be accepted without blocking.
func TestTwoListenAtOneAddress(t *testing.T) {
	older, err := listen("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	defer older.Close()
	addr := older.Addr().String()
	dial := func(n int) {
		for range n {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	if err := steerToNewest(older); err != nil {
		t.Skipf("socket filters are not permitted: %v", err)
	}
	dial(5)
	newer, err := listen(addr, true)
	if err != nil {
		t.Fatal(err)
	}
	defer newer.Close()
	if err := steerToNewest(newer); err != nil {
		t.Fatal(err)
	}
	dial(40)
	count := func(l *net.TCPListener) int {
		accepted := acceptBacklog(l)
		for _, c := range accepted {
			c.Close()
		}
		return len(accepted)
	}
	if oldCount, newCount := count(older), count(newer); oldCount != 5 || newCount != 40 {
		t.Errorf("%d connections to the old listener, %d to the new one", oldCount, newCount)
	}
	older.Close()
	dial(7) // one listener remains and gets all connections
	if accepted := count(newer); accepted != 7 {
		t.Errorf("%d of 7 connections arrived", accepted)
	}
	third, err := listen(addr, true)
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	if err := steerToNewest(third); err != nil {
		t.Fatal(err)
	}
	dial(20)
	if oldCount, newCount := count(newer), count(third); oldCount != 0 || newCount != 20 {
		t.Errorf("second upgrade: %d connections to the old listener, %d to the new one", oldCount, newCount)
	}
}
