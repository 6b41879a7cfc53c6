// Package circle is the placement arithmetic: where a key's hash falls, and which bucket that is.
package circle

import (
	"hash/fnv"
	"math/bits"
)

// Mix hashes a key with a salt.
func Mix(key, salt uint64) uint64 {
	h := key + (salt+1)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Circle is round-mapping (paper, section 2): m arcs, step s, 2^q groups, p the last short arc.
type Circle struct{ s0, m, s, q, p int }

// New makes a circle of m buckets, at least s0, which is at least 2.
func New(s0, m int) Circle {
	m = max(m, s0)
	q := bits.Len(uint(m/s0)) - 1
	s := m >> q
	return Circle{s0: s0, m: m, s: s, q: q, p: (m-s<<q)*(s+1) - 1}
}

// Size is the number of buckets.
func (c Circle) Size() int { return c.m }

// Bucket is Algorithm 1 of the paper: the bucket of an arc, both from 0 to Size-1.
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

// BucketFor is the bucket of a key's arc, with a salt.
func (c Circle) BucketFor(key, salt uint64) int {
	arc, _ := bits.Mul64(Mix(key, salt), uint64(c.m))
	return c.Bucket(int(arc))
}

// ID is a name's number, the same wherever it is worked out.
func ID(name string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return uint32(h.Sum64() ^ h.Sum64()>>32)
}

// AssignBucket is the first free one of m seats that an id hashes to; one must be free.
func AssignBucket(id uint64, m int, free func(seat int) bool) int {
	for salt := uint64(0); ; salt++ {
		if at := int(Mix(id, salt) % uint64(m)); free(at) {
			return at
		}
	}
}
