package site

import (
	"math"
	"testing"

	"minttray/decide/chance"
)

// bestByEnumeration returns the highest benefit over all orders in which the classes can be served, each as far as the
// remaining capacity allows.
func bestByEnumeration(classes []WorkClass, capacity Capacity, done []bool) float64 {
	best := 0.0
	for i, c := range classes {
		if done[i] {
			continue
		}
		share := min(coverage(capacity.Work, c.Rate*c.Work), coverage(capacity.Fetches, c.Rate*c.Fetches))
		rest := Capacity{Work: capacity.Work - share*c.Rate*c.Work, Fetches: capacity.Fetches - share*c.Rate*c.Fetches}
		done[i] = true
		best = max(best, share*c.Rate*c.Benefit+bestByEnumeration(classes, rest, done))
		done[i] = false
	}
	return best
}

// Guards against an allocation that another order of serving would beat, or that uses more than the capacity: 400 cases of two
// to five random classes.
func TestAllocationIsOptimal(t *testing.T) {
	rnd := chance.PCG{State: 1}
	halves := func(n int) float64 { return float64(int(rnd.Float64()*float64(n))+1) / 2 } // 0.5 to n/2
	for n := range 400 {
		var classes []WorkClass
		for range 2 + n%4 {
			c := WorkClass{Rate: 10 * halves(20), Benefit: halves(5), Work: halves(8) / 100}
			if rnd.Float64() < 0.5 {
				c.Fetches = 1
			}
			classes = append(classes, c)
		}
		capacity := Capacity{Work: rnd.Float64() * 20, Fetches: rnd.Float64() * 300}
		served, order := Allocate(classes, capacity)
		used, benefit := Capacity{}, 0.0
		for i, c := range classes {
			if served[i] < 0 || served[i] > 1+tolerance {
				t.Fatalf("case %d: shares %v are not all 0 to 1", n, served)
			}
			used.Work += served[i] * c.Rate * c.Work
			used.Fetches += served[i] * c.Rate * c.Fetches
			benefit += served[i] * c.Rate * c.Benefit
		}
		if used.Work > capacity.Work+1e-6 || used.Fetches > capacity.Fetches+1e-6 {
			t.Fatalf("case %d: %+v used of %+v", n, used, capacity)
		}
		if len(order) != len(classes) {
			t.Fatalf("case %d: shedding order %v for %d classes", n, order, len(classes))
		}
		if best := bestByEnumeration(classes, capacity, make([]bool, len(classes))); benefit < best-1e-6*math.Max(best, 1) {
			t.Fatalf("case %d: shares %v give a benefit of %v, best is %v: %+v of %+v", n, served, benefit, best, classes, capacity)
		}
	}
}

// Guards against a wrong shedding order: ops beyond their tenants' quotas are shed first, fetches before hits, and equal classes
// in the same proportion.
func TestOrderOfRefusal(t *testing.T) {
	read := WorkClass{Rate: 100, Benefit: 5, Work: 0.01}
	check := WorkClass{Rate: 100, Benefit: 2, Work: 0.005}
	overQuota := read
	overQuota.Benefit *= 0.1
	fetch := read
	fetch.Fetches = 1
	served, order := Allocate([]WorkClass{read, check, overQuota, fetch}, Capacity{Work: 2, Fetches: 50})
	if order[0] != 2 || served[2] != 0 {
		t.Errorf("ops beyond quotas are not shed first: shares %v, order %v", served, order)
	}
	if served[0] != 1 || served[3] > 0.5 {
		t.Errorf("fetches are not shed before hits: shares %v", served)
	}
	if served, _ = Allocate([]WorkClass{read, read}, Capacity{Work: 1}); served[0] != served[1] {
		t.Errorf("two equal classes get shares %v", served)
	}
}

// Guards against a shedder that departs from the order of Allocate or from the given share of all ops: ops beyond quotas are shed
// first, then the category of the lowest benefit.
func TestLoadShedder(t *testing.T) {
	var shedder LoadShedder
	if got := shedder.AdmitShare(0, false, 0.4); got != 0.4 {
		t.Errorf("without observations: admits %v, want 0.4", got)
	}
	benefits := []float64{5, 2}
	for range 200 {
		for category, benefit := range benefits {
			shedder.Observe(category, false, benefit)
			shedder.Observe(category, true, 0.1*benefit)
		}
	}
	for share, want := range map[float64][4]float64{
		1:     {1, 1, 1, 1},
		0.75:  {1, 1, 1, 0},
		0.5:   {1, 1, 0, 0},
		0.375: {1, 0.5, 0, 0},
	} {
		for i, got := range []float64{
			shedder.AdmitShare(0, false, share),
			shedder.AdmitShare(1, false, share),
			shedder.AdmitShare(0, true, share),
			shedder.AdmitShare(1, true, share),
		} {
			if math.Abs(got-want[i]) > 0.05 || got <= 0 {
				t.Errorf("share %v, class %d: admits %v, want %v", share, i, got, want[i])
			}
		}
	}
}
