// Package load draws what clients ask ahead of time, and asks it, open-loop: an op is sent when it is due, whatever
// became of those before it.
package load

import (
	"math"
	"math/rand/v2"
	"time"

	"minttray/lab/experiment"
)

// Arrival is one op as it is drawn: all that hangs on chance is in it, so that the same seed gives the same load
// whatever the proxies do.
type Arrival struct {
	Due      time.Duration
	N        uint64
	Key      uint64
	Category int
	Tenant   int
	Zone     int
	Patience float64 // share of the TTL that a try is waited for
	Leaves   float64 // above 0: its client goes away after this share of its wait
	Heeds    bool    // it comes back when it is told to
	Pick     uint64  // chance for what the front does
}

// Arrivals draws one op after another.
type Arrivals struct {
	exp   *experiment.File
	rnd   *rand.Rand
	zipf  *rand.Zipf
	now   time.Duration
	n     uint64
	cats  []float64
	whose []float64
}

// New starts with an experiment's seed.
func New(exp *experiment.File) *Arrivals {
	a := &Arrivals{exp: exp, rnd: rand.New(rand.NewPCG(exp.Seed, 0x6d696e74))}
	a.zipf = rand.NewZipf(a.rnd, exp.Keys.ZipfExponent, 8, uint64(exp.Keys.Count-1))
	for _, c := range exp.Categories {
		a.cats = append(a.cats, c.Share)
	}
	for _, t := range exp.Tenants {
		a.whose = append(a.whose, t.Share)
	}
	return a
}

// Mix spreads numbers over 64 bits, each to another.
func Mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// KeyOf is the key of a rank of popularity at a moment: some ranks go to other keys as time passes.
func KeyOf(exp *experiment.File, rank uint64, at time.Duration) uint64 {
	if exp.Keys.DriftPerSecond > 0 {
		phase := float64(Mix(rank)>>11) / (1 << 53)
		rank += uint64(float64(exp.Keys.Count)) * uint64(at.Seconds()*exp.Keys.DriftPerSecond+phase)
	}
	return max(Mix(rank^exp.Seed<<32), 1)
}

func during(f experiment.Fault, at time.Duration) bool {
	return at >= f.Start.Std() && (f.Duration == 0 || at < f.Start.Std()+f.Duration.Std())
}

// rate is ops a second at a moment.
func (a *Arrivals) rate(at time.Duration) float64 {
	r := a.exp.Load.Rate
	for _, s := range a.exp.Load.Surges {
		if at >= s.Start.Std() && at < s.Start.Std()+s.Duration.Std() {
			r *= s.Factor
		}
	}
	for _, f := range a.exp.Faults {
		if f.Kind == "runaway" && during(f, at) {
			r += a.exp.Load.Rate * a.shareOf(f.Name) * (f.Size - 1)
		}
	}
	return r
}

func (a *Arrivals) shareOf(tenant string) float64 {
	sum, share := 0.0, 0.0
	for _, t := range a.exp.Tenants {
		if sum += t.Share; t.Name == tenant {
			share = t.Share
		}
	}
	return share / max(sum, 1e-9)
}

func (a *Arrivals) choose(shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	x := a.rnd.Float64() * sum
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// Next draws the next op; false: the run is over.
func (a *Arrivals) Next() (Arrival, bool) {
	a.now += time.Duration(-math.Log(1-a.rnd.Float64()) / a.rate(a.now) * float64(time.Second))
	if a.now >= a.exp.Length.Std() {
		return Arrival{}, false
	}
	a.n++
	o := Arrival{Due: a.now, N: a.n, Category: a.choose(a.cats), Zone: a.rnd.IntN(len(a.exp.Zones.Names)),
		Patience: a.exp.Clients.TryTimeoutShare, Heeds: a.rnd.Float64() < a.exp.Clients.RetryAfterShare, Pick: a.rnd.Uint64()}
	shares := append([]float64(nil), a.whose...)
	rank, hot := a.zipf.Uint64(), a.rnd.Float64()
	for _, f := range a.exp.Faults {
		if !during(f, a.now) {
			continue
		}
		switch f.Kind {
		case "runaway":
			for i, t := range a.exp.Tenants {
				if t.Name == f.Name {
					shares[i] *= f.Size
				}
			}
		case "hot-key":
			if hot < f.Size {
				rank = uint64(a.exp.Keys.Count) + 1 + uint64(a.rnd.IntN(max(f.Count, 1)))
			}
		}
	}
	o.Key = KeyOf(a.exp, rank, a.now)
	o.Tenant = a.choose(shares)
	for _, f := range a.exp.Faults {
		if f.Kind == "impatient" && during(f, a.now) && (f.Name == "" || f.Name == a.exp.Tenants[o.Tenant].Name) {
			o.Patience *= f.Size
		}
	}
	if a.rnd.Float64() < a.exp.Clients.LeaveShare {
		o.Leaves = 0.05 + 0.9*a.rnd.Float64()
	}
	return o, true
}
