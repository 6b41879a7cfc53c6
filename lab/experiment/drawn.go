package experiment

import (
	"math/rand/v2"
	"time"
)

// Draw puts a timeline that is drawn from a seed in the place of the file's: two or three faults of places, ways and processes,
// which may overlap, over by three quarters of the run, so that what follows them is seen. The same seed draws the same.
func (f *File) Draw(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 0x64726177))
	from, room := f.WarmUp.Std(), f.Length.Std()*3/4-f.WarmUp.Std()
	zone := func() string { return f.Zones.Names[rnd.IntN(len(f.Zones.Names))] }
	some := func(of ...string) string { return of[rnd.IntN(len(of))] }
	f.Faults = nil
	for range 2 + rnd.IntN(2) {
		at := time.Duration(rnd.Float64() * float64(room) * 2 / 3)
		x := Fault{Start: Duration(from + at), Duration: Duration(time.Duration((0.3 + 0.7*rnd.Float64()) * float64(room-at) / 2).Round(time.Millisecond))}
		switch x.Kind = some("site-lost", "site-lost", "site-cut", "site-cut", "way-slow", "way-lose", "way-reset", "stall", "kill", "drain", "proxy-kill", "deploy", "list-late", "origin-stop"); x.Kind {
		case "site-lost":
			x.Zone, x.By, x.Down, x.Anew = zone(), some("caches", "proxies", "together"), Duration(time.Second), rnd.IntN(3) == 0
			x.Share, x.Size, x.Origin = []float64{0, 0, 0.5}[rnd.IntN(3)], 2*rnd.Float64(), x.Zone == f.Zones.Names[0]
		case "site-cut":
			x.Zone, x.By = zone(), some("both", "in", "out")
		case "way-slow":
			x.Zone, x.By, x.Size = zone(), some("both", "in", "out"), 0.02+0.1*rnd.Float64()
		case "way-lose", "way-reset":
			x.Zone, x.By, x.Size = zone(), some("both", "in", "out"), 0.1+0.5*rnd.Float64()
		case "stall":
			x.Count = 1 + rnd.IntN(max(f.Proxies.Count/2, 1))
		case "kill", "drain":
			x.Share = 0.1 + 0.2*rnd.Float64()
		case "proxy-kill":
			x.Share, x.Down, x.Duration = 0.1+0.4*rnd.Float64(), x.Duration, 0
		case "deploy":
			x.Share, x.Batch, x.Down, x.Duration = 0.6, 0.2, Duration(500*time.Millisecond), 0
		case "list-late":
			x.Size = 1 + 2*rnd.Float64()
		case "origin-stop":
			x.Duration = min(x.Duration, Duration(3*time.Second))
		}
		f.Faults = append(f.Faults, x)
	}
}
