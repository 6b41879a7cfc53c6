// Package settings decodes the object that tells a proxy its deployment: the simulator sends it in its first
// message, a real proxy finds it in its configuration.
package settings

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"reflect"
	"slices"
	"time"

	"minttray/policy"
)

type category struct {
	Benefit float64 `json:"benefit"`
	Window  uint64  `json:"dedup-window-us"`
	Effect  string  `json:"effect"`
	Group   string  `json:"group"`
	Name    string  `json:"name"`
	Tardy   float64 `json:"tardy-benefit"`
	Target  uint64  `json:"target-latency-us"`
	TTL     uint64  `json:"ttl-us"`
}

type conf struct {
	Balancers int     `json:"balancers"`
	Beyond    float64 `json:"beyond-share-benefit"`
	Blend     struct {
		Full  *float64 `json:"full-at-nines"`
		Nines float64  `json:"nines-part"`
	} `json:"blend"`
	Categories []category `json:"categories"`
	Index      int        `json:"index"`
	Habits     struct {
		MarksRetry bool `json:"marks-retry"`
	} `json:"client-habits"`
	Contract struct {
		AskEvery     uint64  `json:"ask-every-us"`
		ColdFrom     float64 `json:"cold-from"`
		FallMultiple float64 `json:"fall-multiple"`
		TipAfter     uint64  `json:"tip-after-us"`
		WarmUp       uint64  `json:"warm-up-us"`
	} `json:"contract"`
	Deductions struct {
		Connection float64 `json:"connection"`
		CrossZone  float64 `json:"cross-zone"`
		Handshake  float64 `json:"handshake"`
		Peer       float64 `json:"peer"`
		Probe      float64 `json:"probe"`
	} `json:"deductions"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		Mode       string `json:"mode"`
		OriginKind *int   `json:"origin-kind"`
	} `json:"family-info"`
	Limits struct {
		Cancelling    bool   `json:"cancelling"`
		ConnIdle      uint64 `json:"conn-idle-us"`
		Connect       uint64 `json:"connect-timeout-us"`
		MaxOpen       int    `json:"max-open"`
		MaxRetryAfter uint64 `json:"max-retry-after-us"`
		MostPushes    *int   `json:"most-pushes"`
		Peers         bool   `json:"peers"`
		Probing       bool   `json:"probing"`
		RetryAfter    bool   `json:"retry-after"`
	} `json:"limits"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"load-report"`
	SKUs    []string `json:"skus"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota-rps"`
	} `json:"tenants"`
	Tick    uint64   `json:"tick-us"`
	Weights string   `json:"weights"`
	Zone    int      `json:"zone"`
	Zones   []string `json:"zones"`
}

const (
	mostProxies = 1 << 20
	mostNines   = 9 // one op in a thousand million: more is a slip
)

// Fields names what Decode reads, with a dot before each deeper name; a list is one field.
func Fields() []string { return Names(reflect.TypeFor[conf]()) }

// Names lists the JSON names of a struct's fields, with a dot before each deeper name; what is no struct is one field.
func Names(t reflect.Type) (all []string) {
	for i := range t.NumField() {
		name, inner := t.Field(i).Tag.Get("json"), t.Field(i).Type
		if inner.Kind() != reflect.Struct {
			all = append(all, name)
			continue
		}
		for _, deeper := range Names(inner) {
			all = append(all, name+"."+deeper)
		}
	}
	return all
}

// check holds what a typing slip would turn into a decision: words that are none, prices under 0, a zone that is not there.
func (c *conf) check() error {
	for _, word := range []struct {
		field, value string
		known        []string
	}{
		{"weights", c.Weights, []string{"", "off", "nominal", "rough", "live"}},
		{"load-report.how", c.Report.How, []string{"", "off", "inline", "on_probe"}},
		{"discovery", c.Discovery, []string{"", "push", "ask"}},
	} {
		if !slices.Contains(word.known, word.value) {
			return fmt.Errorf("%s: %q is none of %q", word.field, word.value, word.known[1:])
		}
	}
	type figure struct {
		field string
		value float64
	}
	figures := []figure{
		{"deductions.connection", c.Deductions.Connection}, {"deductions.cross-zone", c.Deductions.CrossZone},
		{"deductions.handshake", c.Deductions.Handshake}, {"deductions.peer", c.Deductions.Peer},
		{"deductions.probe", c.Deductions.Probe}, {"beyond-share-benefit", c.Beyond}, {"contract.cold-from", c.Contract.ColdFrom},
		{"contract.fall-multiple", c.Contract.FallMultiple}, {"limits.max-open", float64(c.Limits.MaxOpen)},
	}
	for i, k := range c.Categories {
		figures = append(figures, figure{fmt.Sprintf("categories[%d].benefit", i), k.Benefit},
			figure{fmt.Sprintf("categories[%d].tardy-benefit", i), k.Tardy})
	}
	for i, t := range c.Tenants {
		figures = append(figures, figure{fmt.Sprintf("tenants[%d].quota-rps", i), t.Quota})
	}
	for _, f := range figures {
		if f.value < 0 {
			return fmt.Errorf("%s: %v is below 0", f.field, f.value)
		}
	}
	if n := c.Limits.MostPushes; n != nil && *n < 1 {
		return fmt.Errorf("limits.most-pushes: %d is not above 0", *n)
	}
	if c.Blend.Nines < 0 || c.Blend.Nines > 1 {
		return fmt.Errorf("blend.nines-part: %v is not 0 to 1", c.Blend.Nines)
	}
	if f := c.Blend.Full; f != nil && !(*f > 0 && *f <= mostNines) {
		return fmt.Errorf("blend.full-at-nines: %v is not above 0, %d at most", *f, mostNines)
	}
	if c.Blend.Nines > 0 && c.Blend.Full == nil {
		return fmt.Errorf("blend.full-at-nines: missing, though nines-part is %v", c.Blend.Nines)
	}
	if c.Zone < 0 || c.Zone > 0 && c.Zone >= len(c.Zones) {
		return fmt.Errorf("zone: %d is not 0 to %d", c.Zone, max(len(c.Zones)-1, 0))
	}
	return nil
}

// Settings is what the module reads, and beside it what only a proxy on sockets needs.
type Settings struct {
	Policy                     policy.Settings
	Categories, Tenants        []string // names, in the module's order
	Gone                       []bool   // tenants that are no longer there, since the settings were read anew; nil: none
	Zones, Kinds               []string
	ConnectTimeout, IdleServer time.Duration // 0: none is set
	MaxOpen                    int           // ops held at once; 0: none is set
	PaceField                  string        // its name; empty: none
	WaitingField, RateField    string        // names of those two that a probe asks for; empty: none
	Pace                       int           // place among a load report's fields of how long its ops take; -1: none
	Waiting, Rate              int           // places of the ops that wait, and of those done in a second; -1: none
}

var effects = map[string]policy.Effect{
	"read_like": policy.Redeliverable, "idempotency_key": policy.Deduplicated, "non_idempotent": policy.AtMostOnce,
}
var groups = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone,
	"cell": policy.GroupCell}

// paces are the names under which deployments report how long a cache's ops take lately, in milliseconds.
var paces = []string{"svc_ms", "latency_ms"}

// ReportedLatency turns a report's milliseconds into the module's time; what can't be so is 0, as if nothing had been said.
func ReportedLatency(ms float64) policy.Time {
	if !(ms > 0 && ms < 1e6) {
		return 0
	}
	return max(policy.Time(ms*10), 1)
}

// longestSpan bounds all spans, in microseconds: a year, which no process sees the end of, fits into whatever they are counted in.
const longestSpan = 366 * 24 * uint64(time.Hour/time.Microsecond)

func down(us uint64) policy.Time { return policy.Time(min(us, longestSpan) / 100) }

func up(us uint64) policy.Time { return down(min(us, longestSpan) + 99) }

func span(us uint64) time.Duration { return time.Duration(min(us, longestSpan)) * time.Microsecond }

// MaxTTL is the longest time that an op may be open, by the TTLs of the categories that are asked for.
func (s Settings) MaxTTL() (longest time.Duration) {
	for _, c := range s.Policy.Categories {
		if !c.Dropped {
			longest = max(longest, time.Duration(c.TTL)*100*time.Microsecond)
		}
	}
	return longest
}

// Fingerprint is a short text that differs wherever two deployments' settings do.
func (s Settings) Fingerprint() string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%+v", s)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Decode takes the object apart; names that it doesn't know are passed over.
func Decode(text []byte) (Settings, error) {
	var c conf
	var all Settings
	s := &all.Policy
	if err := json.Unmarshal(text, &c); err != nil {
		return all, fmt.Errorf("settings: %w", err)
	}
	// Each proxy's part of the whole hangs on these two. None told: one proxy, which keeps a small fleet's habits.
	if c.Balancers < 0 || c.Balancers > mostProxies {
		return all, fmt.Errorf("settings: balancers: %d is not 0 to %d", c.Balancers, mostProxies)
	}
	if c.Index < 0 || c.Index > mostProxies {
		return all, fmt.Errorf("settings: index: %d is not 0 to %d", c.Index, mostProxies)
	}
	if err := c.check(); err != nil {
		return all, fmt.Errorf("settings: %w", err)
	}
	if len(c.Categories) == 0 {
		return all, fmt.Errorf("settings: categories is empty")
	}
	*s = policy.Settings{
		BeyondBenefit: c.Beyond, Proxies: max(c.Balancers, 1), Index: c.Index,
		AskList: c.Discovery == "ask", AskEvery: down(c.Contract.AskEvery),
		Aside: c.FamilyInfo.Mode == "aside", OriginKind: -1,
		ColdFrom: c.Contract.ColdFrom, WarmUp: up(c.Contract.WarmUp),
		FallMultiple: c.Contract.FallMultiple, TipAfter: up(c.Contract.TipAfter),
		Tick: max(up(c.Tick), 1), MostPushes: 1,
		Cancelling: c.Limits.Cancelling, Peers: c.Limits.Peers, MarksRetry: c.Habits.MarksRetry,
		ConnPrice: c.Deductions.Connection, HandshakePrice: c.Deductions.Handshake,
		CrossPrice: c.Deductions.CrossZone, ProbePrice: c.Deductions.Probe,
		PeerPrice: c.Deductions.Peer, NinesPart: c.Blend.Nines, Zone: c.Zone, Zones: max(len(c.Zones), 1),
		RoughWeights: c.Weights == "rough",
	}
	if c.Limits.MostPushes != nil {
		s.MostPushes = *c.Limits.MostPushes
	}
	if c.Blend.Full != nil {
		s.FullAtNines = *c.Blend.Full
	}
	if c.FamilyInfo.OriginKind != nil {
		s.OriginKind = *c.FamilyInfo.OriginKind
	}
	if c.Limits.RetryAfter {
		s.MaxRetryAfter = down(c.Limits.MaxRetryAfter)
	}
	for i, k := range c.Categories {
		effect, ok := effects[k.Effect]
		if !ok {
			return all, fmt.Errorf("settings: categories[%d].effect: unknown effect %q", i, k.Effect)
		}
		group, ok := groups[k.Group]
		if !ok {
			return all, fmt.Errorf("settings: categories[%d].group: unknown group %q", i, k.Group)
		}
		switch {
		case k.TTL == 0:
			return all, fmt.Errorf("settings: categories[%d].ttl-us: %d is not above 0", i, k.TTL)
		case k.Target == 0:
			return all, fmt.Errorf("settings: categories[%d].target-latency-us: %d is not above 0", i, k.Target)
		case slices.Contains(all.Categories, k.Name):
			return all, fmt.Errorf("settings: categories[%d].name: %q stands there twice", i, k.Name)
		}
		s.Categories = append(s.Categories, policy.Category{Effect: effect, Group: group, Window: down(k.Window),
			Target: down(k.Target), TTL: down(k.TTL), Benefit: k.Benefit, Tardy: k.Tardy})
		all.Categories = append(all.Categories, k.Name)
	}
	for _, t := range c.Tenants {
		s.Quotas = append(s.Quotas, t.Quota)
		all.Tenants = append(all.Tenants, t.Name)
	}
	all.Zones, all.Kinds, all.MaxOpen = c.Zones, c.SKUs, c.Limits.MaxOpen
	place := func(names ...string) int {
		return slices.IndexFunc(c.Report.Fields, func(name string) bool { return slices.Contains(names, name) })
	}
	all.Pace, all.Waiting, all.Rate = place(paces...), place("pending", "queue"), place("served_ps", "qps")
	if all.Waiting >= 0 && all.Rate >= 0 {
		all.WaitingField, all.RateField = c.Report.Fields[all.Waiting], c.Report.Fields[all.Rate]
		s.Probing = c.Limits.Probing && c.Report.How == "on_probe"
	}
	if all.Pace >= 0 {
		all.PaceField = c.Report.Fields[all.Pace]
	}
	all.ConnectTimeout = span(c.Limits.Connect)
	all.IdleServer = span(c.Limits.ConnIdle)
	return all, nil
}
