package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	soakSlack  = 500 * time.Millisecond // past its deadline an answer only earns nothing; later it is lost
	soakWarmUp = time.Second

	soakMinTTL = 60 * time.Millisecond // deadlines
	soakMaxTTL = 3 * time.Second
)

// Soak draws a deployment and what goes wrong in it from one seed: few caches or thousands, deadlines from 60 ms to 3 s, one proxy or some, and
// releases, restarts, signals in series, crowds and outages that may overlap. The same seed draws the same.
func Soak(seed uint64, length time.Duration) *File {
	generator := soakGenerator{rand.New(rand.NewPCG(seed, 0x736f616b))}
	f := Defaults()
	f.Name, f.Seed = fmt.Sprintf("soak-%d", seed), seed
	f.Length, f.WarmUp = Duration(length), Duration(soakWarmUp)
	f.Rules.Slack = Duration(soakSlack)
	generator.drawFleet(f)
	generator.drawCategories(f)
	generator.drawClients(f)
	generator.drawFaults(f)
	soakGenerator{rand.New(rand.NewPCG(seed, 0x71756f74))}.addThrottle(f)
	f.applyDefaults()
	return f
}

// Check tells whether the experiment is within its bounds.
func (f *File) Check() error { return f.check() }

type soakGenerator struct{ *rand.Rand }

// between draws a figure evenly.
func (d soakGenerator) uniform(from, to float64) float64 { return from + (to-from)*d.Float64() }

// span draws a span evenly over its magnitudes.
func (d soakGenerator) logUniform(from, to time.Duration) Duration {
	return Duration(time.Duration(float64(from) * math.Pow(float64(to)/float64(from), d.Float64())).Round(time.Millisecond))
}

func (d soakGenerator) choose(options ...string) string { return options[d.IntN(len(options))] }

func (d soakGenerator) drawFleet(f *File) {
	f.Proxies = Proxies{Count: 1 + d.IntN(8), Cores: 1, MemoryMB: 64 + d.IntN(3)*64, Sockets: 128 << d.IntN(4)}
	f.Caches.Mode = d.choose("aside", "aside", "through")
	f.Caches.CancelMode = d.choose("all", "queued", "none")
	f.Caches.ColdCapacityShare = d.uniform(0.05, 0.5)
	f.Caches.MaxConns = 64 << d.IntN(4)
	f.Discovery.Delay = d.logUniform(200*time.Millisecond, 1500*time.Millisecond)
	f.Rules.MaxPushes = 2 + d.IntN(4)
	f.Rules.DrainGrace = Duration(time.Second + time.Duration(d.IntN(1500))*time.Millisecond)
	switch size := d.Float64(); {
	case size < 0.6:
		f.Caches.Count, f.Caches.MemoryMB = 2+d.IntN(40), 1
		f.Zones = Zones{Names: []string{"a", "b", "c"}[:1+d.IntN(3)], Delay: Duration(time.Duration(d.IntN(8)) * time.Millisecond)}
	case size < 0.8:
		f.Caches.Count, f.Caches.MemoryMB = 100+d.IntN(400), 0.1
		f.Discovery.BatchInterval = d.logUniform(300*time.Millisecond, 1500*time.Millisecond)
	default:
		f.Caches.Count, f.Caches.MemoryMB = 800+d.IntN(2401), 0.02
		f.Discovery.BatchInterval = d.logUniform(300*time.Millisecond, 1500*time.Millisecond)
		f.Proxies.Count, f.Proxies.MemoryMB = min(f.Proxies.Count, 4), 192
	}
}

func (d soakGenerator) drawCategories(f *File) {
	n := 1 + d.IntN(3)
	for i := range n {
		ttl := d.logUniform(soakMinTTL, soakMaxTTL)
		c := Category{Name: fmt.Sprint("class", i), Share: 1 / float64(n), TTL: ttl, Target: ttl / 2, Benefit: 1 + float64(d.IntN(5)),
			Work: min(ttl/8, Duration(10*time.Millisecond)), Effect: d.choose("redeliverable", "redeliverable", "deduplicated", "at-most-once")}
		c.DedupWindow = d.logUniform(200*time.Millisecond, 5*time.Second)
		c.DedupGroup = d.choose("all", "zone")
		c.Write = d.IntN(4) == 0
		f.Categories = append(f.Categories, c)
	}
}

func (d soakGenerator) drawClients(f *File) {
	f.Load.Rate = d.uniform(60, 300)
	f.Clients.Retries = d.IntN(4)
	f.Clients.TryTimeoutShare = d.uniform(0.5, 1)
	f.Clients.LeaveShare = d.uniform(0, 0.1)
	f.Keys.ZipfExponent = d.uniform(1.01, 2.5)
	f.Balancer.DetectionDelay = Duration(500 * time.Millisecond)
}

// timeline draws what goes wrong. Processes that are stopped are not signalled as well: what a stopped one is sent it hears later.
func (d soakGenerator) drawFaults(f *File) {
	window := f.Length.Std()*3/4 - f.WarmUp.Std()
	stalls := d.IntN(3) == 0
	for range 3 + d.IntN(4) {
		offset := time.Duration(d.Float64() * float64(window) * 2 / 3)
		fault := Fault{Start: Duration(f.WarmUp.Std() + offset.Round(time.Millisecond)), Duration: Duration(time.Duration((0.2 + 0.5*d.Float64()) * float64(window-offset)).Round(time.Millisecond))}
		if d.IntN(2) == 0 {
			d.drawProxyFault(f, &fault, stalls)
		} else {
			d.drawPlatformFault(&fault)
		}
		f.Faults = append(f.Faults, fault)
	}
}

// processes draws what happens to proxies.
func (d soakGenerator) drawProxyFault(f *File, fault *Fault, stalls bool) {
	if stalls {
		fault.Kind, fault.Count, fault.Duration = "stall", 1+d.IntN(f.Proxies.Count), Duration(time.Duration(50+d.IntN(1200))*time.Millisecond)
		return
	}
	fault.Kind, fault.Downtime = d.choose("proxy-signals", "proxy-signals", "proxy-roll", "proxy-kill", "crowd"), Duration(300*time.Millisecond)
	switch fault.Kind {
	case "crowd":
		fault.Size = float64(20 + d.IntN(300))
		return
	case "proxy-signals":
		fault.Mode = d.choose(SignalSeries...)
		fault.Count = 1 + d.IntN(f.Proxies.Count)
	case "proxy-kill":
		fault.Count = 1
	case "proxy-roll":
		fault.Share, fault.BatchShare = 1, 0.25+d.Float64()/2
	}
	fault.Duration = 0
}

// quota has all proxies run for a part of the time in one of five runs, unless processes are stopped in it for longer.
func (d soakGenerator) addThrottle(f *File) {
	stalls := slices.ContainsFunc(f.Faults, func(x Fault) bool { return x.Kind == "stall" })
	if d.IntN(5) > 0 || stalls {
		return
	}
	start := f.WarmUp.Std() + time.Duration(d.Float64()*float64(f.Length.Std())/4)
	f.Faults = append(f.Faults, Fault{Kind: "throttle", Start: Duration(start.Round(time.Millisecond)), Duration: f.Length / 2, Share: 1, Size: d.uniform(0.1, 0.6)})
}

// surroundings draws what happens to caches, list and origin.
func (d soakGenerator) drawPlatformFault(fault *Fault) {
	fault.Kind = d.choose("deploy", "deploy", "kill", "drain", "reset", "lose", "slow", "list-silent", "list-late", "hot-key", "still", "error", "origin-slow")
	switch fault.Kind {
	case "deploy":
		fault.Share, fault.BatchShare, fault.Downtime, fault.Duration = d.uniform(0.3, 0.9), d.uniform(0.15, 0.4), d.logUniform(300*time.Millisecond, 1500*time.Millisecond), 0
	case "kill", "drain":
		fault.Share = d.uniform(0.05, 0.4)
	case "reset":
		fault.Share, fault.Duration = d.uniform(0.1, 1), 0
	case "still":
		fault.Share = d.uniform(0.05, 0.3)
	case "lose", "error":
		fault.Share, fault.Size = d.uniform(0.1, 0.5), d.uniform(0.05, 0.5)
	case "slow":
		fault.Share, fault.Size = d.uniform(0.1, 0.5), d.uniform(2, 10)
	case "origin-slow":
		fault.Size = d.uniform(2, 6)
	case "list-late":
		fault.Size = d.uniform(0.5, 3)
	case "hot-key":
		fault.Size = d.uniform(0.2, 0.9)
	}
}
