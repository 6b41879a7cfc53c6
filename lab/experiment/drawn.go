package experiment

import (
	"math/rand/v2"
	"time"
)

// Draw puts a timeline that is drawn from a seed in the place of the file's: two or three faults of places, ways and processes,
// which may overlap, over by three quarters of the run, so that what follows them is seen. The same seed draws the same.
func (f *File) DrawFaults(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0x64726177))
	from, window := f.WarmUp.Std(), f.Length.Std()*3/4-f.WarmUp.Std()
	zone := func() string { return f.Zones.Names[random.IntN(len(f.Zones.Names))] }
	choose := func(options ...string) string { return options[random.IntN(len(options))] }
	f.Faults = nil
	for range 2 + random.IntN(2) {
		offset := time.Duration(random.Float64() * float64(window) * 2 / 3)
		fault := Fault{Start: Duration(from + offset), Duration: Duration(time.Duration((0.3 + 0.7*random.Float64()) * float64(window-offset) / 2).Round(time.Millisecond))}
		switch fault.Kind = choose("site-lost", "site-lost", "site-cut", "site-cut", "way-slow", "way-lose", "way-reset", "stall", "kill", "drain", "proxy-kill", "deploy", "list-late", "origin-stop"); fault.Kind {
		case "site-lost":
			fault.Zone, fault.Mode, fault.Downtime, fault.NewIDs = zone(), choose("caches", "proxies", "together"), Duration(time.Second), random.IntN(3) == 0
			fault.Share, fault.Size, fault.LosesOrigin = []float64{0, 0, 0.5}[random.IntN(3)], 2*random.Float64(), fault.Zone == f.Zones.Names[0]
		case "site-cut":
			fault.Zone, fault.Mode = zone(), choose("both", "in", "out")
		case "way-slow":
			fault.Zone, fault.Mode, fault.Size = zone(), choose("both", "in", "out"), 0.02+0.1*random.Float64()
		case "way-lose", "way-reset":
			fault.Zone, fault.Mode, fault.Size = zone(), choose("both", "in", "out"), 0.1+0.5*random.Float64()
		case "stall":
			fault.Count = 1 + random.IntN(max(f.Proxies.Count/2, 1))
		case "kill", "drain":
			fault.Share = 0.1 + 0.2*random.Float64()
		case "proxy-kill":
			fault.Share, fault.Downtime, fault.Duration = 0.1+0.4*random.Float64(), fault.Duration, 0
		case "deploy":
			fault.Share, fault.BatchShare, fault.Downtime, fault.Duration = 0.6, 0.2, Duration(500*time.Millisecond), 0
		case "list-late":
			fault.Size = 1 + 2*random.Float64()
		case "origin-stop":
			fault.Duration = min(fault.Duration, Duration(3*time.Second))
		}
		f.Faults = append(f.Faults, fault)
	}
}
