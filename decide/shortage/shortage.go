// Package shortage detects when the whole fleet is overloaded and computes the share of ops to admit. One of hundreds of
// proxies sends each server about one push a minute, so only the recent results of all servers together can show it in
// time. The package reads no clock, draws no random numbers and keeps none of its arguments.
package shortage

import (
	"cmp"
	"math"
)

const (
	// balancedSlowShare is the share of slow pushes at which the gate does not move. A few failing servers stay well below
	// it.
	balancedSlowShare = 1.0 / 2
	// pushGain is the step of the gate per push, for each unit of lateness above balancedSlowShare.
	pushGain = 1.0 / 2
	// refusalStep is by how much each refused op opens the gate.
	refusalStep = 1.0 / 50
	// minAdmittedShare is the share of ops that are admitted whatever is observed.
	minAdmittedShare = 1.0 / 4
	// deadBand is the movement of the gate before anything is refused; chance alone may cause that much.
	deadBand = 1.0 / 2
	// maxBoost limits a push's factor for the ops refused beside it, and its factor for fast answers in a row.
	maxBoost = 4
	// notSlow is the share of the target latency up to which a push is not slow at all.
	notSlow = 1.0 / 3
	// fullySlow is the share of the target latency from which a push counts as fully slow, long before it times out.
	fullySlow = 2.0 / 3
	// minTargetMultiple is the multiple of the typical answer time that the target latency is raised to if it is less.
	minTargetMultiple = 5
	// initialTypical is the first typical answer time, in target latencies. It is low, so that a proxy that starts during
	// an overload does not take that for typical.
	initialTypical = 1.0 / 10
	// typicalRise and typicalFall are the relative steps of the typical answer time. By their ratio a ninth of the answers
	// are faster.
	typicalRise = 1.0 / 256
	typicalFall = 1.0 / 32
)

// Gate admits a share of all ops. The zero value admits all.
type Gate struct {
	shut        float64 // minus the natural logarithm of the admitted share; below 0 nothing is refused
	typical     float64 // answer time without overload, in target latencies
	quickFactor float64 // weight of the next fast answer; doubled by each in a row
}

// ObservePush records the end of a push. Weight, 0 to 1, is how much it says about a server's load; span is the time it
// took, in target latencies; share is AdmittedShare at the time it was sent.
//
// The gate shuts if more than half of the pushes are slow: that is more than a few failing servers cause, and less than
// an overload does. A push sent before the gate shut further counts for less, since it met the load that the gate has
// reacted to since. Each push also counts for the ops that were refused beside it. Fast answers in a row count more:
// there are few such rows in an overload, and many at its end.
func (g *Gate) ObservePush(weight, span, share float64) {
	if weight <= 0 {
		return
	}
	if g.typical = cmp.Or(g.typical, initialTypical); span < g.typical {
		g.typical -= g.typical * typicalFall
	} else {
		g.typical += g.typical * typicalRise
	}
	lateness := min(max((span/max(1, minTargetMultiple*g.typical)-notSlow)/(fullySlow-notSlow), 0), 1)
	step := pushGain * weight * min(1/g.AdmittedShare(), maxBoost) * (lateness - balancedSlowShare)
	if step > 0 {
		g.quickFactor, step = 1, step*min(g.AdmittedShare()/share, 1)
	} else {
		g.quickFactor, step = min(2*g.quickFactor, maxBoost), step*max(g.quickFactor, 1)
	}
	g.shut = min(max(g.shut+step, -deadBand), -math.Log(minAdmittedShare))
}

// ObserveRefusal records an op that was refused, and opens the gate a little. With hardly any pushes sent, nothing else
// would show that the shortage has ended.
func (g *Gate) ObserveRefusal() { g.shut = max(g.shut-refusalStep, -deadBand) }

// AdmittedShare returns the share of all ops to admit, minAdmittedShare to 1; it is 1 while no shortage is detected.
func (g *Gate) AdmittedShare() float64 { return math.Exp(-max(g.shut, 0)) }
