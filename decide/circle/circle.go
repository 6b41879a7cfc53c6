// Package circle places keys on buckets by round-mapping, a consistent hash that adds buckets one at a time.
package circle

import (
	"hash/fnv"
	"math/bits"
)

// Mix hashes a key with a salt (the splitmix64 finalizer).
func Mix(key, salt uint64) uint64 {
	h := key + (salt+1)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Circle is a ring of equally probable arcs, one for each bucket, in the notation of the round-mapping paper, section 2.
type Circle struct {
	s0 int // initial number of buckets, and the initial step
	m  int // number of arcs, and of buckets
	s  int // step: splits per new bucket
	q  int // there are 2^q groups
	p  int // index of the last short arc
}

// New returns a circle of m buckets, raised to s0 if lower. s0 must be at least 2.
func New(s0, m int) Circle {
	m = max(m, s0)
	q := bits.Len(uint(m/s0)) - 1
	s := m >> q
	return Circle{s0: s0, m: m, s: s, q: q, p: (m-s<<q)*(s+1) - 1}
}

// Size returns the number of buckets.
func (c Circle) Size() int { return c.m }

// Bucket returns the bucket of arc j (Algorithm 1 of the paper). Both range from 0 to Size()-1.
func (c Circle) Bucket(j int) int {
	if j < c.s0 {
		return j
	}
	s := c.s + 1
	if j > c.p {
		j, s = j-(c.p+1)/(c.s+1), c.s
	}
	native := (s - 1) / c.s0
	x, q := j%s%c.s0, c.q+native
	i := (1+native)*(j/s) + j%s/c.s0
	return ((c.s0+x)<<q + i) >> (bits.TrailingZeros(uint(i)) + 1)
}

// BucketFor returns the bucket of a key under a salt.
func (c Circle) BucketFor(key, salt uint64) int {
	arc, _ := bits.Mul64(Mix(key, salt), uint64(c.m))
	return c.Bucket(int(arc))
}

// ID returns a 32-bit hash of a name. It is the same in every process and on every machine.
func ID(name string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return uint32(h.Sum64() ^ h.Sum64()>>32)
}

// AssignBucket returns the first free bucket of m that an id hashes to under salts 0, 1, 2 and so on. At least one
// bucket must be free.
func AssignBucket(id uint64, m int, free func(bucket int) bool) int {
	for salt := uint64(0); ; salt++ {
		if bucket := int(Mix(id, salt) % uint64(m)); free(bucket) {
			return bucket
		}
	}
}
