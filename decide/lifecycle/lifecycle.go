// Package lifecycle says what a proxy is to its clients: starting, serving, sent away, draining, handing back or ended.
// Signals, calls, a successor and the clock are events to it; front and engine only carry out what it answers.
package lifecycle

import "errors"

// Time is a clock reading or a span in whole tenths of a millisecond.
type Time int64

// State is what the process is.
type State uint8

const (
	Starting State = iota
	Serving
	LameDuck    // clients are told to go elsewhere, and may be taken again
	Draining    // the process ends
	HandingBack // what was open has its answer, which is being written
	Ended
)

var names = [...]string{"starting", "serving", "sent away", "draining", "handing back", "ended"}

func (s State) String() string { return names[s] }

// IdleCloseShare is the share, 0 to 1, of the connections with nothing on them that have ended by now: where another process takes their
// clients, these come to it over a while, not all at once.
func (l *Machine) IdleCloseShare(now Time) float64 {
	if l.state != Draining || !l.successor || l.IdleCloseSpread <= 0 {
		return 0
	}
	return min(float64(now-l.since)/float64(l.IdleCloseSpread), 1)
}

// ClosePolicy is what becomes of clients' connections.
type ClosePolicy uint8

const (
	KeepOpen     ClosePolicy = iota
	CloseAfterReply       // one ends right behind its next answer: its client is least likely to be writing just then
	CloseInformed          // all end between commands that have asked, or had the time to
	CloseAll            // all end between commands
)

// Schedule holds the spans of a drain, counted from its event.
type Schedule struct {
	ListenFor Time // new connections still come for so long: the fronts have not heard yet
	ListenForWithSuccessor   Time // and so long where a successor takes them
	AcceptCommandsFor   Time // commands of a process that ends are taken for so long
	AnswerOpenAfter   Time // from there on what is open is answered by whatever is safe, at the latest
	TTLMargin   Time // and so long past the longest time that an op may be open
	FlushTimeout  Time // from that until the process ends, whatever is left
	IdleCloseSpread Time // over which connections end that nobody uses, where a successor takes them; 0: together
	CloseInformedAfter   Time // connections sent away end behind an answer from Coming to here, and all that had the time to ask from here on
}

// ErrEnding is the answer to a call that a process which ends can't follow.
var ErrEnding = errors.New("this process is ending")

// Machine is one process's life. Its zero value is starting, without a plan.
type Machine struct {
	Schedule
	state     State
	since     Time
	successor bool // another process serves the address
	away      bool // clients are sent away, also while the process ends
	hand      Time // when what is open is handed back
	longest   Time // that an op may be open; 0: not known
}

// SetMaxTTL tells how long an op may be open. Danger: who ends the process gives it no more than that and a little: a command
// whose last byte came late would be open still.
func (l *Machine) SetMaxTTL(open Time) { l.longest = open }

func (l *Machine) State() State { return l.state }

// MarkListening tells that clients can connect; away: they were sent away before this process took over, and still are.
func (l *Machine) MarkListening(now Time, away bool) {
	if l.state == Starting {
		if l.state, l.since, l.away = Serving, now, away; away {
			l.state = LameDuck
		}
	}
}

// SetLameDuck sends clients away, or takes them again. Said twice it changes nothing: a second call must not put off what the
// first began.
func (l *Machine) SetLameDuck(now Time, away bool) error {
	switch {
	case l.state >= Draining:
		return ErrEnding
	case away && l.state != LameDuck:
		l.state, l.since, l.away = LameDuck, now, true
	case !away && l.state == LameDuck:
		l.state, l.since, l.away = Serving, now, false
	}
	return nil
}

// Stop begins the end. With a successor clients have where to go at once. Said again it changes nothing at first: some
// supervisors signal a group and its leader. Whoever says it later has waited enough: what is open is handed back.
func (l *Machine) Stop(now Time, successor bool) {
	switch {
	case l.state < Draining:
		l.successor = successor || l.away
		if l.state, l.since, l.hand = Draining, now, now+l.AnswerOpenAfter; l.longest > 0 && l.TTLMargin > 0 {
			l.hand = min(l.hand, now+l.longest+l.TTLMargin)
		}
	case l.state == Draining && now >= l.since+l.AcceptCommandsFor:
		l.hand = min(l.hand, now)
	}
}

// SetSuccessor tells whether another process serves the address by now. One that has died is none: while this one still
// listens, it goes on for as long as without one.
func (l *Machine) SetSuccessor(there bool) {
	if l.state == Draining {
		l.successor = there || l.away
	}
}

// Duty is what a process that ends has to do.
type Duty uint8

const (
	None     Duty = iota
	AnswerOpen      // answer all that is open, once
	Exit
)

// Advance tells what has to be done now.
func (l *Machine) Advance(now Time) Duty {
	switch {
	case l.state == Draining && now >= l.hand:
		l.state = HandingBack
		return AnswerOpen
	case l.state == HandingBack && now >= l.hand+l.FlushTimeout:
		l.state = Ended
	}
	if l.state == Ended {
		return Exit
	}
	return None
}

// MarkEmpty tells that the last client has gone, or is given up.
func (l *Machine) MarkEmpty() {
	if l.state >= Draining {
		l.state = Ended
	}
}

// Ready tells whether clients can connect. Those sent away still can, and an upgrade of such a proxy has to go on.
func (l *Machine) Ready() bool { return l.state == Serving || l.state == LameDuck }

// Healthy tells whether PING is answered as by a proxy in use. A process that ends without a successor says yes as ever: its
// platform knows of the end, and its clients still come for a moment.
func (l *Machine) Healthy() bool { return !l.away }

// Accepting tells whether the address is still listened at.
func (l *Machine) Accepting(now Time) bool {
	span := l.ListenFor
	if l.successor {
		span = l.ListenForWithSuccessor
	}
	return l.state < Draining || l.state == Draining && now < l.since+span
}

// ClosePolicy is what becomes of connections now.
func (l *Machine) ClosePolicy(now Time) ClosePolicy {
	switch {
	case l.state == Draining && l.successor && now < l.since+l.IdleCloseSpread:
		return CloseAfterReply
	case l.state >= HandingBack, l.state == Draining && now >= l.since+l.AcceptCommandsFor:
		return CloseAll
	case l.state == LameDuck && now >= l.since+l.CloseInformedAfter, l.state == Draining && now >= l.since+l.ListenFor:
		return CloseInformed
	case l.state == Draining && l.successor, l.state == LameDuck && now >= l.since+l.ListenFor:
		return CloseAfterReply
	}
	return KeepOpen
}
