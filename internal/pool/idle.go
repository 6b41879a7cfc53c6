package pool

import (
	"container/list"
	"sync"
)

// idleList holds the idle connections of all pools, the one that has been idle longest first. Lock order: a pool's mutex before
// this one.
type idleList struct {
	mu    sync.Mutex
	order list.List // of *conn
}

// add appends a connection that has just become idle. The caller holds its pool's mutex.
func (l *idleList) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.idleElement = l.order.PushBack(c)
}

// remove removes a connection that is used again or closed. The caller holds its pool's mutex.
func (l *idleList) remove(c *conn) {
	if c.idleElement == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order.Remove(c.idleElement)
	c.idleElement = nil
}

func (l *idleList) oldest() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if front := l.order.Front(); front != nil {
		return front.Value.(*conn)
	}
	return nil
}

// closeOldest closes the connection that has been idle longest, whichever server it leads to, so that idle connections to some servers
// don't block attempts at others. It returns false if no connection is idle. It doesn't walk all pools: the engine's goroutine needs
// their mutexes for every attempt.
func (l *idleList) closeOldest() bool {
	for c := l.oldest(); c != nil; c = l.oldest() {
		if c.closeIfIdle() {
			return true
		}
	}
	return false
}

// closeIfIdle closes a connection if it is still idle, and reports whether it was.
func (c *conn) closeIfIdle() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.idleElement == nil {
		return false
	}
	c.close()
	return true
}
