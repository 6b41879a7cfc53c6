package circle

import "testing"

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
	for _, s0 := range []int{2, 3, 4, 8, 64} {
		for m := s0; m <= 9*s0; m++ {
			c, seen := New(s0, m), make([]bool, m)
			for j, want := range grow(s0, m) {
				got := c.Bucket(j)
				if got != want || seen[got] {
					t.Fatalf("s0 %d, %d buckets, arc %d: bucket %d, the paper's steps give %d", s0, m, j, got, want)
				}
				seen[got] = true
			}
		}
	}
}

func TestSeatIsTheSameWhileItIsFree(t *testing.T) {
	taken := map[int]bool{}
	free := func(at int) bool { return !taken[at] }
	first := AssignBucket(7, 16, free)
	for id := uint64(100); len(taken) < 16; id++ { // all seats can be had
		at := AssignBucket(id, 16, free)
		if at < 0 || at > 15 || taken[at] {
			t.Fatalf("seat %d of %d is taken or none", at, id)
		}
		taken[at] = true
	}
	delete(taken, first)
	if got := AssignBucket(7, 16, free); got != first {
		t.Errorf("seat %d, then %d", first, got)
	}
}
