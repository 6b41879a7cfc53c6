// Package plan reads the description of a deployment, from which the loss of a site is planned, and writes plans as text and as
// JSON. The description is a TOML file; unknown fields are errors.
package plan

import (
	"fmt"
	"os"
	"time"

	"minttray/decide/circle"
	"minttray/decide/site"
	"minttray/strict"
)

// File is the description of a deployment. Durations are strings with a unit, such as "250ms".
type File struct {
	Full float64 `toml:"full"` // share of the caches' cores that a plan may use, 0.01 to 1; default 0.9
	Keys struct {
		Count float64 `toml:"count"`
		Zipf  float64 `toml:"zipf"` // exponent of the keys' popularity
		Flat  float64 `toml:"flat"` // about how many of the most popular keys are equally popular: site.Deployment.ZipfOffset
		Hits  float64 `toml:"hits"` // share of reads that hit with all caches present and warm
	} `toml:"keys"`
	Origin struct {
		Site     string  `toml:"site"`
		Fetches  float64 `toml:"fetches"`   // per second that the origin can serve
		MissWork float64 `toml:"miss_work"` // work of a miss at a cache as a multiple of that of a hit
	} `toml:"origin"`
	Cold struct {
		From     float64 `toml:"from"`          // share of its capacity, 0 to 1, that a cache has at its start
		WarmUp   string  `toml:"warm_up"`       // duration until it has its whole capacity
		Multiple float64 `toml:"fall_multiple"` // load, as a multiple of its current capacity, at which a cache fails after tip_after
		TipAfter string  `toml:"tip_after"`     // how long a cache withstands a load of fall_multiple
	} `toml:"cold"`
	Site []struct {
		Name    string  `toml:"name"`
		Ops     float64 `toml:"ops"` // per second, of its clients
		Proxies int     `toml:"proxies"`
	} `toml:"site"`
	Cache []struct {
		Name   string  `toml:"name"`
		Site   string  `toml:"site"`
		Weight float64 `toml:"weight"` // share of keys relative to other caches; 0 or missing means 1
		Cores  float64 `toml:"cores"`
		Keys   float64 `toml:"keys"` // number that it holds
	} `toml:"cache"`
	Category []struct {
		Name     string  `toml:"name"`
		Share    float64 `toml:"share"` // of all ops
		Benefit  float64 `toml:"benefit"`
		Work     string  `toml:"work"`     // CPU time of a hit at a cache, as a duration
		Write    bool    `toml:"write"`    // each op goes to the origin
		Beyond   float64 `toml:"beyond"`   // share of its ops that are beyond their tenants' quotas
		Discount float64 `toml:"discount"` // factor on the benefit of such an op: 0.3 keeps 30%
	} `toml:"category"`
}

// defaultUsableShare is the value of "full" if a file has none.
const defaultUsableShare = 0.9

// Read reads a file. Errors of syntax and of single fields name file, line and field; the line is 0 if the field is missing.
// Others name the file.
func Read(path string) (*site.Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, string(text))
}

// Decode decodes and checks the text of a file; path appears in errors.
func Decode(path, text string) (*site.Deployment, error) {
	f := &File{Full: defaultUsableShare}
	f.Cold.WarmUp, f.Cold.TipAfter = "0s", "0s"
	if err := strict.Decode(path, text, f); err != nil {
		return nil, err
	}
	lines := strict.Lines(text)
	fieldError := func(field, format string, args ...any) error {
		return fmt.Errorf("%s:%d: %s: %s", path, lines[field], field, fmt.Sprintf(format, args...))
	}
	var durationErr error // error of the first invalid duration
	parseSeconds := func(field, text string) float64 {
		d, err := time.ParseDuration(text)
		if durationErr == nil && (err != nil || d < 0) {
			durationErr = fieldError(field, "%q is not a duration of 0 or more with a unit, such as \"250ms\"", text)
		}
		return d.Seconds()
	}
	d := &site.Deployment{
		UsableShare:   f.Full,
		KeyCount:      f.Keys.Count,
		ZipfExponent:  f.Keys.Zipf,
		ZipfOffset:    f.Keys.Flat,
		HitRatio:      f.Keys.Hits,
		OriginFetches: f.Origin.Fetches,
		MissWorkRatio: f.Origin.MissWork,
		Contract: site.Contract{
			ColdFrom:     f.Cold.From,
			WarmUp:       parseSeconds("cold.warm_up", f.Cold.WarmUp),
			FallMultiple: f.Cold.Multiple,
			TipAfter:     parseSeconds("cold.tip_after", f.Cold.TipAfter),
		},
	}
	sites := map[string]int{} // index in d.Sites by name
	for i, s := range f.Site {
		if _, duplicate := sites[s.Name]; duplicate || s.Name == "" {
			return nil, fieldError(fmt.Sprintf("site[%d].name", i), "%q is empty or used by another site", s.Name)
		}
		sites[s.Name] = i
		d.Sites = append(d.Sites, site.Site{Name: s.Name, OpRate: s.Ops, Proxies: s.Proxies})
	}
	originSite, known := sites[f.Origin.Site]
	if !known {
		return nil, fieldError("origin.site", "unknown site %q", f.Origin.Site)
	}
	d.OriginSite = originSite
	cacheNames := map[string]bool{}
	for i, c := range f.Cache {
		field := fmt.Sprintf("cache[%d].", i)
		cacheSite, known := sites[c.Site]
		if !known {
			return nil, fieldError(field+"site", "unknown site %q", c.Site)
		}
		if cacheNames[c.Name] || c.Name == "" {
			return nil, fieldError(field+"name", "%q is empty or used by another cache", c.Name)
		}
		cacheNames[c.Name] = true
		if c.Weight == 0 {
			c.Weight = 1
		}
		d.Caches = append(d.Caches, site.Cache{
			ID:          uint64(circle.ID(c.Name)),
			Site:        cacheSite,
			Weight:      c.Weight,
			Cores:       c.Cores,
			KeyCapacity: c.Keys,
		})
	}
	for i, c := range f.Category {
		d.Categories = append(d.Categories, site.Category{
			Name:            c.Name,
			Share:           c.Share,
			Benefit:         c.Benefit,
			Work:            parseSeconds(fmt.Sprintf("category[%d].work", i), c.Work),
			Write:           c.Write,
			OverQuotaShare:  c.Beyond,
			OverQuotaFactor: c.Discount,
		})
	}
	if durationErr != nil {
		return nil, durationErr
	}
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}
