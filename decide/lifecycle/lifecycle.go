// Package lifecycle is the state machine of a proxy process: starting, serving, lame duck, draining, flushing replies
// and ended. Signals, operators' calls, the presence of a successor and the clock are its inputs; the front and the
// engine carry out what it returns.
package lifecycle

import "errors"

// Time is a clock reading or a duration in tenths of a millisecond.
type Time int64

// State is the state of the process.
type State uint8

const (
	Starting        State = iota // not listening yet
	Serving                      // listening and healthy
	LameDuck                     // listening, but clients are told to use another proxy; may serve again
	Draining                     // stopping; finishing open ops
	FlushingReplies              // all open ops are answered; their replies are being written
	Ended                        // nothing is left to do; the process exits
)

var stateNames = [...]string{"starting", "serving", "sent away", "draining", "handing back", "ended"}

func (s State) String() string { return stateNames[s] }

// ClosePolicy is which client connections are closed.
type ClosePolicy uint8

const (
	// KeepOpen closes none.
	KeepOpen ClosePolicy = iota
	// CloseAfterReply closes a connection right after its next reply, when its client is least likely to be writing.
	CloseAfterReply
	// CloseInformed also closes, between commands, each connection whose client has sent a health check or has had the
	// time to.
	CloseInformed
	// CloseAll closes every connection between commands.
	CloseAll
)

// Schedule holds the durations of a shutdown, counted from the call that starts it.
type Schedule struct {
	// ListenFor is how long new connections are accepted, since load balancers have not noticed the shutdown yet.
	ListenFor Time
	// ListenForWithSuccessor replaces ListenFor where a successor accepts them.
	ListenForWithSuccessor Time
	// AcceptCommandsFor is how long a draining process accepts commands.
	AcceptCommandsFor Time
	// AnswerOpenAfter is the latest moment at which all open ops are answered with whatever is safe.
	AnswerOpenAfter Time
	// TTLMargin is added to the longest time that an op may be open: ops are answered no later than that, if it is
	// before AnswerOpenAfter. 0: only AnswerOpenAfter counts.
	TTLMargin Time
	// FlushTimeout is the time from answering the open ops until the process ends, whatever is still unwritten.
	FlushTimeout Time
	// IdleCloseSpread is the time over which idle connections are closed where a successor takes them. 0: all at once.
	IdleCloseSpread Time
	// CloseInformedAfter is when a lame duck changes from CloseAfterReply, in force since ListenFor, to CloseInformed.
	CloseInformedAfter Time
}

// ErrEnding is returned for a call that a process which is shutting down can't follow.
var ErrEnding = errors.New("this process is ending")

// Machine is the state machine of one process. Its zero value is starting, with an empty schedule.
type Machine struct {
	Schedule
	state         State
	enteredAt     Time // when the state was entered; for FlushingReplies and Ended, when draining began
	successor     bool // clients have another process or proxy to go to
	lameDuck      bool // clients are told to use another proxy, also during a shutdown
	answerOpenAt  Time // when open ops are answered
	maxOpDuration Time // longest time that an op may be open; 0: unknown
}

// SetMaxTTL sets the longest time that an op may be open. A supervisor gives the process little more than that before
// it kills it, so ops are not left open for longer: a command whose last byte came late would still be open then.
func (m *Machine) SetMaxTTL(duration Time) { m.maxOpDuration = duration }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// MarkListening records that clients can connect. LameDuck tells that the process takes over from a lame duck and
// stays one.
func (m *Machine) MarkListening(now Time, lameDuck bool) {
	if m.state == Starting {
		m.state = Serving
		m.enteredAt = now
		m.lameDuck = lameDuck
		if lameDuck {
			m.state = LameDuck
		}
	}
}

// SetLameDuck makes the process a lame duck, or serve again. A repeated call changes nothing, so that it can't put off
// what the first one began. It returns ErrEnding during a shutdown.
func (m *Machine) SetLameDuck(now Time, lameDuck bool) error {
	switch {
	case m.state >= Draining:
		return ErrEnding
	case lameDuck && m.state != LameDuck:
		m.state, m.enteredAt, m.lameDuck = LameDuck, now, true
	case !lameDuck && m.state == LameDuck:
		m.state, m.enteredAt, m.lameDuck = Serving, now, false
	}
	return nil
}

// Stop begins the shutdown. Clients of a lame duck, or with a successor, have somewhere else to go at once. A second
// call soon after the first changes nothing, since some supervisors signal both a process group and its leader. A call
// once AcceptCommandsFor has passed means that the caller won't wait any longer: open ops are answered now.
func (m *Machine) Stop(now Time, successor bool) {
	switch {
	case m.state < Draining:
		m.successor = successor || m.lameDuck
		m.state = Draining
		m.enteredAt = now
		m.answerOpenAt = now + m.AnswerOpenAfter
		if m.maxOpDuration > 0 && m.TTLMargin > 0 {
			m.answerOpenAt = min(m.answerOpenAt, now+m.maxOpDuration+m.TTLMargin)
		}
	case m.state == Draining && now >= m.enteredAt+m.AcceptCommandsFor:
		m.answerOpenAt = min(m.answerOpenAt, now)
	}
}

// SetSuccessor sets whether another process serves the address. If it dies while this process still listens, this one
// listens for as long as it would without a successor.
func (m *Machine) SetSuccessor(present bool) {
	if m.state == Draining {
		m.successor = present || m.lameDuck
	}
}

// Action is what a process that shuts down has to do.
type Action uint8

const (
	NoAction   Action = iota
	AnswerOpen        // answer all open ops; returned once
	Exit              // end the process
)

// Advance moves the machine to the present and returns what has to be done now.
func (m *Machine) Advance(now Time) Action {
	switch {
	case m.state == Draining && now >= m.answerOpenAt:
		m.state = FlushingReplies
		return AnswerOpen
	case m.state == FlushingReplies && now >= m.answerOpenAt+m.FlushTimeout:
		m.state = Ended
	}
	if m.state == Ended {
		return Exit
	}
	return NoAction
}

// MarkEmpty records that the last client has disconnected or been given up.
func (m *Machine) MarkEmpty() {
	if m.state >= Draining {
		m.state = Ended
	}
}

// Ready reports whether clients can connect. They can to a lame duck too, and an upgrade of one must be able to proceed.
func (m *Machine) Ready() bool { return m.state == Serving || m.state == LameDuck }

// Healthy reports whether health checks (PING) succeed. They do during a shutdown without a successor: the platform
// knows of the shutdown, and clients still connect for a moment.
func (m *Machine) Healthy() bool { return !m.lameDuck }

// Accepting reports whether the process still listens at its address.
func (m *Machine) Accepting(now Time) bool {
	duration := m.ListenFor
	if m.successor {
		duration = m.ListenForWithSuccessor
	}
	return m.state < Draining || m.state == Draining && now < m.enteredAt+duration
}

// ClosePolicy returns which client connections are closed now.
func (m *Machine) ClosePolicy(now Time) ClosePolicy {
	switch {
	case m.state == Draining && m.successor && now < m.enteredAt+m.IdleCloseSpread:
		return CloseAfterReply
	case m.state >= FlushingReplies, m.state == Draining && now >= m.enteredAt+m.AcceptCommandsFor:
		return CloseAll
	case m.state == LameDuck && now >= m.enteredAt+m.CloseInformedAfter, m.state == Draining && now >= m.enteredAt+m.ListenFor:
		return CloseInformed
	case m.state == Draining && m.successor, m.state == LameDuck && now >= m.enteredAt+m.ListenFor:
		return CloseAfterReply
	}
	return KeepOpen
}

// IdleCloseShare returns the share, 0 to 1, of idle connections that are closed by now. Where a successor takes over,
// they move to it gradually and not all at once.
func (m *Machine) IdleCloseShare(now Time) float64 {
	if m.state != Draining || !m.successor || m.IdleCloseSpread <= 0 {
		return 0
	}
	return min(float64(now-m.enteredAt)/float64(m.IdleCloseSpread), 1)
}
