// Package load draws the ops of clients ahead of time and sends them open-loop: an op is sent when it is due, whatever
// became of the ops before it.
package load

import (
	"math"
	"math/rand/v2"
	"time"

	"minttray/lab/experiment"
)

const (
	// arrivalStream selects the stream of random numbers for arrivals among those of the experiment's seed. It is "mint" in ASCII.
	arrivalStream = 0x6d696e74
	// zipfOffset is the offset v of the Zipf distribution of keys: P(rank) is proportional to (zipfOffset+rank)^-s.
	zipfOffset = 8
	// mantissaRange is the number of values of the 53 random bits that make a share from 0 to 1.
	mantissaRange = 1 << 53
	// minShareSum keeps divisions by a sum of shares from dividing by zero.
	minShareSum = 1e-9
)

// Arrival is one op with all of its random choices, so that the same seed gives the same load whatever the proxies do.
type Arrival struct {
	Due             time.Duration // from the start of the load
	Seq             uint64        // number of the op, from 1
	Key             uint64
	Category        int     // index into the experiment's categories
	Tenant          int     // index into the experiment's tenants
	Zone            int     // index into the experiment's zones
	TryTimeoutShare float64 // share of the TTL that the client waits for a try
	// LeaveShare is the share of its wait after which the client leaves; 0 if it does not leave.
	LeaveShare float64
	// HonorsRetryAfter is set if the client waits for the retry-after time of a refusal before it retries.
	HonorsRetryAfter bool
	// ProxyChoice is the random number that selects the proxy.
	ProxyChoice uint64
}

// Arrivals draws one op after another.
type Arrivals struct {
	exp            *experiment.File
	random         *rand.Rand
	zipf           *rand.Zipf
	now            time.Duration // when the last drawn op is due
	drawn          uint64        // ops so far
	categoryShares []float64
	tenantShares   []float64
}

// NewArrivals returns the arrivals of an experiment, drawn with its seed.
func NewArrivals(exp *experiment.File) *Arrivals {
	a := &Arrivals{exp: exp, random: rand.New(rand.NewPCG(exp.Seed, arrivalStream))}
	a.zipf = rand.NewZipf(a.random, exp.Keys.ZipfExponent, zipfOffset, uint64(exp.Keys.Count-1))
	for _, c := range exp.Categories {
		a.categoryShares = append(a.categoryShares, c.Share)
	}
	for _, t := range exp.Tenants {
		a.tenantShares = append(a.tenantShares, t.Share)
	}
	return a
}

// Mix64 is a bijective hash of 64 bits (SplitMix64).
func Mix64(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// KeyOf returns the key that has a popularity rank at a moment. With a drift of keys, ranks move to other keys over time.
func KeyOf(exp *experiment.File, rank uint64, at time.Duration) uint64 {
	if exp.Keys.DriftPerSecond > 0 {
		phase := float64(Mix64(rank)>>11) / mantissaRange
		rank += uint64(float64(exp.Keys.Count)) * uint64(at.Seconds()*exp.Keys.DriftPerSecond+phase)
	}
	return max(Mix64(rank^exp.Seed<<32), 1)
}

// activeAt reports whether a fault is active at a moment. A fault without a duration does not end.
func activeAt(f experiment.Fault, at time.Duration) bool {
	return at >= f.Start.Std() && (f.Duration == 0 || at < f.Start.Std()+f.Duration.Std())
}

// rate returns the ops per second at a moment.
func (a *Arrivals) rate(at time.Duration) float64 {
	rate := a.exp.Load.Rate
	for _, s := range a.exp.Load.Surges {
		if at >= s.Start.Std() && at < s.Start.Std()+s.Duration.Std() {
			rate *= s.Factor
		}
	}
	for _, f := range a.exp.Faults {
		if f.Kind == "runaway" && activeAt(f, at) {
			rate += a.exp.Load.Rate * a.shareOf(f.Name) * (f.Size - 1)
		}
	}
	return rate
}

// shareOf returns a tenant's share of the ops, 0 to 1.
func (a *Arrivals) shareOf(tenant string) float64 {
	sum, share := 0.0, 0.0
	for _, t := range a.exp.Tenants {
		if sum += t.Share; t.Name == tenant {
			share = t.Share
		}
	}
	return share / max(sum, minShareSum)
}

// choose draws an index, with probabilities in proportion to shares.
func (a *Arrivals) choose(shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	x := a.random.Float64() * sum
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// Next draws the next op. It returns false at the end of the experiment.
func (a *Arrivals) Next() (Arrival, bool) {
	a.now += time.Duration(-math.Log(1-a.random.Float64()) / a.rate(a.now) * float64(time.Second))
	if a.now >= a.exp.Length.Std() {
		return Arrival{}, false
	}
	a.drawn++
	// Another order of these draws would change the load of every seed.
	op := Arrival{
		Due:              a.now,
		Seq:              a.drawn,
		Category:         a.choose(a.categoryShares),
		Zone:             a.random.IntN(len(a.exp.Zones.Names)),
		TryTimeoutShare:  a.exp.Clients.TryTimeoutShare,
		HonorsRetryAfter: a.random.Float64() < a.exp.Clients.RetryAfterShare,
		ProxyChoice:      a.random.Uint64(),
	}
	tenantShares := append([]float64(nil), a.tenantShares...)
	rank, hotKeyDraw := a.zipf.Uint64(), a.random.Float64()
	for _, f := range a.exp.Faults {
		if !activeAt(f, a.now) {
			continue
		}
		switch f.Kind {
		case "runaway":
			for i, t := range a.exp.Tenants {
				if t.Name == f.Name {
					tenantShares[i] *= f.Size
				}
			}
		case "hot-key":
			if hotKeyDraw < f.Size {
				rank = uint64(a.exp.Keys.Count) + 1 + uint64(a.random.IntN(max(f.Count, 1)))
			}
		}
	}
	op.Key = KeyOf(a.exp, rank, a.now)
	op.Tenant = a.choose(tenantShares)
	for _, f := range a.exp.Faults {
		if f.Kind == "impatient" && activeAt(f, a.now) && (f.Name == "" || f.Name == a.exp.Tenants[op.Tenant].Name) {
			op.TryTimeoutShare *= f.Size
		}
	}
	if a.random.Float64() < a.exp.Clients.LeaveShare {
		op.LeaveShare = 0.05 + 0.9*a.random.Float64() // neither at once nor just before the answer is due
	}
	return op, true
}
