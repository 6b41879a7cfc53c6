// Package heat counts which keys are asked for most, in a few counters whatever the number of keys.
package heat

import "maps"

const (
	counters = 128
	lately   = 8 * counters // asked; then all counts for half
	least    = counters / 8 // asked, before which a share means nothing
)

// KeyCounter counts what one proxy is asked for. The zero value has been asked nothing.
type KeyCounter struct {
	count map[uint64]float64
	asked float64
}

// Observe books a key, and gives its share of what was asked lately, 0 to 1: one time is taken for chance, or, where an
// extra copy of the key costs little, for the sign of more.
func (k *KeyCounter) Observe(key uint64, cheap bool) float64 {
	if k.count == nil {
		k.count = map[uint64]float64{}
	}
	if k.asked++; k.asked > lately {
		k.asked /= 2
		for other := range k.count {
			k.count[other] /= 2
		}
	}
	if _, ok := k.count[key]; ok || len(k.count) < counters {
		k.count[key]++
		doubt := -1.0
		if cheap {
			doubt = 1
		}
		return max(k.count[key]+doubt, 0) / max(k.asked, least)
	}
	for other := range k.count { // all lose alike, so the map's order does not matter
		if k.count[other]--; k.count[other] <= 0 {
			delete(k.count, other)
		}
	}
	return 0
}

// Snapshot is what was asked lately, by key, and in all; Recall takes both.
func (k *KeyCounter) Snapshot() (count map[uint64]float64, asked float64) {
	return maps.Clone(k.count), k.asked
}

// Restore takes what another process counted; more than there are counters for is none of it.
func (k *KeyCounter) Restore(count map[uint64]float64, asked float64) {
	if len(count) <= counters {
		k.count, k.asked = maps.Clone(count), min(max(asked, 0), lately)
	}
}
