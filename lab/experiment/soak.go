package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	soakSlack  = 500 * time.Millisecond // tolerance after a deadline, in which an answer is worthless but not counted as lost
	soakWarmUp = time.Second
	soakMinTTL = 60 * time.Millisecond // of a category
	soakMaxTTL = 3 * time.Second       // of a category

	soakStream     = 0x736f616b // makes drawn experiments independent of other uses of the same seed; "soak" in ASCII
	throttleStream = 0x71756f74 // for the draws of throttling, so that they leave the rest of an experiment as it is; "quot" in ASCII
)

// Soak draws a deployment and its timeline from a seed: from a few caches to thousands, deadlines from 60 ms to 3 s, one proxy or several,
// and releases, restarts, series of signals, idle connections and outages that may overlap. The same seed gives the same experiment.
func Soak(seed uint64, length time.Duration) *File {
	generator := soakGenerator{rand.New(rand.NewPCG(seed, soakStream))}
	f := Defaults()
	f.Name = fmt.Sprintf("soak-%d", seed)
	f.Seed = seed
	f.Length = Duration(length)
	f.WarmUp = Duration(soakWarmUp)
	f.Rules.Slack = Duration(soakSlack)
	generator.drawFleet(f)
	generator.drawCategories(f)
	generator.drawClients(f)
	generator.drawFaults(f)
	soakGenerator{rand.New(rand.NewPCG(seed, throttleStream))}.addThrottle(f)
	f.applyDefaults()
	return f
}

// Check returns an error for the first invalid field.
func (f *File) Check() error { return f.check() }

// soakGenerator draws random parts of an experiment.
type soakGenerator struct{ *rand.Rand }

// uniform draws a number from a uniform distribution.
func (d soakGenerator) uniform(from, to float64) float64 { return from + (to-from)*d.Float64() }

// logUniform draws a duration whose logarithm is uniformly distributed.
func (d soakGenerator) logUniform(from, to time.Duration) Duration {
	return Duration(time.Duration(float64(from) * math.Pow(float64(to)/float64(from), d.Float64())).Round(time.Millisecond))
}

// choose returns one of the options; an option that is listed twice is twice as likely.
func (d soakGenerator) choose(options ...string) string { return options[d.IntN(len(options))] }

// drawFleet draws the sizes of the deployment and its settings.
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
		f.Caches.Count = 2 + d.IntN(40)
		f.Caches.MemoryMB = 1
		f.Zones = Zones{Names: []string{"a", "b", "c"}[:1+d.IntN(3)], Delay: Duration(time.Duration(d.IntN(8)) * time.Millisecond)}
	case size < 0.8:
		f.Caches.Count = 100 + d.IntN(400)
		f.Caches.MemoryMB = 0.1
		f.Discovery.BatchInterval = d.logUniform(300*time.Millisecond, 1500*time.Millisecond)
	default:
		f.Caches.Count = 800 + d.IntN(2401)
		f.Caches.MemoryMB = 0.02
		f.Discovery.BatchInterval = d.logUniform(300*time.Millisecond, 1500*time.Millisecond)
		f.Proxies.Count = min(f.Proxies.Count, 4)
		f.Proxies.MemoryMB = 192
	}
}

// drawCategories draws one to three categories of equal share.
func (d soakGenerator) drawCategories(f *File) {
	n := 1 + d.IntN(3)
	for i := range n {
		ttl := d.logUniform(soakMinTTL, soakMaxTTL)
		c := Category{
			Name:    fmt.Sprint("class", i),
			Share:   1 / float64(n),
			TTL:     ttl,
			Target:  ttl / 2,
			Benefit: 1 + float64(d.IntN(5)),
			Work:    min(ttl/8, Duration(10*time.Millisecond)),
			Effect:  d.choose("redeliverable", "redeliverable", "deduplicated", "at-most-once"),
		}
		c.DedupWindow = d.logUniform(200*time.Millisecond, 5*time.Second)
		c.DedupGroup = d.choose("all", "zone")
		c.Write = d.IntN(4) == 0
		f.Categories = append(f.Categories, c)
	}
}

// drawClients draws the load and the behaviour of clients.
func (d soakGenerator) drawClients(f *File) {
	f.Load.Rate = d.uniform(60, 300)
	f.Clients.Retries = d.IntN(4)
	f.Clients.TryTimeoutShare = d.uniform(0.5, 1)
	f.Clients.LeaveShare = d.uniform(0, 0.1)
	f.Keys.ZipfExponent = d.uniform(1.01, 2.5)
	f.Balancer.DetectionDelay = Duration(500 * time.Millisecond)
}

// drawFaults draws the timeline. A timeline that stops processes sends them no other signals, as a stopped process handles these only
// once it continues.
func (d soakGenerator) drawFaults(f *File) {
	window := f.Length.Std()*3/4 - f.WarmUp.Std()
	stalls := d.IntN(3) == 0
	for range 3 + d.IntN(4) {
		offset := time.Duration(d.Float64() * float64(window) * 2 / 3)
		length := time.Duration((0.2 + 0.5*d.Float64()) * float64(window-offset))
		fault := Fault{
			Start:    Duration(f.WarmUp.Std() + offset.Round(time.Millisecond)),
			Duration: Duration(length.Round(time.Millisecond)),
		}
		if d.IntN(2) == 0 {
			d.drawProxyFault(f, &fault, stalls)
		} else {
			d.drawPlatformFault(&fault)
		}
		f.Faults = append(f.Faults, fault)
	}
}

// drawProxyFault draws a fault of proxies: with stalls set processes are stopped, otherwise they are restarted or loaded with idle
// connections.
func (d soakGenerator) drawProxyFault(f *File, fault *Fault, stalls bool) {
	if stalls {
		fault.Kind = "stall"
		fault.Count = 1 + d.IntN(f.Proxies.Count)
		fault.Duration = Duration(time.Duration(50+d.IntN(1200)) * time.Millisecond)
		return
	}
	fault.Kind = d.choose("proxy-signals", "proxy-signals", "proxy-roll", "proxy-kill", "crowd")
	fault.Downtime = Duration(300 * time.Millisecond)
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
		fault.Share = 1
		fault.BatchShare = 0.25 + d.Float64()/2
	}
	fault.Duration = 0
}

// addThrottle throttles all proxies in one of five experiments, unless the timeline stops processes.
func (d soakGenerator) addThrottle(f *File) {
	stalls := slices.ContainsFunc(f.Faults, func(x Fault) bool { return x.Kind == "stall" })
	if d.IntN(5) > 0 || stalls {
		return
	}
	start := f.WarmUp.Std() + time.Duration(d.Float64()*float64(f.Length.Std())/4)
	f.Faults = append(f.Faults, Fault{
		Kind:     "throttle",
		Start:    Duration(start.Round(time.Millisecond)),
		Duration: f.Length / 2,
		Share:    1,
		Size:     d.uniform(0.1, 0.6),
	})
}

// drawPlatformFault draws a fault of caches, of the list of caches, of the origin or of the load.
func (d soakGenerator) drawPlatformFault(fault *Fault) {
	fault.Kind = d.choose("deploy", "deploy", "kill", "drain", "reset", "lose", "slow",
		"list-silent", "list-late", "hot-key", "still", "error", "origin-slow")
	switch fault.Kind {
	case "deploy":
		fault.Share = d.uniform(0.3, 0.9)
		fault.BatchShare = d.uniform(0.15, 0.4)
		fault.Downtime = d.logUniform(300*time.Millisecond, 1500*time.Millisecond)
		fault.Duration = 0
	case "kill", "drain":
		fault.Share = d.uniform(0.05, 0.4)
	case "reset":
		fault.Share = d.uniform(0.1, 1)
		fault.Duration = 0
	case "still":
		fault.Share = d.uniform(0.05, 0.3)
	case "lose", "error":
		fault.Share = d.uniform(0.1, 0.5)
		fault.Size = d.uniform(0.05, 0.5)
	case "slow":
		fault.Share = d.uniform(0.1, 0.5)
		fault.Size = d.uniform(2, 10)
	case "origin-slow":
		fault.Size = d.uniform(2, 6)
	case "list-late":
		fault.Size = d.uniform(0.5, 3)
	case "hot-key":
		fault.Size = d.uniform(0.2, 0.9)
	}
}
