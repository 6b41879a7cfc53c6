package shortage

import (
	"math/rand/v2"
	"testing"
)

// spell sends a gate so many ops; slow tells whether one let through would be.
func spell(g *Gate, rnd *rand.Rand, ops int, slow float64) (let float64) {
	for range ops {
		if rnd.Float64() > g.AdmittedShare() {
			g.ObserveRefusal()
			continue
		}
		let++
		span := 0.15
		if rnd.Float64() < slow {
			span = 1
		}
		g.ObservePush(1, span, g.AdmittedShare())
	}
	return let / float64(ops)
}

func TestWhatIsLetThrough(t *testing.T) {
	for _, c := range []struct {
		name     string
		slow     float64
		from, to float64
	}{
		{"all is well", 0, 0.999, 1.001},
		{"a tenth is slow", 0.1, 0.99, 1.001},
		{"a quarter of the caches is sick", 0.25, 0.95, 1},
		{"two thirds are slow", 2.0 / 3, 0.25, 0.6},
		{"hardly an answer", 0.95, 0.25, 0.33},
	} {
		rnd, sum := rand.New(rand.NewPCG(1, 2)), 0.0
		for range 50 {
			g := &Gate{}
			spell(g, rnd, 30, c.slow)
			sum += spell(g, rnd, 100, c.slow) / 50
		}
		if sum < c.from || sum > c.to {
			t.Errorf("%s: %.2f let through, want %.2f to %.2f", c.name, sum, c.from, c.to)
		}
	}
}

// Danger: a gate that opens only by what it lets through never opens again, or a quarter of a minute late.
func TestTheEndOfAShortageIsFound(t *testing.T) {
	rnd, sum := rand.New(rand.NewPCG(1, 2)), 0.0
	for range 50 {
		g := &Gate{}
		spell(g, rnd, 100, 1)
		spell(g, rnd, 12, 0)
		sum += spell(g, rnd, 20, 0) / 50
	}
	if sum < 0.9 {
		t.Errorf("twelve ops after its end %.2f are let through", sum)
	}
}

func TestWhatProvesLess(t *testing.T) {
	shut := func(do func(g *Gate)) float64 {
		g := &Gate{}
		for range 3 {
			g.ObservePush(1, 1, 1)
		}
		do(g)
		return g.AdmittedShare()
	}
	for _, c := range []struct {
		name       string
		more, less func(g *Gate)
	}{
		{"a push sent before the gate shut", func(g *Gate) { g.ObservePush(1, 1, g.AdmittedShare()) }, func(g *Gate) { g.ObservePush(1, 1, 1) }},
		{"a time-out that says little of load", func(g *Gate) { g.ObservePush(1, 1, 1) }, func(g *Gate) { g.ObservePush(0.2, 1, 1) }},
		{"an answer within the target", func(g *Gate) { g.ObservePush(1, 1, 1) }, func(g *Gate) { g.ObservePush(1, 0.5, 1) }},
		{"quick answers that do not come in a row",
			func(g *Gate) { g.ObservePush(1, 0.1, 1); g.ObservePush(1, 1, 1); g.ObservePush(1, 0.1, 1) },
			func(g *Gate) { g.ObservePush(1, 1, 1); g.ObservePush(1, 0.1, 1); g.ObservePush(1, 0.1, 1) }},
	} {
		if shut(c.more) >= shut(c.less) {
			t.Errorf("%s: share %.3f, else %.3f", c.name, shut(c.less), shut(c.more))
		}
	}
}

// Danger: where works usually fill half of the target latency, all pushes would look slow.
func TestSlowWorkIsNoShortage(t *testing.T) {
	g := &Gate{}
	for i := range 400 {
		g.ObservePush(1, 0.45+0.3*float64(i%2), 1)
	}
	if g.AdmittedShare() < 1 {
		t.Errorf("share %.2f", g.AdmittedShare())
	}
}
