package experiment

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"
)

// Defaults returns a small deployment without faults, to which a file's fields are applied.
func Defaults() *File {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return &File{
		Seed:    1,
		Length:  ms(20000),
		WarmUp:  ms(2000),
		Proxies: Proxies{Count: 3, Cores: 1, MemoryMB: 64, Sockets: 1024},
		Caches: Caches{
			Count:             9,
			Mode:              "aside",
			Cores:             3,
			QueueLimit:        32,
			MemoryMB:          2,
			MaxConns:          512,
			HandshakeWork:     ms(1),
			ColdCapacityShare: 0.3,
			WarmUp:            ms(8000),
			CancelMode:        "all",
			ReportEvery:       ms(200),
			Prefilled:         true,
		},
		Origin:    Origin{Cores: 8, QueueLimit: 200, Work: ms(20), QueueSlowdown: 0.1},
		Zones:     Zones{Names: []string{"a"}},
		Discovery: Discovery{Delay: ms(1000)},
		Keys:      Keys{Count: 20000, ZipfExponent: 1.05},
		Load:      Load{Rate: 300},
		Clients: Clients{
			Retries:         2,
			RetryDelay:      ms(50),
			TryTimeoutShare: 0.7,
			LeaveShare:      0.02,
			RetryAfterShare: 0.7,
			MarkRetries:     true,
		},
		Balancer: Balancer{DetectionDelay: ms(2000)},
		Rules: Rules{
			DrainGrace:     ms(2000),
			OverloadFactor: 3,
			OverloadWindow: ms(3000),
			MaxPushes:      5,
			MaxRetryAfter:  ms(2000),
			Slack:          ms(100),
		},
	}
}

// applyDefaults sets the defaults of fields that a file left out in its categories, and adds a category and a tenant if there are none.
func (f *File) applyDefaults() {
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
		f.Tenants = []Tenant{{Name: "all", Share: 1, Quota: 4 * f.Load.Rate}} // a quota far above the load
	}
}

// findBareDurations reports nonzero durations below 1 µs, which were most likely written as numbers without a unit: the decoder reads these
// as nanoseconds. v is a struct and path the prefix of its fields.
func findBareDurations(v reflect.Value, path string, report func(field string)) {
	for i := range v.NumField() {
		tag, field := v.Type().Field(i).Tag.Get("toml"), v.Field(i)
		switch {
		case tag == "":
		case field.Type() == reflect.TypeOf(Duration(0)):
			if field.Int() != 0 && time.Duration(field.Int()).Abs() < time.Microsecond {
				report(path + tag)
			}
		case field.Kind() == reflect.Struct:
			findBareDurations(field, path+tag+".", report)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			for n := range field.Len() {
				findBareDurations(field.Index(n), fmt.Sprintf("%s%s[%d].", path, tag, n), report)
			}
		}
	}
}

// check returns an error for the first invalid field, with its file, and its line if the file contains the field (else 0).
func (f *File) check() error {
	var err error
	require := func(field string, ok bool, format string, args ...any) {
		if err == nil && !ok {
			err = fmt.Errorf("%s:%d: %s: %s", f.path, f.lines[field], field, fmt.Sprintf(format, args...))
		}
	}
	inRange := func(field string, v, from, to float64) {
		require(field, v >= from && v <= to, "%v is not between %v and %v", v, from, to)
	}
	durationInRange := func(field string, v Duration, from, to time.Duration) {
		require(field, v.Std() >= from && v.Std() <= to, "%v is not between %v and %v", v.Std(), from, to)
	}
	oneOf := func(field, v string, options ...string) {
		ok := false
		for _, option := range options {
			ok = ok || v == option
		}
		require(field, ok, "%q is none of %s", v, strings.Join(options, ", "))
	}
	findBareDurations(reflect.ValueOf(f).Elem(), "", func(field string) { require(field, false, "duration without a unit") })
	require("name", f.Name != "" && !strings.ContainsAny(f.Name, "/\\ "), "%q must not be empty or contain spaces, slashes or backslashes", f.Name)
	durationInRange("length", f.Length, time.Second, 24*time.Hour)
	durationInRange("warm", f.WarmUp, 0, f.Length.Std()-time.Second)
	inRange("proxies.count", float64(f.Proxies.Count), 1, 64)
	inRange("proxies.cores", f.Proxies.Cores, 0.05, 64)
	inRange("proxies.memory_mb", float64(f.Proxies.MemoryMB), 16, 4096)
	inRange("proxies.doubt", f.Proxies.DoubtShare, 0, 1)
	inRange("proxies.sockets", float64(f.Proxies.Sockets), 64, 20000)
	inRange("caches.count", float64(f.Caches.Count), 1, 3200)
	durationInRange("list.every", f.Discovery.BatchInterval, 0, time.Minute)
	oneOf("caches.mode", f.Caches.Mode, "aside", "through")
	inRange("caches.cores", float64(f.Caches.Cores), 1, 256)
	inRange("caches.queue", float64(f.Caches.QueueLimit), 0, 10000)
	inRange("caches.memory_mb", f.Caches.MemoryMB, 0.01, 1024)
	inRange("caches.connections", float64(f.Caches.MaxConns), 1, 20000)
	inRange("caches.cold_from", f.Caches.ColdCapacityShare, 0.01, 1)
	inRange("caches.small", f.Caches.SmallShare, 0, 1)
	oneOf("caches.cancel", f.Caches.CancelMode, "all", "queued", "none")
	durationInRange("caches.report_every", f.Caches.ReportEvery, time.Millisecond, time.Minute)
	inRange("origin.cores", float64(f.Origin.Cores), 1, 1000)
	durationInRange("origin.work", f.Origin.Work, 0, time.Minute)
	inRange("zones.names", float64(len(f.Zones.Names)), 1, 8)
	durationInRange("zones.delay", f.Zones.Delay, 0, time.Second)
	inRange("keys.count", float64(f.Keys.Count), 1, 1e8)
	inRange("keys.zipf", f.Keys.ZipfExponent, 1.0001, 5)
	inRange("keys.drift", f.Keys.DriftPerSecond, 0, 1)
	inRange("load.rate", f.Load.Rate, 0.1, 50000)
	inRange("clients.retries", float64(f.Clients.Retries), 0, 20)
	inRange("clients.patience", f.Clients.TryTimeoutShare, 0.01, 1)
	inRange("clients.leave", f.Clients.LeaveShare, 0, 1)
	inRange("clients.heed", f.Clients.RetryAfterShare, 0, 1)
	inRange("rules.most_pushes", float64(f.Rules.MaxPushes), 1, 20)
	zones := map[string]bool{"": true} // faults without a zone are valid
	for _, z := range f.Zones.Names {
		zones[z] = true
	}
	tenants := map[string]bool{}
	for i, t := range f.Tenants {
		prefix := fmt.Sprintf("tenant[%d].", i)
		require(prefix+"name", t.Name != "" && !tenants[t.Name] && !strings.ContainsAny(t.Name, ",= "), "%q must be unique, not empty, and without spaces, commas and equals signs", t.Name)
		tenants[t.Name] = true
		inRange(prefix+"share", t.Share, 0, 1)
	}
	sum := 0.0
	for i, c := range f.Categories {
		prefix := fmt.Sprintf("category[%d].", i)
		require(prefix+"name", c.Name != "" && !strings.ContainsAny(c.Name, ",= "), "%q must not be empty or contain spaces, commas or equals signs", c.Name)
		oneOf(prefix+"effect", c.Effect, "redeliverable", "deduplicated", "at-most-once")
		oneOf(prefix+"group", c.DedupGroup, "all", "zone")
		durationInRange(prefix+"work", c.Work, 0, time.Minute)
		durationInRange(prefix+"target", c.Target, time.Millisecond, time.Hour)
		durationInRange(prefix+"ttl", c.TTL, c.Target.Std(), time.Hour)
		inRange(prefix+"size", float64(c.Size), 1, 4<<20)
		inRange(prefix+"benefit", c.Benefit, 0, 1e6)
		sum += c.Share
	}
	require("category[0].share", sum > 0.999 && sum < 1.001, "the shares of all categories sum to %v, want 1", sum)
	for i, fault := range f.Faults {
		prefix := fmt.Sprintf("fault[%d].", i)
		if _, ok := FaultKinds[fault.Kind]; !ok {
			names := []string{}
			for k := range FaultKinds {
				names = append(names, k)
			}
			sort.Strings(names)
			require(prefix+"kind", false, "%q is none of %s", fault.Kind, strings.Join(names, ", "))
		}
		durationInRange(prefix+"at", fault.Start, 0, f.Length.Std())
		inRange(prefix+"share", fault.Share, 0, 1)
		inRange(prefix+"count", float64(fault.Count), 0, 1000)
		require(prefix+"count", fault.Count == 0 || fault.Share == 0, "count %d and share %v exclude each other", fault.Count, fault.Share)
		require(prefix+"zone", zones[fault.Zone], "unknown zone %q", fault.Zone)
		require(prefix+"size", FaultKinds[fault.Kind] == "" || fault.Size > 0, "%s needs a size: %s", fault.Kind, FaultKinds[fault.Kind])
		if fault.Kind == "proxy-waves" {
			oneOf(prefix+"by", fault.Mode, "term", "kill", "upgrade", "mixed")
			require(prefix+"for", fault.Duration > 0, "proxy-waves needs a duration")
		}
		require(prefix+"to", zones[fault.ToZone] && (fault.ToZone == "" || fault.ToZone != fault.Zone && strings.HasPrefix(fault.Kind, "way-")),
			"%q must be a zone other than the fault's own, and only way- faults may have it", fault.ToZone)
		if fault.Kind == "proxy-signals" {
			oneOf(prefix+"by", fault.Mode, SignalSeries...)
		}
		if fault.Kind == "crowd" {
			inRange(prefix+"size", fault.Size, 1, 5000)
			require(prefix+"for", fault.Duration > 0, "%s needs a duration", fault.Kind)
		}
		if strings.HasPrefix(fault.Kind, "site-") {
			require(prefix+"zone", fault.Zone != "", "%s needs a zone", fault.Kind)
			require(prefix+"for", fault.Duration > 0, "%s needs a duration", fault.Kind)
		}
		if strings.HasPrefix(fault.Kind, "way-") || fault.Kind == "list-lies" {
			require(prefix+"zone", fault.Zone != "", "%s needs a zone", fault.Kind)
		}
		if fault.Kind == "site-cut" || strings.HasPrefix(fault.Kind, "way-") {
			oneOf(prefix+"by", fault.Mode, "", "both", "in", "out")
		}
		if fault.Kind == "site-lost" {
			oneOf(prefix+"by", fault.Mode, "", "caches", "proxies", "together")
		}
		if fault.Kind == "stall" || fault.Kind == "throttle" {
			require(prefix+"for", fault.Duration > 0, "%s needs a duration", fault.Kind)
		}
		if fault.Kind == "throttle" {
			inRange(prefix+"size", fault.Size, 0.01, 1)
		}
		require(prefix+"name", fault.Kind != "runaway" && fault.Kind != "impatient" || fault.Name == "" || tenants[fault.Name],
			"unknown tenant %q", fault.Name)
	}
	return err
}
