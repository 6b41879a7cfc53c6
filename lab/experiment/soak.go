package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	soakSlack = 500 * time.Millisecond // past its deadline an answer only earns nothing; later it is lost
	soakWarm  = time.Second

	soakShortest = 60 * time.Millisecond // deadlines
	soakLongest  = 3 * time.Second
)

// Soak draws a deployment and what goes wrong in it from one seed: few caches or thousands, deadlines from 60 ms to 3 s, one proxy or some, and
// releases, restarts, signals in series, crowds and outages that may overlap. The same seed draws the same.
func Soak(seed uint64, length time.Duration) *File {
	d := soakDraw{rand.New(rand.NewPCG(seed, 0x736f616b))}
	f := Defaults()
	f.Name, f.Seed = fmt.Sprintf("soak-%d", seed), seed
	f.Length, f.WarmUp = Duration(length), Duration(soakWarm)
	f.Rules.Slack = Duration(soakSlack)
	d.fleet(f)
	d.categories(f)
	d.clients(f)
	d.timeline(f)
	soakDraw{rand.New(rand.NewPCG(seed, 0x71756f74))}.quota(f)
	f.fill()
	return f
}

// Check tells whether the experiment is within its bounds.
func (f *File) Check() error { return f.check() }

type soakDraw struct{ *rand.Rand }

// between draws a figure evenly.
func (d soakDraw) between(from, to float64) float64 { return from + (to-from)*d.Float64() }

// span draws a span evenly over its magnitudes.
func (d soakDraw) span(from, to time.Duration) Duration {
	return Duration(time.Duration(float64(from) * math.Pow(float64(to)/float64(from), d.Float64())).Round(time.Millisecond))
}

func (d soakDraw) one(of ...string) string { return of[d.IntN(len(of))] }

func (d soakDraw) fleet(f *File) {
	f.Proxies = Proxies{Count: 1 + d.IntN(8), Cores: 1, MemoryMB: 64 + d.IntN(3)*64, Sockets: 128 << d.IntN(4)}
	f.Caches.Mode = d.one("aside", "aside", "through")
	f.Caches.Cancel = d.one("all", "queued", "none")
	f.Caches.ColdFrom = d.between(0.05, 0.5)
	f.Caches.Connections = 64 << d.IntN(4)
	f.List.Late = d.span(200*time.Millisecond, 1500*time.Millisecond)
	f.Rules.MostPushes = 2 + d.IntN(4)
	f.Rules.Grace = Duration(time.Second + time.Duration(d.IntN(1500))*time.Millisecond)
	switch x := d.Float64(); {
	case x < 0.6:
		f.Caches.Count, f.Caches.MemoryMB = 2+d.IntN(40), 1
		f.Zones = Zones{Names: []string{"a", "b", "c"}[:1+d.IntN(3)], Delay: Duration(time.Duration(d.IntN(8)) * time.Millisecond)}
	case x < 0.8:
		f.Caches.Count, f.Caches.MemoryMB = 100+d.IntN(400), 0.1
		f.List.Every = d.span(300*time.Millisecond, 1500*time.Millisecond)
	default:
		f.Caches.Count, f.Caches.MemoryMB = 800+d.IntN(2401), 0.02
		f.List.Every = d.span(300*time.Millisecond, 1500*time.Millisecond)
		f.Proxies.Count, f.Proxies.MemoryMB = min(f.Proxies.Count, 4), 192
	}
}

func (d soakDraw) categories(f *File) {
	n := 1 + d.IntN(3)
	for i := range n {
		ttl := d.span(soakShortest, soakLongest)
		c := Category{Name: fmt.Sprint("class", i), Share: 1 / float64(n), TTL: ttl, Target: ttl / 2, Benefit: 1 + float64(d.IntN(5)),
			Work: min(ttl/8, Duration(10*time.Millisecond)), Effect: d.one("redeliverable", "redeliverable", "deduplicated", "at-most-once")}
		c.DedupWindow = d.span(200*time.Millisecond, 5*time.Second)
		c.DedupGroup = d.one("all", "zone")
		c.Write = d.IntN(4) == 0
		f.Categories = append(f.Categories, c)
	}
}

func (d soakDraw) clients(f *File) {
	f.Load.Rate = d.between(60, 300)
	f.Clients.Retries = d.IntN(4)
	f.Clients.TryTimeoutShare = d.between(0.5, 1)
	f.Clients.LeaveShare = d.between(0, 0.1)
	f.Keys.ZipfExponent = d.between(1.01, 2.5)
	f.Balancer.DetectionDelay = Duration(500 * time.Millisecond)
}

// timeline draws what goes wrong. Processes that are stopped are not signalled as well: what a stopped one is sent it hears later.
func (d soakDraw) timeline(f *File) {
	room := f.Length.Std()*3/4 - f.WarmUp.Std()
	stalls := d.IntN(3) == 0
	for range 3 + d.IntN(4) {
		at := time.Duration(d.Float64() * float64(room) * 2 / 3)
		x := Fault{Start: Duration(f.WarmUp.Std() + at.Round(time.Millisecond)), Duration: Duration(time.Duration((0.2 + 0.5*d.Float64()) * float64(room-at)).Round(time.Millisecond))}
		if d.IntN(2) == 0 {
			d.processes(f, &x, stalls)
		} else {
			d.surroundings(&x)
		}
		f.Faults = append(f.Faults, x)
	}
}

// processes draws what happens to proxies.
func (d soakDraw) processes(f *File, x *Fault, stalls bool) {
	if stalls {
		x.Kind, x.Count, x.Duration = "stall", 1+d.IntN(f.Proxies.Count), Duration(time.Duration(50+d.IntN(1200))*time.Millisecond)
		return
	}
	x.Kind, x.Down = d.one("proxy-signals", "proxy-signals", "proxy-roll", "proxy-kill", "crowd"), Duration(300*time.Millisecond)
	switch x.Kind {
	case "crowd":
		x.Size = float64(20 + d.IntN(300))
		return
	case "proxy-signals":
		x.By = d.one(Signals...)
		x.Count = 1 + d.IntN(f.Proxies.Count)
	case "proxy-kill":
		x.Count = 1
	case "proxy-roll":
		x.Share, x.Batch = 1, 0.25+d.Float64()/2
	}
	x.Duration = 0
}

// quota has all proxies run for a part of the time in one of five runs, unless processes are stopped in it for longer.
func (d soakDraw) quota(f *File) {
	stalls := slices.ContainsFunc(f.Faults, func(x Fault) bool { return x.Kind == "stall" })
	if d.IntN(5) > 0 || stalls {
		return
	}
	at := f.WarmUp.Std() + time.Duration(d.Float64()*float64(f.Length.Std())/4)
	f.Faults = append(f.Faults, Fault{Kind: "throttle", Start: Duration(at.Round(time.Millisecond)), Duration: f.Length / 2, Share: 1, Size: d.between(0.1, 0.6)})
}

// surroundings draws what happens to caches, list and origin.
func (d soakDraw) surroundings(x *Fault) {
	x.Kind = d.one("deploy", "deploy", "kill", "drain", "reset", "lose", "slow", "list-silent", "list-late", "hot-key", "still", "error", "origin-slow")
	switch x.Kind {
	case "deploy":
		x.Share, x.Batch, x.Down, x.Duration = d.between(0.3, 0.9), d.between(0.15, 0.4), d.span(300*time.Millisecond, 1500*time.Millisecond), 0
	case "kill", "drain":
		x.Share = d.between(0.05, 0.4)
	case "reset":
		x.Share, x.Duration = d.between(0.1, 1), 0
	case "still":
		x.Share = d.between(0.05, 0.3)
	case "lose", "error":
		x.Share, x.Size = d.between(0.1, 0.5), d.between(0.05, 0.5)
	case "slow":
		x.Share, x.Size = d.between(0.1, 0.5), d.between(2, 10)
	case "origin-slow":
		x.Size = d.between(2, 6)
	case "list-late":
		x.Size = d.between(0.5, 3)
	case "hot-key":
		x.Size = d.between(0.2, 0.9)
	}
}
