// Package shortage tells when a fleet is short as a whole, and how much of what is asked it can still answer. One
// of hundreds of proxies comes to each server once in a minute, so that only what all servers did lately, taken
// together, can tell it in time. Nothing here reads a clock, draws by chance or keeps what it is handed.
package shortage

import (
	"cmp"
	"math"
)

const (
	bound = 1.0 / 2   // share of slow pushes at which the gate stands still; a sick part stays well under it
	gain  = 1.0 / 2   // what a push moves the gate by, for each part that it is slower than the bound
	again = 1.0 / 50  // by how much an op that was refused opens it
	least = 1.0 / 4   // of all ops is let through whatever is seen
	slack = 1.0 / 2   // so far it has to move before anything is refused: what chance alone may bring
	boost = 4         // most that a push counts for the ops refused beside it, and for quick ones in a row
	quick = 1.0 / 3   // of its target latency: a push is not slow at all
	slow  = 2.0 / 3   // of it: as slow as can be, long before it is given up
	times = 5         // a target latency is taken for so many usual answers at least
	first = 1.0 / 10  // what is taken for usual at first, lest a proxy that starts in a jam takes that for usual
	rise  = 1.0 / 256 // steps of what is usual, up and down: a ninth of the answers are quicker
	fall  = 1.0 / 32
)

// Gate lets a share of all ops through. The zero value stands open.
type Gate struct {
	shut  float64 // minus the logarithm of the share that is let through; below 0 nothing is refused
	usual float64 // what an answer takes when all is well, in target latencies
	row   float64 // what the next quick answer counts: doubled by each in a row
}

// ObservePush books a push: weight, 0 to 1, is how much its end tells of a server's load; span how long it took, in target
// latencies; share the gate's when it was sent. Half of all pushes slow is more than a sick part brings, and
// less than a jam does. What went out before the gate shut further proves less, for it met what that came of; a
// push counts for the ops that were refused beside it. A jam has few quick answers in a row, its end has many.
func (g *Gate) ObservePush(weight, span, share float64) {
	if weight <= 0 {
		return
	}
	if g.usual = cmp.Or(g.usual, first); span < g.usual {
		g.usual -= g.usual * fall
	} else {
		g.usual += g.usual * rise
	}
	late := min(max((span/max(1, times*g.usual)-quick)/(slow-quick), 0), 1)
	step := gain * weight * min(1/g.AdmittedShare(), boost) * (late - bound)
	if step > 0 {
		g.row, step = 1, step*min(g.AdmittedShare()/share, 1)
	} else {
		g.row, step = min(2*g.row, boost), step*max(g.row, 1)
	}
	g.shut = min(max(g.shut+step, -slack), -math.Log(least))
}

// ObserveRefusal opens the gate a little: nothing else would tell of the end of a shortage where hardly a push goes out.
func (g *Gate) ObserveRefusal() { g.shut = max(g.shut-again, -slack) }

// AdmittedShare is the part of all ops that is let through, 1 where no shortage is seen.
func (g *Gate) AdmittedShare() float64 { return math.Exp(-max(g.shut, 0)) }
