package site

import (
	"math"
	"testing"

	"minttray/decide/chance"
)

// brute is the most benefit that any ladder brings: each order of rungs, served from its end as far as there is room.
func brute(rungs []Rung, room Room, done []bool) float64 {
	best := 0.0
	for i, r := range rungs {
		if done[i] {
			continue
		}
		share := min(part(room.Work, r.Rate*r.Work), part(room.Fetches, r.Rate*r.Fetches))
		done[i] = true
		best = max(best, share*r.Rate*r.Benefit+brute(rungs, Room{room.Work - share*r.Rate*r.Work, room.Fetches - share*r.Rate*r.Fetches}, done))
		done[i] = false
	}
	return best
}

// Five categories, hits and fetches of each drawn: no ladder brings more, and no room is overspent.
func TestNoLadderBringsMore(t *testing.T) {
	rnd := chance.PCG{State: 1}
	draw := func(n int) float64 { return float64(int(rnd.Float64()*float64(n))+1) / 2 }
	for n := range 400 {
		var rungs []Rung
		for range 2 + n%4 {
			r := Rung{Rate: 10 * draw(20), Benefit: draw(5), Work: draw(8) / 100}
			if rnd.Float64() < 0.5 {
				r.Fetches = 1
			}
			rungs = append(rungs, r)
		}
		room := Room{rnd.Float64() * 20, rnd.Float64() * 300}
		served, order := Ladder(rungs, room)
		work, fetches, sum := 0.0, 0.0, 0.0
		for i, r := range rungs {
			if served[i] < 0 || served[i] > 1+tie {
				t.Fatalf("%v", served)
			}
			work, fetches, sum = work+served[i]*r.Rate*r.Work, fetches+served[i]*r.Rate*r.Fetches, sum+served[i]*r.Rate*r.Benefit
		}
		if work > room.Work+1e-6 || fetches > room.Fetches+1e-6 || len(order) != len(rungs) {
			t.Fatalf("%v of %v spent", Room{work, fetches}, room)
		}
		if most := brute(rungs, room, make([]bool, len(rungs))); sum < most-1e-6*math.Max(most, 1) {
			t.Fatalf("%d: %v brings %v, an order brings %v: %+v %+v", n, served, sum, most, rungs, room)
		}
	}
}

func TestOrderOfRefusal(t *testing.T) {
	read, check := Rung{100, 5, 0.01, 0}, Rung{100, 2, 0.005, 0}
	beyond := read
	beyond.Benefit *= 0.1
	fetch := read
	fetch.Fetches = 1
	served, order := Ladder([]Rung{read, check, beyond, fetch}, Room{2, 50})
	if order[0] != 2 || served[2] != 0 { // beyond a share first
		t.Errorf("%v %v", served, order)
	}
	if served[0] != 1 || served[3] > 0.5 { // fetches before hits
		t.Errorf("%v", served)
	}
	if served, _ = Ladder([]Rung{read, read}, Room{1, 0}); served[0] != served[1] { // alike: in proportion
		t.Errorf("%v", served)
	}
}

// Live, the same ladder: what is beyond a share goes first, then the category of least benefit; in all, so much is let through.
func TestLive(t *testing.T) {
	var l LoadShedder
	if l.AdmitShare(0, false, 0.4) != 0.4 { // nothing is known yet
		t.Error("a share of its own")
	}
	benefits := []float64{5, 2}
	for range 200 {
		for c, b := range benefits {
			l.Observe(c, false, b)
			l.Observe(c, true, 0.1*b)
		}
	}
	for share, want := range map[float64][4]float64{1: {1, 1, 1, 1}, 0.75: {1, 1, 1, 0}, 0.5: {1, 1, 0, 0}, 0.375: {1, 0.5, 0, 0}} {
		for i, got := range []float64{l.AdmitShare(0, false, share), l.AdmitShare(1, false, share), l.AdmitShare(0, true, share), l.AdmitShare(1, true, share)} {
			if math.Abs(got-want[i]) > 0.05 || got <= 0 {
				t.Errorf("%v: kind %d: %v, wanted %v", share, i, got, want[i])
			}
		}
	}
}
