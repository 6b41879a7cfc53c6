// Package heat tracks which keys are requested most often, and which were answered lately, in bounded memory.
package heat

import "maps"

const (
	maxCounters    = 128
	decayAfter     = 8 * maxCounters // requests; then all counts are halved
	minShareSample = maxCounters / 8 // requests; with fewer of them a share is computed as if there were as many
)

// KeyCounter estimates the share of requests that each key has, by a fixed number of counters (the Misra-Gries
// algorithm). The zero value has counted nothing.
type KeyCounter struct {
	counts   map[uint64]float64
	requests float64 // decaying, 0 to decayAfter
}

// Observe counts a request for a key and returns the key's share of recent requests, 0 to 1. One request is deducted
// as chance, or added where an extra copy of the key is cheap, so that hot keys are found sooner there.
func (k *KeyCounter) Observe(key uint64, cheap bool) float64 {
	if k.counts == nil {
		k.counts = map[uint64]float64{}
	}
	if k.requests++; k.requests > decayAfter {
		k.requests /= 2
		for other := range k.counts {
			k.counts[other] /= 2
		}
	}
	if _, ok := k.counts[key]; ok || len(k.counts) < maxCounters {
		k.counts[key]++
		correction := -1.0
		if cheap {
			correction = 1
		}
		return max(k.counts[key]+correction, 0) / max(k.requests, minShareSample)
	}
	for other := range k.counts { // the order does not matter: all are reduced alike
		if k.counts[other]--; k.counts[other] <= 0 {
			delete(k.counts, other)
		}
	}
	return 0
}

// Snapshot returns the recent requests by key and in total. Restore takes both.
func (k *KeyCounter) Snapshot() (counts map[uint64]float64, requests float64) {
	return maps.Clone(k.counts), k.requests
}

// Restore takes over the counts of another process. It ignores them if they are more than there are counters.
func (k *KeyCounter) Restore(counts map[uint64]float64, requests float64) {
	if len(counts) <= maxCounters {
		k.counts, k.requests = maps.Clone(counts), min(max(requests, 0), decayAfter)
	}
}
