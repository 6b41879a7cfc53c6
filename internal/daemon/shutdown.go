package daemon

import (
	"time"

	"minttray/decide/lifecycle"
)

const (
	// answerOpenTimeout limits the wait for the engine to answer all open ops.
	answerOpenTimeout = 350 * time.Millisecond
	// shutdownInterval is the time between two steps of the shutdown.
	shutdownInterval = 10 * time.Millisecond
)

// shutDown stops listening when the lifecycle says so, and closes each connection once its ops are answered. Ops that are
// still open at the lifecycle's deadline get the reply that is safe for their category. It returns when no client is
// connected, or when the time to flush replies is over as well, with the number of clients still connected; 1 stands for an
// unknown number while the listener is not closed. stopAgain receives further stop signals: a late one ends the wait for open
// ops.
func (c *coordinator) shutDown(stopAgain <-chan struct{}) (connected int) {
	successor := c.hasSuccessor()
	c.mu.Lock()
	c.machine.Stop(c.now(), successor)
	c.mu.Unlock()
	listening := true
	closed := make(chan struct{}) // closed when the front end has stopped listening
	for ; ; time.Sleep(shutdownInterval) {
		if listening {
			successor = c.hasSuccessor()
		}
		c.mu.Lock()
		select {
		case <-stopAgain:
			c.machine.Stop(c.now(), successor)
		default:
		}
		if listening {
			c.machine.SetSuccessor(successor)
		}
		now := c.now()
		action := c.machine.Advance(now)
		acceptsConns := c.machine.Accepting(now)
		c.updateFront()
		c.mu.Unlock()
		if listening && !acceptsConns {
			listening = false
			go func() {
				c.front.Close()
				close(closed)
			}()
		}
		if action == lifecycle.AnswerOpen {
			if err := c.engine.AnswerAllOpen(answerOpenTimeout); err != nil {
				c.log.Error().Err(err).Msg("open ops not answered at shutdown")
			}
		}
		select {
		case <-closed:
			connected = c.front.OpenConns()
		default:
			connected = 1 // unknown: connections in the listener's queue are not counted yet
		}
		if connected == 0 || action == lifecycle.Exit {
			c.mu.Lock()
			c.machine.MarkEmpty()
			c.mu.Unlock()
			return connected
		}
	}
}
