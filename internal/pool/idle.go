package pool

import (
	"container/list"
	"sync"
)

// idleConns are the idle connections of all pools, the one that has been idle for longest first. A pool's mutex comes ahead of this one's.
type idleConns struct {
	mu  sync.Mutex
	all list.List
}

// add adds a connection that has just become idle; its pool's mutex is held.
func (i *idleConns) add(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c.place = i.all.PushBack(c)
}

// remove takes off one that is used again, or closed; its pool's mutex is held.
func (i *idleConns) remove(c *conn) {
	if c.place == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.all.Remove(c.place)
	c.place = nil
}

func (i *idleConns) oldest() *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	if first := i.all.Front(); first != nil {
		return first.Value.(*conn)
	}
	return nil
}

// closeOldest closes the connection that has been idle for longest, at whichever server: else the idle connections to some would keep pushes
// from others. It returns false if there is none. Danger: with a walk over all pools, each attempt that needs a descriptor would hold the mutex that
// the engine's goroutine needs for every other.
func (i *idleConns) closeOldest() bool {
	for c := i.oldest(); c != nil; c = i.oldest() {
		if c.closeIdle() {
			return true
		}
	}
	return false
}

// closeIdle closes a connection if it is still idle.
func (c *conn) closeIdle() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.place == nil {
		return false
	}
	c.close()
	return true
}
