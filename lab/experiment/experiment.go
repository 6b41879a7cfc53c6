// Package experiment holds what an experiment file says: a deployment, its load, and what goes wrong when. Files are
// TOML, decoded strictly; spans are written with their units ("250ms", "1m30s"). What is wrong is named by file, line
// and field.
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

// Duration is a span of time, written with its unit.
type Duration time.Duration

// UnmarshalText reads "250ms".
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time with a unit, such as \"250ms\"", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes it back.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Std is the span as Go has it.
func (s Duration) Std() time.Duration { return time.Duration(s) }

// File is one experiment. Zero values stand for what Defaults says.
type File struct {
	Name       string     `toml:"name"`
	About      string     `toml:"about"`
	From       string     `toml:"from"` // another file, of the same directory, that this one changes; it has no From itself
	Seed       uint64     `toml:"seed"`
	Length     Duration   `toml:"length"`
	WarmUp     Duration   `toml:"warm"` // at the start, not counted in the figures; rules count from the first op
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
	lines map[string]int
}

// Proxies are the instances of minttray.
type Proxies struct {
	Count        int     `toml:"count"`
	Cores        float64 `toml:"cores"`
	MemoryMB     int     `toml:"memory_mb"`
	Sockets      int     `toml:"sockets"`
	PersistState bool    `toml:"learned"` // what they learn outlives a restart
	DoubtShare   float64 `toml:"doubt"`   // share of the caches that a list may not lack at once; 0: each is believed
}

// Caches are the cache servers, all alike but for their kind.
type Caches struct {
	Count             int      `toml:"count"`
	Mode              string   `toml:"mode"` // aside: a miss goes back; through: the cache fetches
	Cores             int      `toml:"cores"`
	QueueLimit        int      `toml:"queue"` // places to wait in
	MemoryMB          float64  `toml:"memory_mb"`
	MaxConns          int      `toml:"connections"`
	HandshakeWork     Duration `toml:"handshake"` // work of a new connection
	ColdCapacityShare float64  `toml:"cold_from"` // share of its capacity that one has right after its start
	WarmUp            Duration `toml:"warm_up"`
	CancelMode        string   `toml:"cancel"` // what a push that is given up stops: all, queued, none
	ReportEvery       Duration `toml:"report_every"`
	SmallShare        float64  `toml:"small"` // share of them that are of the kind "small": half the cores
	Prefilled         bool     `toml:"full"`  // hold the most asked keys at the start
}

// Origin is what all caches are filled from.
type Origin struct {
	Cores         int      `toml:"cores"`
	QueueLimit    int      `toml:"queue"`
	Work          Duration `toml:"work"`   // of a fetch, mean
	QueueSlowdown float64  `toml:"thrash"` // slower by this share for each core's worth that waits
}

// Zones are places with a delay between them.
type Zones struct {
	Names []string `toml:"names"`
	Delay Duration `toml:"delay"` // one way
}

// List is how the list of caches reaches the proxies.
type Discovery struct {
	Delay         Duration `toml:"late"`
	BatchInterval Duration `toml:"every"` // an agent takes news at most so often, all that has come by then together; 0: each by itself
}

// Category is a kind of op.
type Category struct {
	Name        string   `toml:"name"`
	Share       float64  `toml:"share"`
	Work        Duration `toml:"work"` // mean
	Target      Duration `toml:"target"`
	TTL         Duration `toml:"ttl"`
	Benefit     float64  `toml:"benefit"`
	Effect      string   `toml:"effect"` // redeliverable, deduplicated, at-most-once
	DedupGroup  string   `toml:"group"`  // of a deduplicated one: all, zone
	DedupWindow Duration `toml:"window"`
	Write       bool     `toml:"write"`
	Size        int      `toml:"size"` // bytes of a value
}

// Tenant is whom ops come from.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the load
	Quota float64 `toml:"quota"` // ops a second
}

// Keys are what ops name.
type Keys struct {
	Count          int     `toml:"count"`
	ZipfExponent   float64 `toml:"zipf"`
	DriftPerSecond float64 `toml:"drift"` // share of the ranks that go to other keys each second
}

// Load is the arrivals: Poisson, at a rate, with surges.
type Load struct {
	Rate   float64 `toml:"rate"`
	Surges []Surge `toml:"surge"`
}

// Surge multiplies the rate for a while.
type Surge struct {
	Start    Duration `toml:"at"`
	Duration Duration `toml:"for"`
	Factor   float64  `toml:"times"`
}

// Clients are how those who ask behave.
type Clients struct {
	Retries         int      `toml:"retries"`
	RetryDelay      Duration `toml:"wait"`     // before a try that comes again, without advice
	TryTimeoutShare float64  `toml:"patience"` // share of the TTL after which a try is given up
	LeaveShare      float64  `toml:"leave"`    // share of the tries whose client goes away early
	RetryAfterShare float64  `toml:"heed"`     // share of the clients that heed a come-back time
	MarkRetries     bool     `toml:"marks"`
}

// Front deals clients' connections to proxies, and goes on sending to a dead one for a while.
type Balancer struct {
	DetectionDelay Duration `toml:"notice"`
}

// Rules are the figures of the four rules.
type Rules struct {
	DrainGrace            Duration `toml:"grace"` // after the list said that a cache drains or has gone
	OverloadFactor        float64  `toml:"fall_multiple"`
	OverloadWindow        Duration `toml:"tip_after"`
	MaxPushes             int      `toml:"most_pushes"`
	AllowConcurrentPushes bool     `toml:"two_at_once"`
	MaxRetryAfter         Duration `toml:"max_come_back"`
	MaxRefusalDelay       Duration `toml:"held"`  // a refusal so long after the op's last push is held back; 0: half of its category's TTL
	Slack                 Duration `toml:"slack"` // for the machine's own delays
}

// Fault is one line of the timeline.
type Fault struct {
	Start       Duration `toml:"at"`
	Duration    Duration `toml:"for"`
	Kind        string   `toml:"kind"`
	Count       int      `toml:"count"`
	Share       float64  `toml:"share"`
	Zone        string   `toml:"zone"`
	MachineKind string   `toml:"of"` // a machine kind: std, small
	Size        float64  `toml:"size"`
	BatchShare  float64  `toml:"batch"` // of a roll or deploy: share at a time
	Downtime    Duration `toml:"down"`
	Mode        string   `toml:"by"`   // of waves: term, kill, upgrade, mixed; of signals: one of Signals
	Name        string   `toml:"name"` // of a tenant
	ToZone      string   `toml:"to"`   // of a way: the other zone; empty: all others

	LosesOrigin bool `toml:"origin"` // of a lost site: the origin stands there, and is gone with it
	NewIDs      bool `toml:"anew"`   // its caches come back under new ids
}

// Kinds are the faults there are, and what Size means for each.
var FaultKinds = map[string]string{
	"kill": "", "replace": "", "drain": "", "deploy": "", "still": "", "vanish": "", "reset": "",
	"slow": "times slower", "refuse": "share turned away", "spoil": "share of answers spoilt",
	"lose": "share of answers that never come", "error": "share of pushes that fail quickly", "flush": "share of kept copies",
	"hot-key": "share of the load", "runaway": "times its load", "hot-proxy": "share of the load", "grow": "caches more",
	"origin-slow": "times slower", "origin-stop": "", "list-late": "seconds later", "list-silent": "", "list-empty": "", "list-lies": "",
	"site-lost": "", "site-cut": "", "site-hand": "", "stall": "", "throttle": "share of the time that a process is run", "retune": "times the tenants' quotas",
	"way-slow": "seconds more", "way-lose": "share of new connections that stay silent", "way-reset": "share of connections", "way-thin": "KB a second on each connection",
	"proxy-kill": "", "proxy-signals": "", "crowd": "idle connections to each proxy", "proxy-term": "", "proxy-roll": "", "proxy-upgrade": "", "proxy-waves": "", "hand": "", "lameduck": "", "impatient": "share of the usual patience",
}

// Signals are the series of signals that a proxy can be sent; each ends its process.
var SignalSeries = []string{"term-twice", "hup-in-drain", "hups", "kill-after-term"}

const (
	maxCountedDeadline = 3 * time.Second        // as far as it counts for the end of a process
	killMargin         = 700 * time.Millisecond // past the longest deadline
)

// KillAfter is how long after SIGTERM a process is killed at the earliest: the longest deadline of the deployment, and a margin.
func (f *File) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range f.Categories {
		longest = max(longest, c.TTL.Std())
	}
	return min(longest, maxCountedDeadline) + killMargin
}

// ZoneOf is the zone of a proxy, by its number.
func (f *File) ZoneOfProxy(proxy int) int { return proxy % len(f.Zones.Names) }

// Zone is a zone's number by its name, -1 for none.
func (f *File) ZoneIndex(name string) int { return slices.Index(f.Zones.Names, name) }

// Cuts tells whether ways between processes break: only then does the lab stand between them.
func (f *File) BreaksLinks() bool {
	return slices.ContainsFunc(f.Faults, func(x Fault) bool {
		return x.Kind == "site-cut" || x.Kind == "site-lost" && x.LosesOrigin || strings.HasPrefix(x.Kind, "way-")
	})
}

// Operated tells whether operators call the proxies: else these are not told where to listen for that.
func (f *File) NeedsControl() bool {
	return slices.ContainsFunc(f.Faults, func(x Fault) bool {
		return x.Kind == "hand" || x.Kind == "site-hand" || x.Kind == "retune" || x.Kind == "proxy-upgrade" || x.Kind == "lameduck" ||
			x.Kind == "proxy-waves" && (x.Mode == "upgrade" || x.Mode == "mixed")
	})
}

// Read decodes and checks a file. overlay holds key=value pairs that replace what it says (for sweeps).
func Read(path string, overlay ...string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text, overlay...)
}

// Decode takes a file's text apart.
func Decode(path string, text []byte, overlay ...string) (*File, error) {
	f := Defaults()
	f.path, f.lines = path, strict.Lines(string(text))
	var head struct {
		From string `toml:"from"`
	}
	if toml.Unmarshal(text, &head); head.From != "" { // what is wrong with the text is found below
		base := filepath.Join(filepath.Dir(path), filepath.Base(head.From))
		baseText, err := os.ReadFile(base)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: from: %w", path, f.lines["from"], err)
		}
		if err := strict.Decode(base, string(baseText), f); err != nil {
			return nil, err
		}
		if f.From != "" {
			return nil, fmt.Errorf("%s: from: a file that others start from has none itself", base)
		}
	}
	if err := strict.Decode(path, string(text), f); err != nil {
		return nil, err
	}
	for _, assignment := range overlay {
		table, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return nil, fmt.Errorf("%s: no key=value", assignment)
		}
		line := value
		if _, err := time.ParseDuration(value); err == nil && strings.Trim(value, "0123456789.") != "" {
			line = fmt.Sprintf("%q", value)
		}
		tableHeader, key := "", table
		if i := strings.LastIndexByte(table, '.'); i >= 0 {
			tableHeader, key = "["+table[:i]+"]\n", table[i+1:]
		}
		if err := strict.Decode(assignment, tableHeader+key+" = "+line, f); err != nil {
			return nil, err
		}
	}
	f.applyDefaults()
	if err := f.check(); err != nil {
		return nil, err
	}
	return f, nil
}
