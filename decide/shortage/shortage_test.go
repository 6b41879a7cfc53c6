package shortage

import (
	"math/rand/v2"
	"testing"
)

// sendOps offers a number of ops to a gate, whose pushes are slow with a probability, and returns the admitted share.
func sendOps(g *Gate, rnd *rand.Rand, ops int, slow float64) (admitted float64) {
	for range ops {
		if rnd.Float64() > g.AdmittedShare() {
			g.ObserveRefusal()
			continue
		}
		admitted++
		span := 0.15
		if rnd.Float64() < slow {
			span = 1
		}
		g.ObservePush(1, span, g.AdmittedShare())
	}
	return admitted / float64(ops)
}

// Guards against a gate that sheds ops though only a part of the caches is slow, or too few or too many in a shortage.
func TestAdmittedShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		slow     float64
		from, to float64
	}{
		{"no push slow", 0, 0.999, 1.001},
		{"a tenth slow", 0.1, 0.99, 1.001},
		{"a quarter of the caches failing", 0.25, 0.95, 1},
		{"two thirds slow", 2.0 / 3, 0.25, 0.6},
		{"nearly all slow", 0.95, 0.25, 0.33},
	} {
		rnd, sum := rand.New(rand.NewPCG(1, 2)), 0.0
		for range 50 {
			g := &Gate{}
			sendOps(g, rnd, 30, c.slow)
			sum += sendOps(g, rnd, 100, c.slow) / 50
		}
		if sum < c.from || sum > c.to {
			t.Errorf("%s: admitted share %.2f, want %.2f to %.2f", c.name, sum, c.from, c.to)
		}
	}
}

// Guards against a gate that stays shut, or opens a quarter of a minute late, because it learns only from the few ops that
// it admits.
func TestGateOpensAfterAShortage(t *testing.T) {
	rnd, sum := rand.New(rand.NewPCG(1, 2)), 0.0
	for range 50 {
		g := &Gate{}
		sendOps(g, rnd, 100, 1)
		sendOps(g, rnd, 12, 0)
		sum += sendOps(g, rnd, 20, 0) / 50
	}
	if sum < 0.9 {
		t.Errorf("admitted share %.2f from twelve ops after the end of a shortage, want at least 0.90", sum)
	}
}

// Guards against weak evidence that shuts the gate as far as strong evidence does.
func TestWeakEvidenceShutsTheGateLess(t *testing.T) {
	shareAfter := func(observe func(g *Gate)) float64 {
		g := &Gate{}
		for range 3 {
			g.ObservePush(1, 1, 1)
		}
		observe(g)
		return g.AdmittedShare()
	}
	for _, c := range []struct {
		name         string
		strong, weak func(g *Gate)
	}{
		{"a push sent before the gate shut", func(g *Gate) { g.ObservePush(1, 1, g.AdmittedShare()) }, func(g *Gate) { g.ObservePush(1, 1, 1) }},
		{"a time-out that says little about load", func(g *Gate) { g.ObservePush(1, 1, 1) }, func(g *Gate) { g.ObservePush(0.2, 1, 1) }},
		{"an answer within the target", func(g *Gate) { g.ObservePush(1, 1, 1) }, func(g *Gate) { g.ObservePush(1, 0.5, 1) }},
		{"fast answers not in a row, and in a row",
			func(g *Gate) { g.ObservePush(1, 0.1, 1); g.ObservePush(1, 1, 1); g.ObservePush(1, 0.1, 1) },
			func(g *Gate) { g.ObservePush(1, 1, 1); g.ObservePush(1, 0.1, 1); g.ObservePush(1, 0.1, 1) }},
	} {
		if shareAfter(c.strong) >= shareAfter(c.weak) {
			t.Errorf("%s: share %.3f after weak evidence, want more than %.3f after strong evidence", c.name, shareAfter(c.weak), shareAfter(c.strong))
		}
	}
}

// Guards against a gate that sheds ops where normal work takes half of the target latency or more, so that all pushes look
// slow.
func TestSlowWorkIsNoShortage(t *testing.T) {
	g := &Gate{}
	for i := range 400 {
		g.ObservePush(1, 0.45+0.3*float64(i%2), 1)
	}
	if g.AdmittedShare() < 1 {
		t.Errorf("admitted share %.2f, want 1", g.AdmittedShare())
	}
}
