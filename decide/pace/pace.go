// Package pace restores the request rate of one of many clients of a shared server after the server was overloaded. Each
// client sends it only one request every few seconds, and one fast answer says little: a server that gets no more than
// it can handle answers nine requests in ten quickly, even if it can handle few. So the client probes: it jumps back to
// its former rate at once and judges by what follows. A wrong jump is undone: the rate falls to a little below the one
// that the jump began at, instead of being cut from the higher one, and the next jump needs four times as many fast
// answers in a row. After a jump that holds, the next needs only one. Clients of a server that has recovered thus regain
// their rate within one answer each, and one that stays overloaded is probed less and less. The package reads no clock
// and draws no random numbers.
package pace

const (
	confirmMargin   = 3       // fast answers beyond those a jump needed, until it is taken as right
	wrongJumpFactor = 4       // by which a wrong jump multiplies the fast answers needed for the next
	maxJumpAnswers  = 64      // limit of that number
	undoneShare     = 4.0 / 5 // of the rate that a wrong jump began at; it is the rate afterwards
)

// Recovery is one client's return to its former rate. The zero value has never been cut.
type Recovery struct {
	highest        float64 // highest rate that was ever cut
	jumpFrom       float64 // rate at which the pending jump began; 0: no jump is pending
	quickStreak    int     // fast answers in a row since the last cut or jump
	requiredStreak int     // fast answers in a row needed for a jump
}

// ObserveQuick records an answer as fast as usual and returns the new rate.
func (r *Recovery) ObserveQuick(rate float64) float64 {
	r.quickStreak++
	switch {
	case r.jumpFrom > 0 && r.quickStreak > r.requiredStreak+confirmMargin:
		r.jumpFrom, r.quickStreak, r.requiredStreak = 0, 0, 1
	case r.jumpFrom == 0 && rate < r.highest && r.quickStreak >= r.requiredStreak:
		r.jumpFrom, r.quickStreak = rate, 0
		return r.highest
	}
	return rate
}

// ObserveCut records that a rate is about to be cut, after a failure or one slow answer. It returns true if a failure
// shows a pending jump to be wrong: the rate has been set to what it should be, and must not be cut further.
func (r *Recovery) ObserveCut(rate *float64, failed bool) (wrongJump bool) {
	if r.jumpFrom > 0 && failed {
		*rate = r.jumpFrom * undoneShare
		r.jumpFrom = 0
		r.quickStreak = 0
		r.requiredStreak = min(wrongJumpFactor*r.requiredStreak, maxJumpAnswers)
		return true
	}
	r.highest = max(r.highest, *rate)
	r.quickStreak = 0
	r.requiredStreak = max(r.requiredStreak, 1)
	return false
}
