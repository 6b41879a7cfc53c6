package site

// LoadShedder is the ladder as one instance climbs it: from what it is asked for lately, and the part of all that can be served. The
// zero value has been asked for nothing.
type LoadShedder struct {
	rungs []Rung
	pass  []float64
	share float64 // that pass was worked out for
}

const (
	grain   = 1.0 / 32 // of the share that can be served; nothing is worked out anew for less
	memory  = 256      // ops, about, that the rates fade over
	leastOf = 1.0 / 64 // of a kind's ops is let through all the same, to see what becomes of them
)

// kind is the number of a category's ops within their tenants' shares, or beyond.
func kind(category int, beyond bool) int {
	if beyond {
		return 2*category + 1
	}
	return 2 * category
}

// Observe books an op that brings so much.
func (l *LoadShedder) Observe(category int, beyond bool, benefit float64) {
	kind := kind(category, beyond)
	for len(l.rungs) <= kind {
		l.rungs = append(l.rungs, Rung{Work: 1})
	}
	for i := range l.rungs {
		l.rungs[i].Rate *= 1 - 1.0/memory
	}
	l.rungs[kind].Rate, l.rungs[kind].Benefit = l.rungs[kind].Rate+1, benefit
}

// AdmitShare is the share of such ops that is let through when so much of all can be served.
func (l *LoadShedder) AdmitShare(category int, beyond bool, share float64) float64 {
	kind := kind(category, beyond)
	if share >= 1 || kind >= len(l.rungs) {
		return share
	}
	if share > l.share+grain || share < l.share-grain || l.pass == nil || len(l.pass) <= kind {
		all := 0.0
		for _, r := range l.rungs {
			all += r.Rate
		}
		l.pass, _ = Ladder(l.rungs, Room{Work: share * all})
		l.share = share
	}
	return max(l.pass[kind], leastOf)
}
