package site

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"minttray/decide/circle"
)

// Category is a kind of op, as the plan sees it.
type Category struct {
	Name     string
	Share    float64 // of all ops
	Benefit  float64 // of one op in time
	Work     float64 // core seconds at a cache, of a hit
	Write    bool    // it goes on to the origin, whatever is kept
	Beyond   float64 // share of its ops that lie beyond their tenants' shares
	Discount float64 // part of its benefit that such an op keeps
}

// Cache is one cache, as the list names it.
type Cache struct {
	ID     uint64
	Site   int
	Weight float64 // as the list has it: it draws keys in proportion
	Work   float64 // core seconds that it does in a second
	Keys   float64 // that it holds
}

// Site is a place with caches, proxies and clients.
type Site struct {
	Name    string
	Ops     float64 // that its clients ask for in a second
	Proxies int
}

// Terms are what the deployment is held to.
type Terms struct {
	ColdFrom     float64 // share of its capacity that a cache has surely reached at its start
	WarmUp       float64 // seconds until it has all
	FallMultiple float64 // of what it can do then, for TipAfter seconds: more pushes a cold cache over
	TipAfter     float64
}

// Deployment is all that the plan goes by.
type Deployment struct {
	Sites      []Site
	Caches     []Cache
	Categories []Category
	Terms
	Origin   int     // its site
	Fetches  float64 // that it does in a second
	MissWork float64 // of a hit's work, for a miss
	Hits     float64 // share of the reads that hit with all caches there and warm
	KeyCount     float64 // that there are
	ZipfExponent     float64 // exponent of their popularity, over 1
	ZipfOffset     float64 // so many of the most popular are about alike
	Full     float64 // share of the caches' work that may be planned with
}

// Loss is what is gone: sites, or the ways between one site and all others.
type Loss struct {
	Sites []int
	Cut   bool // that one goes on by itself; what is planned is its own part
}

// Phase is what is served in one part of a loss.
type Phase struct {
	Name     string
	Hits     float64   // share of the reads that find their key kept, of those that caches are asked for
	Asked    Room      // work and fetches a second, if nothing were refused
	Has      Room      // what there is
	Served   float64   // share of the benefit
	By       []float64 // share of the ops served, by category
	Refused  []string  // rungs in the order in which they are refused, as far as anything of them is
	Short    []string  // what is missing, named; empty: all is served
	MostLoad float64   // of the busiest cache, in parts of what it can do, if nothing were refused
}

// Step is a part of the return.
type Step struct {
	From  float64 // seconds after the caches came back
	Cold  float64 // core seconds a second that all proxies together may push to each returned cache, in parts of what it can do warm
	Seats float64 // share of the returned caches' keys that may have gone back by then
}

// Plan is what a loss comes to.
type Plan struct {
	Lost    []string
	Cut     bool
	Moved   float64     // share of all keys that go elsewhere
	Load    []float64   // share of all keys at each cache that is left
	Ops     []float64   // ops a second at each site's proxies, once clients have gone on
	Across  [][]float64 // ops a second from the proxies of a site to caches of another
	Phases  [3]Phase    // at once, while moved keys are cold; once the origin has filled them; as the caches come back
	Filled  float64     // seconds until the second, at best: what is fetched beyond the steady rate fills the moved keys
	Steps   []Step      // of the return
	Returns float64     // seconds from the caches' return until all is as before, at best
}

// Bounds of what is planned for.
const (
	mostSites, mostCaches, mostCategories = 64, 4096, 16
	sample                                = 1 << 14 // keys that are placed, to see where all go
	slots, least                          = 4, 1024 // the module's circle: s0, and seats at least
	steps                                 = 4       // of a return
)

// Check names the first figure that can't be planned with.
func (d *Deployment) Check() error {
	in := func(name string, v, from, to float64) error {
		if !(v >= from && v <= to) {
			return fmt.Errorf("%s: %v is not %v to %v", name, v, from, to)
		}
		return nil
	}
	err := errors.Join(in("sites", float64(len(d.Sites)), 1, mostSites), in("caches", float64(len(d.Caches)), 1, mostCaches),
		in("categories", float64(len(d.Categories)), 1, mostCategories), in("origin.fetches", d.Fetches, 0, 1e9),
		in("origin.site", float64(d.Origin), 0, float64(len(d.Sites)-1)),
		in("hits", d.Hits, 0, 1), in("keys.count", d.KeyCount, 1, 1e12), in("keys.zipf", d.ZipfExponent, 0, 10), in("keys.flat", d.ZipfOffset, 0, 1e9),
		in("full", d.Full, 0.01, 1), in("cold.from", d.ColdFrom, 0, 1), in("cold.warm_up", d.WarmUp, 0, 1e6), in("cold.fall_multiple", d.FallMultiple, 0, 1e3))
	for _, s := range d.Sites {
		err = errors.Join(err, in("ops of "+s.Name, s.Ops, 0, 1e9), in("proxies of "+s.Name, float64(s.Proxies), 0, 1e6))
	}
	sum := 0.0
	for _, c := range d.Categories {
		err = errors.Join(err, in("share of "+c.Name, c.Share, 0, 1), in("benefit of "+c.Name, c.Benefit, 0, 1e9), in("work of "+c.Name, c.Work, 0, 1e6))
		sum += c.Share
	}
	for _, c := range d.Caches {
		err = errors.Join(err, in("site of a cache", float64(c.Site), 0, float64(len(d.Sites)-1)), in("weight of a cache", c.Weight, 1e-9, 1e9),
			in("work of a cache", c.Work, 0, 1e9), in("keys of a cache", c.Keys, 0, 1e12))
	}
	return errors.Join(err, in("the categories' shares together", sum, 0.999, 1.001))
}

// place is the share of all keys that each cache is the first choice for, by the placement arithmetic.
func place(caches []Cache) (keys []int, share []float64) {
	m, heaviest := least, 0.0
	for m < 2*len(caches) {
		m *= 2
	}
	c, seats := circle.New(slots, m), make([]int, m)
	for i := range seats {
		seats[i] = -1
	}
	for i, x := range caches {
		seats[circle.AssignBucket(x.ID, m, func(at int) bool { return seats[at] < 0 })] = i
		heaviest = max(heaviest, x.Weight)
	}
	keys, share = make([]int, sample), make([]float64, len(caches))
	for n := range keys {
		key := circle.Mix(uint64(n), 1)
		for salt := uint64(0); ; salt++ {
			if i := seats[c.BucketFor(key, salt)]; i >= 0 && float64(circle.Mix(key, ^salt)>>32) < caches[i].Weight/heaviest*(1<<32) || salt > 64*uint64(m) {
				keys[n] = max(i, 0)
				break
			}
		}
		share[keys[n]] += 1.0 / sample
	}
	return keys, share
}

// TopKeysShare is the share of all ops that ask for the n most popular keys.
func (d *Deployment) TopKeysShare(n float64) float64 {
	return d.sum(min(max(n, 0), d.KeyCount), d.ZipfExponent) / d.sum(d.KeyCount, d.ZipfExponent)
}

// sum is that of (k+flat)^-power for k from 1 to n, by its integral.
func (d *Deployment) sum(n, power float64) float64 {
	f := d.ZipfOffset + 0.5
	if math.Abs(power-1) < 1e-9 {
		return math.Log((n + f) / f)
	}
	return (math.Pow(n+f, 1-power) - math.Pow(f, 1-power)) / (1 - power)
}

// hits is the share of reads that so many kept keys answer, by what is known to hit with all.
func (d *Deployment) hits(kept, all float64) float64 {
	if all <= 0 || kept >= all {
		return d.Hits
	}
	return d.Hits * d.TopKeysShare(kept) / max(d.TopKeysShare(all), 1e-12)
}

// For is the plan for a loss.
func (d *Deployment) For(l Loss) Plan {
	gone := func(site int) bool { return slices.Contains(l.Sites, site) != l.Cut }
	p := Plan{Cut: l.Cut, Ops: make([]float64, len(d.Sites)), Across: make([][]float64, len(d.Sites))}
	for _, s := range l.Sites {
		p.Lost = append(p.Lost, d.Sites[s].Name)
	}
	var left []Cache
	var room Room
	kept, total := 0.0, 0.0
	for _, c := range d.Caches {
		if total += c.Keys; !gone(c.Site) {
			left, kept, room.Work = append(left, c), kept+c.Keys, room.Work+c.Work*d.Full
		}
	}
	if !gone(d.Origin) {
		room.Fetches = d.Fetches
	}
	// Keys: where each goes, and how many of all.
	before, _ := place(d.Caches)
	if len(left) > 0 {
		now, share := place(left)
		p.Load = share
		for n := range now {
			if was := d.Caches[before[n]]; was.ID != left[now[n]].ID {
				p.Moved += 1.0 / sample
			}
		}
	} else {
		p.Moved = 1
	}
	// Clients: those of a lost site go to the proxies that are left, evenly; one that is cut off serves its own.
	proxies, homeless, ops := 0, 0.0, 0.0
	for i, s := range d.Sites {
		if !gone(i) && s.Proxies > 0 {
			p.Ops[i], proxies = s.Ops, proxies+s.Proxies
		} else if !l.Cut {
			homeless += s.Ops
		}
	}
	for i, s := range d.Sites {
		if !gone(i) && proxies > 0 {
			p.Ops[i] += homeless * float64(s.Proxies) / float64(proxies)
		}
		ops += p.Ops[i]
		p.Across[i] = make([]float64, len(d.Sites))
		for n, c := range left {
			p.Across[i][c.Site] += p.Ops[i] * p.Load[n]
		}
	}
	asked := ops // by the clients that a plan is for
	if proxies == 0 && !l.Cut {
		asked = homeless
	}
	settled := d.hits(kept, total)
	if len(left) == 0 {
		settled = 0
	}
	cold := settled * (1 - p.Moved)
	filled := settled
	if room.Fetches == 0 { // nothing fills what has moved
		filled = cold
	}
	back := Room{room.Work, d.Fetches}
	for _, c := range d.Caches {
		if gone(c.Site) {
			back.Work += c.Work * d.Full * d.ColdFrom
		}
	}
	p.Phases[0] = d.phase("at once", asked, cold, room, left, p.Load)
	p.Phases[1] = d.phase("settled", asked, filled, room, left, p.Load)
	// As the caches come back their seats are given back no faster than they can take them: the caches that stood in for them
	// still have the keys, so hits stay as they are and only work grows.
	p.Phases[2] = d.phase("return", asked, settled, back, left, p.Load)
	p.fill(d, asked, cold, settled, room)
	p.back(d)
	return p
}

// phase is what is served when so many reads hit.
func (d *Deployment) phase(name string, ops, hits float64, room Room, left []Cache, load []float64) Phase {
	p := Phase{Name: name, Hits: hits, Has: room}
	var rungs []Rung
	var names []string
	var whose []int
	worth := 0.0
	add := func(c int, name string, r Rung) {
		if r.Rate > 0 {
			rungs, names, whose = append(rungs, r), append(names, name), append(whose, c)
			p.Asked.Work, p.Asked.Fetches = p.Asked.Work+r.Rate*r.Work, p.Asked.Fetches+r.Rate*r.Fetches
			worth += r.Rate * r.Benefit
		}
	}
	for i, c := range d.Categories {
		for _, part := range []struct {
			name         string
			share, keeps float64
		}{{"", 1 - c.Beyond, 1}, {", beyond its share", c.Beyond, c.Discount}} {
			rate, benefit := ops*c.Share*part.share, c.Benefit*part.keeps
			if c.Write {
				add(i, c.Name+part.name, Rung{rate, benefit, c.Work * d.MissWork, 1})
				continue
			}
			add(i, c.Name+part.name+", hits", Rung{rate * hits, benefit, c.Work, 0})
			add(i, c.Name+part.name+", fetches", Rung{rate * (1 - hits), benefit, c.Work * d.MissWork, 1})
		}
	}
	served, order := Ladder(rungs, room)
	p.By = make([]float64, len(d.Categories))
	got := 0.0
	for i, r := range rungs {
		got += served[i] * r.Rate * r.Benefit
		p.By[whose[i]] += served[i] * r.Rate / max(ops*d.Categories[whose[i]].Share, 1e-12)
	}
	for _, i := range order {
		if served[i] < 1-tie {
			p.Refused = append(p.Refused, fmt.Sprintf("%s (%.0f%%)", names[i], 100*(1-served[i])))
		}
	}
	if p.Served = 1; worth > 0 {
		p.Served = got / worth
	}
	if p.Asked.Work > room.Work*(1+tie) {
		p.Short = append(p.Short, fmt.Sprintf("caches: %.2f cores are asked for, %.2f are there", p.Asked.Work, room.Work))
	}
	if p.Asked.Fetches > room.Fetches*(1+tie) {
		p.Short = append(p.Short, fmt.Sprintf("origin: %.0f fetches a second are asked for, %.0f are there", p.Asked.Fetches, room.Fetches))
	}
	for i, c := range left {
		if c.Work > 0 {
			p.MostLoad = max(p.MostLoad, p.Asked.Work*load[i]/c.Work)
		}
	}
	return p
}

// fill is how soon the origin can have filled what has moved: fetches beyond the steady rate go to cold keys as they are asked
// for, so that each brings back the popularity of a key drawn by popularity from those still cold.
func (p *Plan) fill(d *Deployment, ops, cold, settled float64, room Room) {
	if room.Work == 0 || room.Fetches == 0 {
		p.Filled = math.Inf(1)
		return
	} else if settled <= cold {
		return
	}
	reads, kept := 0.0, 0.0
	for _, c := range d.Categories {
		if !c.Write {
			reads += ops * c.Share
		}
	}
	for _, c := range d.Caches {
		kept += c.Keys
	}
	kept = min(kept, d.KeyCount)
	gap, steady := settled-cold, p.Phases[1].Asked.Fetches
	whole, rank := gap, 0.0
	for at := 0.0; at < longest; at += tick {
		if reads*gap <= max(steady, reads*whole*rest) {
			p.Filled = at
			return
		}
		// Those still cold are, about, the less popular ones: their mean popularity, drawn by popularity.
		for rank < kept && 1-d.TopKeysShare(rank)/d.TopKeysShare(kept) > gap/whole {
			rank = rank*1.1 + 1
		}
		each := d.squares(rank, kept) / max(d.TopKeysShare(kept)-d.TopKeysShare(rank), 1e-12)
		fetches := min(reads*gap, room.Fetches-steady)
		if fetches <= 0 {
			break
		}
		gap -= fetches * tick * each * settled / max(d.TopKeysShare(kept), 1e-12)
	}
	p.Filled = math.Inf(1)
}

const (
	longest = 600.0 // seconds that a plan looks ahead
	tick    = 0.1
	rest    = 0.1 // of the gap: less is no matter, where the steady rate is next to nothing
)

// squares is the sum of the squared popularity of keys from one rank to another.
func (d *Deployment) squares(from, to float64) float64 {
	all := d.sum(d.KeyCount, d.ZipfExponent)
	return max(d.sum(to, 2*d.ZipfExponent)-d.sum(from, 2*d.ZipfExponent), 0) / max(all*all, 1e-12)
}

// back paces the return: a cold cache is pushed to no more than a part of what pushes it over, and its seats go back as it
// warms; what it lacks is filled as it was at the caches that stood in.
func (p *Plan) back(d *Deployment) {
	for n := range steps + 1 {
		at := float64(n) / steps
		share := d.ColdFrom + (1-d.ColdFrom)*at
		p.Steps = append(p.Steps, Step{From: at * d.WarmUp, Cold: min(margin*d.FallMultiple*share, 1), Seats: share})
	}
	p.Returns = max(d.WarmUp, p.Filled)
}

// margin is the part of what pushes a cold cache over that the proxies of a fleet together may use.
const margin = 0.7
