// Package roster checks a new list of caches before it replaces the old one. A list service that has lost its state, or
// is still starting, answers without an error, but with few caches or none. The package reads no clock.
package roster

// Verdict is what to do with a list.
type Verdict uint8

const (
	// Accept replaces the old list.
	Accept Verdict = iota
	// Hold applies what the list says about the caches that it names, drains above all, keeps those that it does not name,
	// and asks for the list again.
	Hold
)

// Guard holds a list that lacks too many caches until the service has repeated it for a while. The zero value accepts
// every list. There are three cases. Caches that a list reports as draining or gone are never held, whatever their
// number. A list that names caches but lacks many is accepted once it has lacked as many for ConfirmAfter, which should
// lie within the grace period of a drain. An empty list is never accepted: a fleet shrinks cache by cache, by drains and
// departures, and caches that are gone without one are found by their connections.
type Guard[T ~int64] struct {
	MaxMissingShare float64 // share of the caches in use that a list must lack to be held, 0 to 1; 0: accept every list
	ConfirmAfter    T       // time after which a repeated list is accepted

	holding     bool
	heldSince   T
	lastMissing int  // caches that the last held list lacked
	lastEmpty   bool // the last held list named none
}

// Evaluate judges a list. known is the number of known caches in use, missing the number of those that the list lacks
// although they were not drained, and named the number of caches in use that the list names.
func (g *Guard[T]) Evaluate(now T, known, missing, named int) Verdict {
	if g.MaxMissingShare <= 0 || missing == 0 || float64(missing) < g.MaxMissingShare*float64(known) && named > 0 {
		g.holding = false
		return Accept
	}
	// A list that names more than the last one comes from a service that is still recovering its state, so the time starts
	// again.
	if !g.holding || g.lastEmpty && named > 0 || missing < g.lastMissing {
		g.holding, g.heldSince = true, now
	}
	g.lastMissing, g.lastEmpty = missing, named == 0
	if named > 0 && now >= g.heldSince+g.ConfirmAfter {
		g.holding = false
		return Accept
	}
	return Hold
}

// Holding reports whether the last list is held.
func (g *Guard[T]) Holding() bool { return g.holding }
