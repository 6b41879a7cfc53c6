package circle

import "testing"

// arcsByInsertion builds the arc-to-bucket table by inserting buckets one by one, as the paper describes it: each new
// bucket takes a share of s long arcs, which become short ones.
func arcsByInsertion(s0, m int) []int {
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

// Guards against a closed form that departs from the step-by-step construction, or maps two arcs to one bucket.
func TestRoundMapping(t *testing.T) {
	for _, s0 := range []int{2, 3, 4, 8, 64} {
		for m := s0; m <= 9*s0; m++ {
			c, seen := New(s0, m), make([]bool, m)
			for j, want := range arcsByInsertion(s0, m) {
				got := c.Bucket(j)
				if got != want || seen[got] {
					t.Fatalf("s0 %d, %d buckets, arc %d: bucket %d, step-by-step construction gives %d", s0, m, j, got, want)
				}
				seen[got] = true
			}
		}
	}
}

// Guards against an assignment that moves while its bucket is free, so that keys change caches for no reason, and
// against buckets that no id ever reaches.
func TestAssignedBucketIsStable(t *testing.T) {
	taken := map[int]bool{}
	free := func(bucket int) bool { return !taken[bucket] }
	first := AssignBucket(7, 16, free)
	for id := uint64(100); len(taken) < 16; id++ {
		bucket := AssignBucket(id, 16, free)
		if bucket < 0 || bucket > 15 || taken[bucket] {
			t.Fatalf("id %d: bucket %d is taken or out of range", id, bucket)
		}
		taken[bucket] = true
	}
	delete(taken, first)
	if got := AssignBucket(7, 16, free); got != first {
		t.Errorf("id 7: bucket %d at first, %d once it is the only free one", first, got)
	}
}
