package experiment

import (
	"math/rand/v2"
	"time"
)

// timelineStream makes drawn timelines independent of other uses of the same seed. It is "draw" in ASCII.
const timelineStream = 0x64726177

// DrawFaults replaces the timeline by a random one: two or three faults of sites, links and processes, which may overlap. They end
// within three quarters of the run, so that the recovery is observed too. The same seed gives the same timeline.
func (f *File) DrawFaults(seed uint64) {
	random := rand.New(rand.NewPCG(seed, timelineStream))
	from := f.WarmUp.Std()
	window := f.Length.Std()*3/4 - from
	zone := func() string { return f.Zones.Names[random.IntN(len(f.Zones.Names))] }
	choose := func(options ...string) string { return options[random.IntN(len(options))] }
	f.Faults = nil
	for range 2 + random.IntN(2) {
		offset := time.Duration(random.Float64() * float64(window) * 2 / 3)
		length := time.Duration((0.3 + 0.7*random.Float64()) * float64(window-offset) / 2)
		fault := Fault{Start: Duration(from + offset), Duration: Duration(length.Round(time.Millisecond))}
		fault.Kind = choose("site-lost", "site-lost", "site-cut", "site-cut", "way-slow", "way-lose", "way-reset",
			"stall", "kill", "drain", "proxy-kill", "deploy", "list-late", "origin-stop")
		switch fault.Kind {
		case "site-lost":
			fault.Zone = zone()
			fault.Mode = choose("caches", "proxies", "together")
			fault.Downtime = Duration(time.Second)
			fault.NewIDs = random.IntN(3) == 0
			fault.Share = []float64{0, 0, 0.5}[random.IntN(3)]
			fault.Size = 2 * random.Float64()
			fault.LosesOrigin = fault.Zone == f.Zones.Names[0]
		case "site-cut":
			fault.Zone = zone()
			fault.Mode = choose("both", "in", "out")
		case "way-slow":
			fault.Zone = zone()
			fault.Mode = choose("both", "in", "out")
			fault.Size = 0.02 + 0.1*random.Float64()
		case "way-lose", "way-reset":
			fault.Zone = zone()
			fault.Mode = choose("both", "in", "out")
			fault.Size = 0.1 + 0.5*random.Float64()
		case "stall":
			fault.Count = 1 + random.IntN(max(f.Proxies.Count/2, 1))
		case "kill", "drain":
			fault.Share = 0.1 + 0.2*random.Float64()
		case "proxy-kill":
			fault.Share = 0.1 + 0.4*random.Float64()
			fault.Downtime = fault.Duration
			fault.Duration = 0
		case "deploy":
			fault.Share = 0.6
			fault.BatchShare = 0.2
			fault.Downtime = Duration(500 * time.Millisecond)
			fault.Duration = 0
		case "list-late":
			fault.Size = 1 + 2*random.Float64()
		case "origin-stop":
			fault.Duration = min(fault.Duration, Duration(3*time.Second))
		}
		f.Faults = append(f.Faults, fault)
	}
}
