// Package roster judges a whole list of caches before it takes the place of the old one: a list service that has lost its
// memory, or is half started, answers as calmly as ever, with few caches or none. Nothing here reads a clock.
package roster

// Verdict is what becomes of a whole list.
type Verdict uint8

const (
	Take Verdict = iota
	// Hold: what the list says holds, of drains above all; caches that it does not name stay, and it is asked for again.
	Hold
)

// Guard holds a list in doubt until it has said the same for a while. The zero value takes each. Three cases:
// caches that a list says are draining or have left are never held, whatever their number; a list that names caches
// but lacks many is believed once it has lacked as many for a span that lies within a drain's grace; one that names none is
// never believed: a fleet ends cache by cache, drained or left, and those that are truly gone are found out by their
// connections.
type Guard[T ~int64] struct {
	MaxMissingShare   float64 // share of the caches in use that a list may not lack at once; 0: each list is taken
	ConfirmAfter T

	held  bool
	since T
	lacks int  // what the last one in doubt lacked
	empty bool // and whether it named nothing
}

// Evaluate judges a list: known caches were in use before it, of which it lacks some, undrained; it names so many in use.
func (g *Guard[T]) Evaluate(now T, known, lacks, named int) Verdict {
	if g.MaxMissingShare <= 0 || lacks == 0 || float64(lacks) < g.MaxMissingShare*float64(known) && named > 0 {
		g.held = false
		return Take
	}
	if !g.held || g.empty && named > 0 || lacks < g.lacks { // a service that finds its memory again says more each time
		g.held, g.since = true, now
	}
	g.lacks, g.empty = lacks, named == 0
	if named > 0 && now >= g.since+g.ConfirmAfter {
		g.held = false
		return Take
	}
	return Hold
}

// Holding tells whether the last list is in doubt.
func (g *Guard[T]) Holding() bool { return g.held }
