package policy

import (
	"math/bits"
	"slices"

	"minttray/decide/circle"
)

// Bounds of what one request looks at, whatever the number of caches.
const (
	mostSalts  = 8 << 10 // of one key: buckets that are tried
	mostLooks  = 256     // caches looked at where no candidate may be used, or found on the way to one of the right zone
	mostSpread = 32      // candidates of one key that are looked at
)

// candidateWalk gives the caches that a key maps to, one after another; a bucket without a cache is rehashed. One sequence of salts: the next
// is where the key lives without the first, so that it moves once when a cache comes or goes. With zones near it lives in each: as many as it
// fills of the own come first, then by turns one of another and of the own.
type candidateWalk struct {
	b         *Balancer
	key, salt uint64
	spread    int
	number    uint64   // of the walk, by which caches know that it has come to them
	given     []*cache // in their order
	own, away []*cache // come to, and not given yet; without zones near all are own
	seen      int      // caches come to
	seenOwn   int
}

// walk begins a walk; the one before it must be over.
func (b *Balancer) walk(key uint64, spread int) *candidateWalk {
	w := &b.candidates
	number := w.number + 1
	*w = candidateWalk{b: b, key: key, spread: spread, number: number, given: w.given[:0], own: w.own[:0], away: w.away[:0]}
	return w
}

// first gives the first n candidates, or all that there are.
func (w *candidateWalk) first(n int) []*cache {
	for n = min(n, w.b.ranked.Len()); len(w.given) < n; {
		from := w.wanted()
		if len(*from) == 0 && w.noneLeft(from) {
			from = w.other(from)
		}
		switch {
		case len(*from) > 0:
			w.given = append(w.given, (*from)[0])
			*from = slices.Delete(*from, 0, 1)
		case w.ended():
			return w.given
		default:
			w.step()
		}
	}
	return w.given
}

// wanted is where the next candidate comes from.
func (w *candidateWalk) wanted() *[]*cache {
	if w.b.near && len(w.given) >= w.spread && (len(w.given)-w.spread)%2 == 0 {
		return &w.away
	}
	return &w.own
}

func (w *candidateWalk) other(from *[]*cache) *[]*cache {
	if from == &w.own {
		return &w.away
	}
	return &w.own
}

// ended tells whether the walk comes to no further cache.
func (w *candidateWalk) ended() bool {
	return w.salt >= min(8*uint64(w.b.circle.Size()), mostSalts) || w.seen == w.b.ranked.Len()
}

// noneLeft tells whether no further cache of one side comes, or only after too many of the other.
func (w *candidateWalk) noneLeft(side *[]*cache) bool {
	if w.ended() || !w.b.near {
		return w.ended()
	}
	if side == &w.own {
		return w.seenOwn == w.b.ownCaches || len(w.away) >= mostLooks
	}
	return w.seen-w.seenOwn == w.b.ranked.Len()-w.b.ownCaches || len(w.own) >= mostLooks
}

// step tries the next salt.
func (w *candidateWalk) step() {
	b, salt := w.b, w.salt
	w.salt++
	c := b.seats.At(b.circle.BucketFor(w.key, salt))
	if c == nil || c.walk == w.number || !b.takes(c, w.key, ^salt) {
		return
	}
	c.walk = w.number
	if w.seen++; b.near && c.Zone != b.Zone {
		w.away = append(w.away, c)
		return
	}
	w.seenOwn++
	w.own = append(w.own, c)
}

// takes tells whether a cache takes a key: a small one is passed over in proportion, by the key's hash, alike at every proxy.
func (b *Balancer) takes(c *cache, key, salt uint64) bool {
	return float64(circle.Mix(key, salt)>>32) < c.size/b.heaviest*(1<<32)
}

// window gives candidates of a key that would fill more caches than a walk may look at. Such a key lives in a row of that many seats, which begins
// by its hash and is the same at every proxy; this request looks at some that follow each other, from one that is drawn.
func (b *Balancer) window(key uint64, spread int) []*cache {
	row := &b.seated
	if b.near && spread <= b.seatedOwn.Len() {
		row = &b.seatedOwn
	}
	n := row.Len()
	spread = min(spread, n)
	begin, _ := bits.Mul64(circle.Mix(key, 0), uint64(n))
	drawn := int(b.rnd.Next()) % spread
	given := b.candidates.given[:0]
	for i := range min(mostSpread, spread) {
		c := row.At((int(begin) + (drawn+i)%spread) % n)
		if b.takes(c, key, ^uint64(c.ID)) {
			given = append(given, c)
		}
	}
	b.candidates.given = given
	return given
}

// sample calls look for caches beyond a key's candidates until it says that one will do: for all, in their order, where these are few, else for
// some that follow each other from a drawn one. Danger: all of thousands of caches looked at for each request that finds no candidate ready, as in
// a release, hold up all other requests.
func (b *Balancer) sample(look func(c *cache) (enough bool)) {
	n := b.ranked.Len()
	if n <= mostLooks {
		for _, c := range b.ranked.All() {
			if look(c) {
				return
			}
		}
		return
	}
	begin := int(uint64(b.rnd.Next()) * uint64(n) >> 32)
	for i := range mostLooks {
		if look(b.seated.At((begin + i) % n)) {
			return
		}
	}
}
