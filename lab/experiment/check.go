package experiment

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"
)

// Defaults is a small calm deployment; a file names what differs.
func Defaults() *File {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return &File{Seed: 1, Length: ms(20000), WarmUp: ms(2000),
		Proxies: Proxies{Count: 3, Cores: 1, MemoryMB: 64, Sockets: 1024},
		Caches: Caches{Count: 9, Mode: "aside", Cores: 3, Queue: 32, MemoryMB: 2, Connections: 512, Handshake: ms(1), ColdFrom: 0.3,
			WarmUp: ms(8000), Cancel: "all", ReportEvery: ms(200), Full: true},
		Origin:  Origin{Cores: 8, Queue: 200, Work: ms(20), Thrash: 0.1},
		Zones:   Zones{Names: []string{"a"}},
		List:    List{Late: ms(1000)},
		Keys:    Keys{Count: 20000, ZipfExponent: 1.05},
		Load:    Load{Rate: 300},
		Clients: Clients{Retries: 2, RetryDelay: ms(50), TryTimeoutShare: 0.7, LeaveShare: 0.02, RetryAfterShare: 0.7, MarkRetries: true},
		Balancer:   Front{DetectionDelay: ms(2000)},
		Rules: Rules{Grace: ms(2000), FallMultiple: 3, TipAfter: ms(3000), MostPushes: 5, MaxRetryAfter: ms(2000),
			Slack: ms(100)},
	}
}

// fill gives lists that a file left out their plain content.
func (f *File) fill() {
	if len(f.Categories) == 0 {
		f.Categories = []Category{{Name: "read", Share: 1, Work: Duration(10 * time.Millisecond), Benefit: 1}}
	}
	for i := range f.Categories {
		c := &f.Categories[i]
		if c.Effect == "" {
			c.Effect = "redeliverable"
		}
		if c.DedupGroup == "" {
			c.DedupGroup = "all"
		}
		if c.Target == 0 {
			c.Target = Duration(200 * time.Millisecond)
		}
		if c.TTL == 0 {
			c.TTL = 2 * c.Target
		}
		if c.DedupWindow == 0 {
			c.DedupWindow = Duration(5 * time.Second)
		}
		if c.Size == 0 {
			c.Size = 200
		}
	}
	if len(f.Tenants) == 0 {
		f.Tenants = []Tenant{{Name: "all", Share: 1, Quota: 4 * f.Load.Rate}}
	}
}

// units finds spans that were written as bare numbers, which the decoder takes for nanoseconds.
func units(v reflect.Value, path string, bad func(field string)) {
	for i := range v.NumField() {
		tag, of := v.Type().Field(i).Tag.Get("toml"), v.Field(i)
		switch {
		case tag == "":
		case of.Type() == reflect.TypeOf(Duration(0)):
			if of.Int() != 0 && time.Duration(of.Int()).Abs() < time.Microsecond {
				bad(path + tag)
			}
		case of.Kind() == reflect.Struct:
			units(of, path+tag+".", bad)
		case of.Kind() == reflect.Slice && of.Type().Elem().Kind() == reflect.Struct:
			for n := range of.Len() {
				units(of.Index(n), fmt.Sprintf("%s%s[%d].", path, tag, n), bad)
			}
		}
	}
}

// check names the first field that is out of its bounds, by file and line.
func (f *File) check() error {
	var err error
	must := func(field string, ok bool, format string, args ...any) {
		if err == nil && !ok {
			err = fmt.Errorf("%s:%d: %s: %s", f.path, f.lines[field], field, fmt.Sprintf(format, args...))
		}
	}
	in := func(field string, v, from, to float64) {
		must(field, v >= from && v <= to, "%v is not from %v to %v", v, from, to)
	}
	span := func(field string, v Duration, from, to time.Duration) {
		must(field, v.Std() >= from && v.Std() <= to, "%v is not from %v to %v", v.Std(), from, to)
	}
	one := func(field, v string, of ...string) {
		ok := false
		for _, o := range of {
			ok = ok || v == o
		}
		must(field, ok, "%q is none of %s", v, strings.Join(of, ", "))
	}
	units(reflect.ValueOf(f).Elem(), "", func(field string) { must(field, false, "a span of time without its unit") })
	must("name", f.Name != "" && !strings.ContainsAny(f.Name, "/\\ "), "a name without blanks or slashes is wanted")
	span("length", f.Length, time.Second, 24*time.Hour)
	span("warm", f.WarmUp, 0, f.Length.Std()-time.Second)
	in("proxies.count", float64(f.Proxies.Count), 1, 64)
	in("proxies.cores", f.Proxies.Cores, 0.05, 64)
	in("proxies.memory_mb", float64(f.Proxies.MemoryMB), 16, 4096)
	in("proxies.doubt", f.Proxies.Doubt, 0, 1)
	in("proxies.sockets", float64(f.Proxies.Sockets), 64, 20000)
	in("caches.count", float64(f.Caches.Count), 1, 3200)
	span("list.every", f.List.Every, 0, time.Minute)
	one("caches.mode", f.Caches.Mode, "aside", "through")
	in("caches.cores", float64(f.Caches.Cores), 1, 256)
	in("caches.queue", float64(f.Caches.Queue), 0, 10000)
	in("caches.memory_mb", f.Caches.MemoryMB, 0.01, 1024)
	in("caches.connections", float64(f.Caches.Connections), 1, 20000)
	in("caches.cold_from", f.Caches.ColdFrom, 0.01, 1)
	in("caches.small", f.Caches.Small, 0, 1)
	one("caches.cancel", f.Caches.Cancel, "all", "queued", "none")
	span("caches.report_every", f.Caches.ReportEvery, time.Millisecond, time.Minute)
	in("origin.cores", float64(f.Origin.Cores), 1, 1000)
	span("origin.work", f.Origin.Work, 0, time.Minute)
	in("zones.names", float64(len(f.Zones.Names)), 1, 8)
	span("zones.delay", f.Zones.Delay, 0, time.Second)
	in("keys.count", float64(f.Keys.Count), 1, 1e8)
	in("keys.zipf", f.Keys.ZipfExponent, 1.0001, 5)
	in("keys.drift", f.Keys.DriftPerSecond, 0, 1)
	in("load.rate", f.Load.Rate, 0.1, 50000)
	in("clients.retries", float64(f.Clients.Retries), 0, 20)
	in("clients.patience", f.Clients.TryTimeoutShare, 0.01, 1)
	in("clients.leave", f.Clients.LeaveShare, 0, 1)
	in("clients.heed", f.Clients.RetryAfterShare, 0, 1)
	in("rules.most_pushes", float64(f.Rules.MostPushes), 1, 20)
	zones := map[string]bool{"": true}
	for _, z := range f.Zones.Names {
		zones[z] = true
	}
	tenants := map[string]bool{}
	for i, t := range f.Tenants {
		at := fmt.Sprintf("tenant[%d].", i)
		must(at+"name", t.Name != "" && !tenants[t.Name] && !strings.ContainsAny(t.Name, ",= "), "a name of its own is wanted")
		tenants[t.Name] = true
		in(at+"share", t.Share, 0, 1)
	}
	sum := 0.0
	for i, c := range f.Categories {
		at := fmt.Sprintf("category[%d].", i)
		must(at+"name", c.Name != "" && !strings.ContainsAny(c.Name, ",= "), "a name is wanted")
		one(at+"effect", c.Effect, "redeliverable", "deduplicated", "at-most-once")
		one(at+"group", c.DedupGroup, "all", "zone")
		span(at+"work", c.Work, 0, time.Minute)
		span(at+"target", c.Target, time.Millisecond, time.Hour)
		span(at+"ttl", c.TTL, c.Target.Std(), time.Hour)
		in(at+"size", float64(c.Size), 1, 4<<20)
		in(at+"benefit", c.Benefit, 0, 1e6)
		sum += c.Share
	}
	must("category[0].share", sum > 0.999 && sum < 1.001, "the shares sum up to %v, not to 1", sum)
	for i, x := range f.Faults {
		at := fmt.Sprintf("fault[%d].", i)
		if _, ok := Kinds[x.Kind]; !ok {
			names := []string{}
			for k := range Kinds {
				names = append(names, k)
			}
			sort.Strings(names)
			must(at+"kind", false, "%q is none of %s", x.Kind, strings.Join(names, ", "))
		}
		span(at+"at", x.Start, 0, f.Length.Std())
		in(at+"share", x.Share, 0, 1)
		in(at+"count", float64(x.Count), 0, 1000)
		must(at+"count", x.Count == 0 || x.Share == 0, "count and share exclude each other")
		must(at+"zone", zones[x.Zone], "no zone %q", x.Zone)
		must(at+"size", Kinds[x.Kind] == "" || x.Size > 0, "%s wants a size: %s", x.Kind, Kinds[x.Kind])
		if x.Kind == "proxy-waves" {
			one(at+"by", x.By, "term", "kill", "upgrade", "mixed")
			must(at+"for", x.Duration > 0, "waves want a span over which they go on")
		}
		must(at+"to", zones[x.To] && (x.To == "" || x.To != x.Zone && strings.HasPrefix(x.Kind, "way-")), "%q is no other zone of a way", x.To)
		if x.Kind == "proxy-signals" {
			one(at+"by", x.By, Signals...)
		}
		if x.Kind == "crowd" {
			in(at+"size", x.Size, 1, 5000)
			must(at+"for", x.Duration > 0, "a span is wanted")
		}
		if strings.HasPrefix(x.Kind, "site-") {
			must(at+"zone", x.Zone != "", "a site is wanted")
			must(at+"for", x.Duration > 0, "a span is wanted")
		}
		if strings.HasPrefix(x.Kind, "way-") || x.Kind == "list-lies" {
			must(at+"zone", x.Zone != "", "a zone is wanted")
		}
		if x.Kind == "site-cut" || strings.HasPrefix(x.Kind, "way-") {
			one(at+"by", x.By, "", "both", "in", "out")
		}
		if x.Kind == "site-lost" {
			one(at+"by", x.By, "", "caches", "proxies", "together")
		}
		if x.Kind == "stall" || x.Kind == "throttle" {
			must(at+"for", x.Duration > 0, "a span is wanted")
		}
		if x.Kind == "throttle" {
			in(at+"size", x.Size, 0.01, 1)
		}
		must(at+"name", x.Kind != "runaway" && x.Kind != "impatient" || x.Name == "" || tenants[x.Name], "no tenant %q", x.Name)
	}
	return err
}
