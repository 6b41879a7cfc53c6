// Package experiment reads experiment files: a deployment, its load, and a timeline of faults. Files are TOML and are decoded
// strictly; durations are written with their unit ("250ms", "1m30s"). Errors name the file and the field, and the line if the file contains
// the field.
package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"minttray/strict"
)

// Duration is a time.Duration that is written with its unit.
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as \"250ms\"", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText formats the duration with its unit.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Std returns the duration as a time.Duration.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// File is an experiment. Fields that a file leaves out have the values of its base file, or else those of Defaults and applyDefaults.
type File struct {
	Name       string     `toml:"name"`
	About      string     `toml:"about"` // what it shows
	From       string     `toml:"from"`  // base file in the same directory, which this one modifies; a base file has no From
	Seed       uint64     `toml:"seed"`
	Length     Duration   `toml:"length"` // of the load, the warm-up included
	WarmUp     Duration   `toml:"warm"`   // time from the start that statistics leave out; the rules apply from the first op
	Proxies    Proxies    `toml:"proxies"`
	Caches     Caches     `toml:"caches"`
	Origin     Origin     `toml:"origin"`
	Zones      Zones      `toml:"zones"`
	Discovery  Discovery  `toml:"list"`
	Categories []Category `toml:"category"`
	Tenants    []Tenant   `toml:"tenant"`
	Keys       Keys       `toml:"keys"`
	Load       Load       `toml:"load"`
	Clients    Clients    `toml:"clients"`
	Balancer   Balancer   `toml:"front"`
	Rules      Rules      `toml:"rules"`
	Faults     []Fault    `toml:"fault"`

	path  string
	lines map[string]int // line number of each field that the file contains, for errors
}

// Proxies describes the proxy instances.
type Proxies struct {
	Count        int     `toml:"count"`
	Cores        float64 `toml:"cores"`     // limit of each proxy
	MemoryMB     int     `toml:"memory_mb"` // limit of each proxy
	Sockets      int     `toml:"sockets"`   // limit of open sockets of each proxy
	PersistState bool    `toml:"learned"`   // store learned state on disk, so that it survives a restart
	DoubtShare   float64 `toml:"doubt"`     // share of the known caches, 0 to 1; a proxy holds a full list that lacks more until it was repeated for a while; 0: accepts every list
}

// Caches describes the cache servers, which differ in their machine kind alone.
type Caches struct {
	Count             int      `toml:"count"`
	Mode              string   `toml:"mode"` // on a miss: aside, the cache answers with a miss; through, it fetches from the origin
	Cores             int      `toml:"cores"`
	QueueLimit        int      `toml:"queue"`        // requests that may wait for a core
	MemoryMB          float64  `toml:"memory_mb"`    // size of the stored values
	MaxConns          int      `toml:"connections"`  // limit of open connections of each cache
	HandshakeWork     Duration `toml:"handshake"`    // core time of a new connection
	ColdCapacityShare float64  `toml:"cold_from"`    // share of the full capacity right after a cold start, 0 to 1
	WarmUp            Duration `toml:"warm_up"`      // from a cold start to full capacity
	CancelMode        string   `toml:"cancel"`       // work cancelled when a proxy closes its connection: all, queued, none
	ReportEvery       Duration `toml:"report_every"` // interval at which a load report is renewed
	SmallShare        float64  `toml:"small"`        // share of caches of the machine kind "small", which has half the cores; 0 to 1
	Prefilled         bool     `toml:"full"`         // start with the most requested keys stored
}

// Origin describes the origin server, from which all caches are filled.
type Origin struct {
	Cores         int      `toml:"cores"`
	QueueLimit    int      `toml:"queue"`  // requests that may wait for a core
	Work          Duration `toml:"work"`   // mean core time of a fetch
	QueueSlowdown float64  `toml:"thrash"` // work takes 1 + this x (waiting requests / cores) times as long
}

// Zones describes the zones, in which caches and proxies are spread evenly.
type Zones struct {
	Names []string `toml:"names"`
	Delay Duration `toml:"delay"` // one way, between two zones
}

// Discovery describes how changes of the list of caches reach the proxies.
type Discovery struct {
	Delay         Duration `toml:"late"`  // maximum delay of a change
	BatchInterval Duration `toml:"every"` // an agent applies the changes of an interval together; 0: each at once
}

// Category is a kind of op.
type Category struct {
	Name        string   `toml:"name"`
	Share       float64  `toml:"share"`   // of the load
	Work        Duration `toml:"work"`    // mean core time at a cache
	Target      Duration `toml:"target"`  // latency up to which an answer earns its benefit
	TTL         Duration `toml:"ttl"`     // time from the start of an op to its deadline
	Benefit     float64  `toml:"benefit"` // value of an answer in time
	Effect      string   `toml:"effect"`  // redeliverable, deduplicated, at-most-once
	DedupGroup  string   `toml:"group"`   // caches that share the deduplication: all, zone
	DedupWindow Duration `toml:"window"`  // how long a write is recognized as a repeat of a deduplicated one
	Write       bool     `toml:"write"`
	Size        int      `toml:"size"` // of a value, in bytes
}

// Tenant is a tenant and its part of the load.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the load
	Quota float64 `toml:"quota"` // ops per second
}

// Keys describes the popularity of keys, a Zipf distribution.
type Keys struct {
	Count          int     `toml:"count"`
	ZipfExponent   float64 `toml:"zipf"`
	DriftPerSecond float64 `toml:"drift"` // share of the ranks that are given to other keys each second
}

// Load describes the arrivals: a Poisson process with surges.
type Load struct {
	Rate   float64 `toml:"rate"` // ops per second
	Surges []Surge `toml:"surge"`
}

// Surge multiplies the rate for a time.
type Surge struct {
	Start    Duration `toml:"at"`
	Duration Duration `toml:"for"`
	Factor   float64  `toml:"times"`
}

// Clients describes the behaviour of clients.
type Clients struct {
	Retries         int      `toml:"retries"`  // maximum per op
	RetryDelay      Duration `toml:"wait"`     // before a retry, unless the client respects a retry-after time
	TryTimeoutShare float64  `toml:"patience"` // time-out of a try, as a share of the TTL
	LeaveShare      float64  `toml:"leave"`    // share of the tries whose client disconnects early
	RetryAfterShare float64  `toml:"heed"`     // share of the clients that respect a retry-after time
	MarkRetries     bool     `toml:"marks"`    // retries are marked as such
}

// Balancer describes the balancer in front of the proxies.
type Balancer struct {
	DetectionDelay Duration `toml:"notice"` // how long it still sends connections to a dead proxy
}

// Rules are the parameters of the rules by which a run is judged. A cold cache is overloaded if the work that it receives within an
// OverloadWindow exceeds OverloadFactor times its capacity; see lab/ledger.
type Rules struct {
	DrainGrace            Duration `toml:"grace"`         // how long pushes to a cache are allowed after the list announced it as leaving or gone
	OverloadFactor        float64  `toml:"fall_multiple"` // multiple of the capacity; 0: not checked
	OverloadWindow        Duration `toml:"tip_after"`
	MaxPushes             int      `toml:"most_pushes"`   // per op
	AllowConcurrentPushes bool     `toml:"two_at_once"`   // of one op
	MaxRetryAfter         Duration `toml:"max_come_back"` // largest retry-after time that a proxy may give
	MaxRefusalDelay       Duration `toml:"held"`          // from the last push of an op to its refusal; 0: half of the TTL of its category
	Slack                 Duration `toml:"slack"`         // tolerance for delays of the machine
}

// Fault is one fault of the timeline.
type Fault struct {
	Start       Duration `toml:"at"`  // from the start of the load
	Duration    Duration `toml:"for"` // 0: until the end, or not applicable
	Kind        string   `toml:"kind"`
	Count       int      `toml:"count"` // of the caches or proxies affected; excludes Share. Of hot-proxy: index of the proxy; of hot-key: number of hot keys
	Share       float64  `toml:"share"` // of the caches or proxies affected, 0 to 1; of site-lost: of its caches, those that return; 0: all
	Zone        string   `toml:"zone"`  // of the caches or proxies affected; empty: all zones
	MachineKind string   `toml:"of"`    // of the caches affected: std, small; empty: both
	Size        float64  `toml:"size"`  // see FaultKinds; of site-lost: seconds by which the list is late at the site on its return
	BatchShare  float64  `toml:"batch"` // of rolling restarts and deploys: share restarted at a time
	// Downtime is, of restarts and deploys, the time until a process starts again; of site-lost, the time between the two groups that return;
	// of site-hand, the time over which the site is detached or attached.
	Downtime Duration `toml:"down"`
	// Mode is, of proxy-waves, the way of the restarts (term, kill, upgrade, mixed); of proxy-signals, one of SignalSeries; of link faults,
	// the direction (both, in, out); of site-lost, what returns first (caches, proxies, together).
	Mode   string `toml:"by"`
	Name   string `toml:"name"` // of the tenant affected
	ToZone string `toml:"to"`   // of way- faults: the other zone; empty: all others

	LosesOrigin bool `toml:"origin"` // of site-lost: the origin is at that site and is lost with it
	NewIDs      bool `toml:"anew"`   // of site-lost: its caches return under new ids
}

// FaultKinds maps each kind of fault to the meaning of its Size, which must be above 0; empty: no Size is needed.
var FaultKinds = map[string]string{
	"kill":          "",
	"replace":       "",
	"drain":         "",
	"deploy":        "",
	"still":         "",
	"vanish":        "",
	"reset":         "",
	"slow":          "slowdown factor",
	"refuse":        "share of requests refused",
	"spoil":         "share of answers corrupted",
	"lose":          "share of answers dropped",
	"error":         "share of pushes that fail at once",
	"flush":         "share of stored keys removed",
	"hot-key":       "share of the load",
	"runaway":       "factor on the tenant's load",
	"hot-proxy":     "share of the load",
	"grow":          "number of new caches",
	"origin-slow":   "slowdown factor",
	"origin-stop":   "",
	"list-late":     "additional seconds",
	"list-silent":   "",
	"list-empty":    "",
	"list-lies":     "",
	"site-lost":     "",
	"site-cut":      "",
	"site-hand":     "",
	"stall":         "",
	"throttle":      "share of the time that a process runs",
	"retune":        "factor on the tenants' quotas",
	"way-slow":      "additional seconds",
	"way-lose":      "share of new connections that carry no data",
	"way-reset":     "share of connections reset",
	"way-thin":      "KB per second of each connection",
	"proxy-kill":    "",
	"proxy-signals": "",
	"crowd":         "idle connections to each proxy",
	"proxy-term":    "",
	"proxy-roll":    "",
	"proxy-upgrade": "",
	"proxy-waves":   "",
	"hand":          "",
	"lameduck":      "",
	"impatient":     "factor on the try time-out",
}

// SignalSeries are the series of signals that a proxy can be sent; each ends its process.
var SignalSeries = []string{"term-twice", "hup-in-drain", "hups", "kill-after-term"}

const (
	maxTTLBeforeKill = 3 * time.Second        // a longer TTL does not delay a SIGKILL further
	killMargin       = 700 * time.Millisecond // added to the longest TTL, up to maxTTLBeforeKill
)

// KillAfter returns how long after SIGTERM a process may be killed at the earliest: the longest TTL of the deployment, but at most
// maxTTLBeforeKill, plus killMargin.
func (f *File) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range f.Categories {
		longest = max(longest, c.TTL.Std())
	}
	return min(longest, maxTTLBeforeKill) + killMargin
}

// ZoneOfProxy returns the zone index of a proxy.
func (f *File) ZoneOfProxy(proxy int) int { return proxy % len(f.Zones.Names) }

// ZoneIndex returns the index of a zone, or -1 for an unknown name.
func (f *File) ZoneIndex(name string) int { return slices.Index(f.Zones.Names, name) }

// BreaksLinks reports whether the timeline has link faults. Only then does the laboratory wrap connections to inject them.
func (f *File) BreaksLinks() bool {
	return slices.ContainsFunc(f.Faults, func(x Fault) bool {
		return x.Kind == "site-cut" || x.Kind == "site-lost" && x.LosesOrigin || strings.HasPrefix(x.Kind, "way-")
	})
}

// NeedsControl reports whether the timeline calls the control ports of the proxies. Only then are these configured.
func (f *File) NeedsControl() bool {
	return slices.ContainsFunc(f.Faults, func(x Fault) bool {
		return x.Kind == "hand" || x.Kind == "site-hand" || x.Kind == "retune" || x.Kind == "proxy-upgrade" || x.Kind == "lameduck" ||
			x.Kind == "proxy-waves" && (x.Mode == "upgrade" || x.Mode == "mixed")
	})
}

// Read decodes and checks a file. overlay holds key=value pairs that override its fields, such as load.rate=500.
func Read(path string, overlay ...string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text, overlay...)
}

// Decode decodes and checks the text of a file; path names it in errors and locates its base file.
func Decode(path string, text []byte, overlay ...string) (*File, error) {
	f := Defaults()
	f.path, f.lines = path, strict.Lines(string(text))
	var head struct {
		From string `toml:"from"`
	}
	if toml.Unmarshal(text, &head); head.From != "" { // errors of the text are reported by the strict decoding below
		base := filepath.Join(filepath.Dir(path), filepath.Base(head.From))
		baseText, err := os.ReadFile(base)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: from: %w", path, f.lines["from"], err)
		}
		if err := strict.Decode(base, string(baseText), f); err != nil {
			return nil, err
		}
		if f.From != "" {
			return nil, fmt.Errorf("%s: from: a base file cannot have a base file itself, got %q", base, f.From)
		}
	}
	if err := strict.Decode(path, string(text), f); err != nil {
		return nil, err
	}
	for _, assignment := range overlay {
		key, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return nil, fmt.Errorf("override %q: want key=value", assignment)
		}
		tomlValue := value
		if _, err := time.ParseDuration(value); err == nil && strings.Trim(value, "0123456789.") != "" {
			tomlValue = fmt.Sprintf("%q", value)
		}
		tableHeader, field := "", key
		if i := strings.LastIndexByte(key, '.'); i >= 0 {
			tableHeader, field = "["+key[:i]+"]\n", key[i+1:]
		}
		if err := strict.Decode(assignment, tableHeader+field+" = "+tomlValue, f); err != nil {
			return nil, err
		}
	}
	f.applyDefaults()
	if err := f.check(); err != nil {
		return nil, err
	}
	return f, nil
}
