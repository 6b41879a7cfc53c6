// Package plan reads what operators know of a deployment, for the plan of losing a site, and writes the plan for people and
// machines. The file is TOML, read strictly.
package plan

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"minttray/decide/circle"
	"minttray/decide/site"
	"minttray/strict"
)

// File is what operators know.
type File struct {
	Full float64 `toml:"full"` // share of the caches' work that may be planned with
	Keys struct {
		Count float64 `toml:"count"`
		Zipf  float64 `toml:"zipf"`
		Flat  float64 `toml:"flat"`
		Hits  float64 `toml:"hits"` // share of reads that hit today
	} `toml:"keys"`
	Origin struct {
		Site     string  `toml:"site"`
		Fetches  float64 `toml:"fetches"`   // a second
		MissWork float64 `toml:"miss_work"` // of a hit's work, for a miss at a cache
	} `toml:"origin"`
	Cold struct {
		From     float64 `toml:"from"`
		WarmUp   string  `toml:"warm_up"`
		Multiple float64 `toml:"fall_multiple"`
		TipAfter string  `toml:"tip_after"`
	} `toml:"cold"`
	Site []struct {
		Name    string  `toml:"name"`
		Ops     float64 `toml:"ops"` // a second, of its clients
		Proxies int     `toml:"proxies"`
	} `toml:"site"`
	Cache []struct {
		Name   string  `toml:"name"`
		Site   string  `toml:"site"`
		Weight float64 `toml:"weight"`
		Cores  float64 `toml:"cores"`
		Keys   float64 `toml:"keys"`
	} `toml:"cache"`
	Category []struct {
		Name     string  `toml:"name"`
		Share    float64 `toml:"share"`
		Benefit  float64 `toml:"benefit"`
		Work     string  `toml:"work"`
		Write    bool    `toml:"write"`
		Beyond   float64 `toml:"beyond"`
		Discount float64 `toml:"discount"`
	} `toml:"category"`
}

// Read reads a file. An error names file, line and field.
func Read(path string) (*site.Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, string(text))
}

// Decode takes a file's text apart.
func Decode(path, text string) (*site.Deployment, error) {
	f := &File{Full: 0.9}
	f.Cold.WarmUp, f.Cold.TipAfter = "0s", "0s"
	if err := strict.Decode(path, text, f); err != nil {
		return nil, err
	}
	lines := strict.Lines(text)
	wrong := func(field, what string, of ...any) error {
		return fmt.Errorf("%s:%d: %s: %s", path, lines[field], field, fmt.Sprintf(what, of...))
	}
	var bad error
	span := func(field, text string) float64 {
		d, err := time.ParseDuration(text)
		if bad == nil && (err != nil || d < 0) {
			bad = wrong(field, "%q is no span of time with a unit, such as \"250ms\"", text)
		}
		return d.Seconds()
	}
	sites := map[string]int{}
	d := &site.Deployment{Full: f.Full, KeyCount: f.Keys.Count, ZipfExponent: f.Keys.Zipf, ZipfOffset: f.Keys.Flat, Hits: f.Keys.Hits, Fetches: f.Origin.Fetches,
		MissWork: f.Origin.MissWork, Terms: site.Terms{ColdFrom: f.Cold.From, WarmUp: span("cold.warm_up", f.Cold.WarmUp),
			FallMultiple: f.Cold.Multiple, TipAfter: span("cold.tip_after", f.Cold.TipAfter)}}
	for i, s := range f.Site {
		if _, twice := sites[s.Name]; twice || s.Name == "" {
			return nil, wrong(fmt.Sprintf("site[%d].name", i), "%q is no name of its own", s.Name)
		}
		sites[s.Name] = i
		d.Sites = append(d.Sites, site.Site{Name: s.Name, Ops: s.Ops, Proxies: s.Proxies})
	}
	at, known := sites[f.Origin.Site]
	if !known {
		return nil, wrong("origin.site", "no site %q", f.Origin.Site)
	}
	d.Origin = at
	names := map[string]bool{}
	for i, c := range f.Cache {
		field := fmt.Sprintf("cache[%d].", i)
		at, known := sites[c.Site]
		if !known {
			return nil, wrong(field+"site", "no site %q", c.Site)
		}
		if names[c.Name] || c.Name == "" {
			return nil, wrong(field+"name", "%q is no name of its own", c.Name)
		}
		names[c.Name] = true
		if c.Weight == 0 {
			c.Weight = 1
		}
		d.Caches = append(d.Caches, site.Cache{ID: uint64(circle.ID(c.Name)), Site: at, Weight: c.Weight, Work: c.Cores, Keys: c.Keys})
	}
	for i, c := range f.Category {
		work := span(fmt.Sprintf("category[%d].work", i), c.Work)
		d.Categories = append(d.Categories, site.Category{Name: c.Name, Share: c.Share, Benefit: c.Benefit, Work: work, Write: c.Write,
			Beyond: c.Beyond, Discount: c.Discount})
	}
	if bad != nil {
		return nil, bad
	}
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// Losses are those that a plan is made for: each site, each pair, each site cut off; or only the loss of the named ones.
func Losses(d *site.Deployment, named []string) ([]site.Loss, error) {
	if len(named) > 0 {
		l := site.Loss{}
		for _, name := range named {
			at := -1
			for i, s := range d.Sites {
				if s.Name == name {
					at = i
				}
			}
			if at < 0 {
				return nil, fmt.Errorf("no site %q", name)
			}
			l.Sites = append(l.Sites, at)
		}
		return []site.Loss{l}, nil
	}
	var all []site.Loss
	for i := range d.Sites {
		all = append(all, site.Loss{Sites: []int{i}})
	}
	for i := range d.Sites {
		for j := range i {
			all = append(all, site.Loss{Sites: []int{j, i}})
		}
	}
	for i := range d.Sites {
		all = append(all, site.Loss{Sites: []int{i}, Cut: true})
	}
	return all, nil
}

// Name is what a plan is for, in words.
func Name(p site.Plan) string {
	if p.Cut {
		return strings.Join(p.Lost, ", ") + " cut off"
	}
	return "loss of " + strings.Join(p.Lost, " and ")
}

func seconds(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}

// Write writes plans for people.
func Write(w io.Writer, d *site.Deployment, plans []site.Plan) {
	for _, p := range plans {
		fmt.Fprintf(w, "%s: %.0f%% of all keys move; twice the steady fetches or less after %s; all as before %s after the return, at best\n", Name(p), 100*p.Moved,
			seconds(p.Filled), seconds(p.Returns))
		t := tabwriter.NewWriter(w, 2, 4, 2, ' ', 0)
		fmt.Fprint(t, "  \tserved\thits\tcores\tof\tfetches/s\tof\tbusiest cache\t")
		for _, c := range d.Categories {
			fmt.Fprintf(t, "%s\t", c.Name)
		}
		fmt.Fprintln(t)
		for _, f := range p.Phases {
			fmt.Fprintf(t, "  %s\t%.3f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f%%\t", f.Name, f.Served, f.Hits, f.Asked.Work, f.Has.Work, f.Asked.Fetches, f.Has.Fetches, 100*f.MostLoad)
			for _, by := range f.By {
				fmt.Fprintf(t, "%.3f\t", by)
			}
			fmt.Fprintln(t)
		}
		t.Flush()
		for _, f := range p.Phases {
			for _, short := range f.Short {
				fmt.Fprintf(w, "  %s: %s\n", f.Name, short)
			}
			if len(f.Refused) > 0 {
				fmt.Fprintf(w, "  %s, refused in this order: %s\n", f.Name, strings.Join(f.Refused, "; "))
			}
		}
		for i, ops := range p.Ops {
			if ops > 0 {
				fmt.Fprintf(w, "  proxies of %s: %.0f ops/s, of which", d.Sites[i].Name, ops)
				for j, n := range p.Across[i] {
					fmt.Fprintf(w, " %.0f to %s", n, d.Sites[j].Name)
				}
				fmt.Fprintln(w)
			}
		}
		if !p.Cut {
			fmt.Fprint(w, "  return, for all proxies together:")
			for _, s := range p.Steps {
				fmt.Fprintf(w, " from %.1f s %.0f%% of the seats, at most %.0f%% of a warm cache's work;", s.From, 100*s.Seats, 100*s.Cold)
			}
			fmt.Fprint(w, "\n")
		}
		fmt.Fprintln(w)
	}
}

// JSON writes plans for machines. What never comes is -1.
func JSON(w io.Writer, plans []site.Plan) error {
	for i := range plans {
		for _, at := range []*float64{&plans[i].Filled, &plans[i].Returns} {
			if math.IsInf(*at, 1) {
				*at = -1
			}
		}
	}
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	return out.Encode(plans)
}

// Borne tells whether all that is asked for is served in every part of a loss.
func Borne(p site.Plan) bool {
	for _, f := range p.Phases {
		if len(f.Short) > 0 {
			return false
		}
	}
	return true
}
