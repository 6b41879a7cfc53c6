package policy

import (
	"math/bits"
	"slices"

	"minttray/decide/circle"
)

// Bounds of the work for one request, independent of the number of caches.
const (
	maxSalts         = 8 << 10 // salts tried for one key
	maxCachesVisited = 256     // caches visited if no candidate is usable; also the limit of a pending list while the other one is to be filled
	maxHotCandidates = 32      // candidates of one key that are tried; a key spread over more caches gets a sample of them
)

// candidateWalk enumerates the caches that a key maps to. A bucket without a cache is hashed again. The salts form
// one sequence, so the second candidate is where the key goes when the first is gone: a key moves once when a cache
// joins or leaves. Where the local zone is preferred, a key has candidates in the local and in remote zones: the
// first spread candidates are local, after that remote and local ones alternate.
type candidateWalk struct {
	balancer      *Balancer
	key, salt     uint64
	spread        int      // caches that the key is spread over
	number        uint64   // of the walk; caches store it to note that the walk has reached them
	candidates    []*cache // in their order
	localPending  []*cache // reached but not yet candidates; holds all caches unless the local zone is preferred
	remotePending []*cache
	visited       int // caches reached
	localVisited  int // those of them added to localPending
}

// startWalk begins a candidate walk. Only one walk may be in use at a time.
func (b *Balancer) startWalk(key uint64, spread int) *candidateWalk {
	w := &b.candidateWalk
	number := w.number + 1
	*w = candidateWalk{
		balancer:      b,
		key:           key,
		spread:        spread,
		number:        number,
		candidates:    w.candidates[:0],
		localPending:  w.localPending[:0],
		remotePending: w.remotePending[:0],
	}
	return w
}

// firstCandidates returns the first n candidates, or all if there are fewer.
func (w *candidateWalk) firstCandidates(n int) []*cache {
	for n = min(n, w.balancer.ranked.Len()); len(w.candidates) < n; {
		source := w.nextSource()
		if len(*source) == 0 && w.sourceExhausted(source) {
			source = w.otherSource(source)
		}
		switch {
		case len(*source) > 0:
			w.candidates = append(w.candidates, (*source)[0])
			*source = slices.Delete(*source, 0, 1)
		case w.exhausted():
			return w.candidates
		default:
			w.tryNextSalt()
		}
	}
	return w.candidates
}

// nextSource is the list that the next candidate comes from.
func (w *candidateWalk) nextSource() *[]*cache {
	if w.balancer.preferLocalZone && len(w.candidates) >= w.spread && (len(w.candidates)-w.spread)%2 == 0 {
		return &w.remotePending
	}
	return &w.localPending
}

func (w *candidateWalk) otherSource(source *[]*cache) *[]*cache {
	if source == &w.localPending {
		return &w.remotePending
	}
	return &w.localPending
}

// exhausted reports whether the walk reaches no further cache.
func (w *candidateWalk) exhausted() bool {
	return w.salt >= min(8*uint64(w.balancer.circle.Size()), maxSalts) || w.visited == w.balancer.ranked.Len()
}

// sourceExhausted reports whether a list gets no further cache, or the other list has become too long while this one
// was to be filled.
func (w *candidateWalk) sourceExhausted(source *[]*cache) bool {
	if w.exhausted() || !w.balancer.preferLocalZone {
		return w.exhausted()
	}
	if source == &w.localPending {
		return w.localVisited == w.balancer.localCacheCount || len(w.remotePending) >= maxCachesVisited
	}
	return w.visited-w.localVisited == w.balancer.ranked.Len()-w.balancer.localCacheCount || len(w.localPending) >= maxCachesVisited
}

// tryNextSalt adds the cache that the key maps to with the next salt, if any.
func (w *candidateWalk) tryNextSalt() {
	b, salt := w.balancer, w.salt
	w.salt++
	c := b.buckets.At(b.circle.BucketFor(w.key, salt))
	if c == nil || c.lastWalk == w.number || !b.acceptsKey(c, w.key, ^salt) {
		return
	}
	c.lastWalk = w.number
	if w.visited++; b.preferLocalZone && c.Zone != b.Zone {
		w.remotePending = append(w.remotePending, c)
		return
	}
	w.localVisited++
	w.localPending = append(w.localPending, c)
}

// acceptsKey reports whether a cache takes a key. A cache of small weight declines keys in proportion, by the key's
// hash, so that all proxies decide alike.
func (b *Balancer) acceptsKey(c *cache, key, salt uint64) bool {
	return float64(circle.Mix(key, salt)>>32) < c.effectiveWeight/b.maxEffectiveWeight*(1<<32)
}

// hotKeyCandidates returns candidates of a key that would fill more caches than a walk may visit. Such a key is
// stored in spread consecutive caches, from a start given by its hash that is the same at every proxy. One request
// considers some consecutive ones of them, from a random start.
func (b *Balancer) hotKeyCandidates(key uint64, spread int) []*cache {
	caches := &b.placedCaches
	if b.preferLocalZone && spread <= b.localPlacedCaches.Len() {
		caches = &b.localPlacedCaches
	}
	count := caches.Len()
	spread = min(spread, count)
	start, _ := bits.Mul64(circle.Mix(key, 0), uint64(count))
	offset := int(b.random.Next()) % spread
	candidates := b.candidateWalk.candidates[:0]
	for i := range min(maxHotCandidates, spread) {
		c := caches.At((int(start) + (offset+i)%spread) % count)
		if b.acceptsKey(c, key, ^uint64(c.ID)) {
			candidates = append(candidates, c)
		}
	}
	b.candidateWalk.candidates = candidates
	return candidates
}

// sampleCaches calls visit for caches beyond a key's candidates until it reports that one will do: for all caches in
// ranked order in a small fleet, else for consecutive ones from a random start. Visiting thousands of caches for each
// request without a ready candidate, as during a release, would hold up all other requests.
func (b *Balancer) sampleCaches(visit func(c *cache) (enough bool)) {
	count := b.ranked.Len()
	if count <= maxCachesVisited {
		for _, c := range b.ranked.All() {
			if visit(c) {
				return
			}
		}
		return
	}
	start := int(uint64(b.random.Next()) * uint64(count) >> 32)
	for i := range maxCachesVisited {
		if visit(b.placedCaches.At((start + i) % count)) {
			return
		}
	}
}
