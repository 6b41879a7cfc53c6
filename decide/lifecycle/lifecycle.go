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
	SentAway    // clients are told to go elsewhere, and may be taken again
	Draining    // the process ends
	HandingBack // what was open has its answer, which is being written
	Ended
)

var names = [...]string{"starting", "serving", "sent away", "draining", "handing back", "ended"}

func (s State) String() string { return names[s] }

// Part is the share, 0 to 1, of the connections with nothing on them that have ended by now: where another process takes their
// clients, these come to it over a while, not all at once.
func (l *Life) Part(now Time) float64 {
	if l.state != Draining || !l.successor || l.Spread <= 0 {
		return 0
	}
	return min(float64(now-l.since)/float64(l.Spread), 1)
}

// Phase is what becomes of clients' connections.
type Phase uint8

const (
	Keep     Phase = iota
	Answered       // one ends right behind its next answer: its client is least likely to be writing just then
	Asked          // all end between commands that have asked, or had the time to
	All            // all end between commands
)

// Plan holds the spans of a drain, counted from its event.
type Plan struct {
	Coming Time // new connections still come for so long: the fronts have not heard yet
	Over   Time // and so long where a successor takes them
	Last   Time // commands of a process that ends are taken for so long
	Hand   Time // from there on what is open is answered by whatever is safe, at the latest
	Past   Time // and so long past the longest time that an op may be open
	Close  Time // from that until the process ends, whatever is left
	Spread Time // over which connections end that nobody uses, where a successor takes them; 0: together
	Turn   Time // connections sent away end behind an answer from Coming to here, and all that had the time to ask from here on
}

// ErrEnding is the answer to a call that a process which ends can't follow.
var ErrEnding = errors.New("this process is ending")

// Life is one process's life. Its zero value is starting, without a plan.
type Life struct {
	Plan
	state     State
	since     Time
	successor bool // another process serves the address
	away      bool // clients are sent away, also while the process ends
	hand      Time // when what is open is handed back
	longest   Time // that an op may be open; 0: not known
}

// Longest tells how long an op may be open. Danger: who ends the process gives it no more than that and a little: a command
// whose last byte came late would be open still.
func (l *Life) Longest(open Time) { l.longest = open }

func (l *Life) State() State { return l.state }

// Listening tells that clients can connect; away: they were sent away before this process took over, and still are.
func (l *Life) Listening(now Time, away bool) {
	if l.state == Starting {
		if l.state, l.since, l.away = Serving, now, away; away {
			l.state = SentAway
		}
	}
}

// Send sends clients away, or takes them again. Said twice it changes nothing: a second call must not put off what the
// first began.
func (l *Life) Send(now Time, away bool) error {
	switch {
	case l.state >= Draining:
		return ErrEnding
	case away && l.state != SentAway:
		l.state, l.since, l.away = SentAway, now, true
	case !away && l.state == SentAway:
		l.state, l.since, l.away = Serving, now, false
	}
	return nil
}

// Stop begins the end. With a successor clients have where to go at once. Said again it changes nothing at first: some
// supervisors signal a group and its leader. Whoever says it later has waited enough: what is open is handed back.
func (l *Life) Stop(now Time, successor bool) {
	switch {
	case l.state < Draining:
		l.successor = successor || l.away
		if l.state, l.since, l.hand = Draining, now, now+l.Hand; l.longest > 0 && l.Past > 0 {
			l.hand = min(l.hand, now+l.longest+l.Past)
		}
	case l.state == Draining && now >= l.since+l.Last:
		l.hand = min(l.hand, now)
	}
}

// Successor tells whether another process serves the address by now. One that has died is none: while this one still
// listens, it goes on for as long as without one.
func (l *Life) Successor(there bool) {
	if l.state == Draining {
		l.successor = there || l.away
	}
}

// Duty is what a process that ends has to do.
type Duty uint8

const (
	None     Duty = iota
	HandBack      // answer all that is open, once
	End
)

// Due tells what has to be done now.
func (l *Life) Due(now Time) Duty {
	switch {
	case l.state == Draining && now >= l.hand:
		l.state = HandingBack
		return HandBack
	case l.state == HandingBack && now >= l.hand+l.Close:
		l.state = Ended
	}
	if l.state == Ended {
		return End
	}
	return None
}

// Empty tells that the last client has gone, or is given up.
func (l *Life) Empty() {
	if l.state >= Draining {
		l.state = Ended
	}
}

// Ready tells whether clients can connect. Those sent away still can, and an upgrade of such a proxy has to go on.
func (l *Life) Ready() bool { return l.state == Serving || l.state == SentAway }

// Yes tells whether PING is answered as by a proxy in use. A process that ends without a successor says yes as ever: its
// platform knows of the end, and its clients still come for a moment.
func (l *Life) Yes() bool { return !l.away }

// Listens tells whether the address is still listened at.
func (l *Life) Listens(now Time) bool {
	span := l.Coming
	if l.successor {
		span = l.Over
	}
	return l.state < Draining || l.state == Draining && now < l.since+span
}

// Phase is what becomes of connections now.
func (l *Life) Phase(now Time) Phase {
	switch {
	case l.state == Draining && l.successor && now < l.since+l.Spread:
		return Answered
	case l.state >= HandingBack, l.state == Draining && now >= l.since+l.Last:
		return All
	case l.state == SentAway && now >= l.since+l.Turn, l.state == Draining && now >= l.since+l.Coming:
		return Asked
	case l.state == Draining && l.successor, l.state == SentAway && now >= l.since+l.Coming:
		return Answered
	}
	return Keep
}
