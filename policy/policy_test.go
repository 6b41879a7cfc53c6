package policy

import "testing"

// grow adds buckets one by one as section 2 of the paper tells it and returns the bucket of each arc.
func grow(s0, m int) []int {
	long, short, s := []int{}, []int{}, s0
	for n := 0; n < s0; n++ {
		long = append(long, n)
	}
	for n := s0; n < m; n++ {
		if len(long) == 0 {
			long, short = short, nil
			if s++; s == 2*s0 {
				s = s0
			}
		}
		short = append(append(short, long[:s]...), n)
		long = long[s:]
	}
	return append(short, long...)
}

func TestRoundMapping(t *testing.T) {
	for m := slack; m <= 9*slack; m++ {
		c := newCircle(m)
		for j, want := range grow(slack, m) {
			if got := c.bucket(j); got != want {
				t.Errorf("%d buckets, arc %d: bucket %d, the paper's steps give %d", m, j, got, want)
			}
		}
	}
}
