// Package settings decodes the object that describes a deployment to a proxy. The simulator sends it in its first message; a
// real proxy has it in its configuration file.
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

// category is the JSON form of a category of ops.
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

// conf is the JSON form of the settings; unknown fields are ignored. Don't rename conf, category or their fields: errors of
// encoding/json contain such names, and these errors are sent to the simulator.
type conf struct {
	Balancers          int     `json:"balancers"`
	BeyondShareBenefit float64 `json:"beyond-share-benefit"`
	Blend              struct {
		Full  *float64 `json:"full-at-nines"`
		Nines float64  `json:"nines-part"`
	} `json:"blend"`
	Categories   []category `json:"categories"`
	Index        int        `json:"index"`
	ClientHabits struct {
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
	LoadReport struct {
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
	maxProxies     = 1 << 20
	maxFullAtNines = 9 // nine nines are one op in a thousand million: a higher value is a typing error
)

// Fields returns the names of all fields that Decode reads, as paths joined by dots. A list is one field.
func Fields() []string { return FieldNames(reflect.TypeFor[conf]()) }

// FieldNames returns the JSON names of a struct's fields, those of nested structs as paths joined by dots. A field of any other
// type, lists included, is one name.
func FieldNames(t reflect.Type) (names []string) {
	for i := range t.NumField() {
		name, fieldType := t.Field(i).Tag.Get("json"), t.Field(i).Type
		if fieldType.Kind() != reflect.Struct {
			names = append(names, name)
			continue
		}
		for _, nested := range FieldNames(fieldType) {
			names = append(names, name+"."+nested)
		}
	}
	return names
}

// check rejects values out of range that would otherwise silently change decisions, such as unknown keywords, negative numbers
// and a zone that does not exist.
func (c *conf) check() error {
	for _, keyword := range []struct {
		field, value string
		known        []string
	}{
		{"weights", c.Weights, []string{"", "off", "nominal", "rough", "live"}},
		{"load-report.how", c.LoadReport.How, []string{"", "off", "inline", "on_probe"}},
		{"discovery", c.Discovery, []string{"", "push", "ask"}},
	} {
		if !slices.Contains(keyword.known, keyword.value) {
			return fmt.Errorf("%s: %q is none of %q", keyword.field, keyword.value, keyword.known[1:])
		}
	}
	type figure struct {
		field string
		value float64
	}
	figures := []figure{
		{"deductions.connection", c.Deductions.Connection},
		{"deductions.cross-zone", c.Deductions.CrossZone},
		{"deductions.handshake", c.Deductions.Handshake},
		{"deductions.peer", c.Deductions.Peer},
		{"deductions.probe", c.Deductions.Probe},
		{"beyond-share-benefit", c.BeyondShareBenefit},
		{"contract.cold-from", c.Contract.ColdFrom},
		{"contract.fall-multiple", c.Contract.FallMultiple},
		{"limits.max-open", float64(c.Limits.MaxOpen)},
	}
	for i, category := range c.Categories {
		figures = append(figures,
			figure{fmt.Sprintf("categories[%d].benefit", i), category.Benefit},
			figure{fmt.Sprintf("categories[%d].tardy-benefit", i), category.Tardy})
	}
	for i, tenant := range c.Tenants {
		figures = append(figures, figure{fmt.Sprintf("tenants[%d].quota-rps", i), tenant.Quota})
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
	if nines := c.Blend.Full; nines != nil && !(*nines > 0 && *nines <= maxFullAtNines) {
		return fmt.Errorf("blend.full-at-nines: %v is not above 0, %d at most", *nines, maxFullAtNines)
	}
	if c.Blend.Nines > 0 && c.Blend.Full == nil {
		return fmt.Errorf("blend.full-at-nines: missing, though nines-part is %v", c.Blend.Nines)
	}
	if c.Zone < 0 || c.Zone > 0 && c.Zone >= len(c.Zones) {
		return fmt.Errorf("zone: %d is not 0 to %d", c.Zone, max(len(c.Zones)-1, 0))
	}
	return nil
}

// Settings is the input of the decision module, and what a real proxy, rather than a simulated one, needs in addition.
// Fingerprint covers the values, names and order of the fields, so a change to any of these makes stored snapshots unusable.
type Settings struct {
	Policy     policy.Settings
	Categories []string // names, in the order of Policy.Categories
	Tenants    []string // names, in the order of Policy.Quotas
	Gone       []bool   // tenants that a reload has removed, in the order of Tenants; nil: none
	Zones      []string // names, in the order of zone numbers
	Kinds      []string // names of machine types, in the order of their numbers

	ConnectTimeout time.Duration // 0: not set
	IdleServer     time.Duration // after which an idle connection to a cache is closed; 0: not set
	MaxOpen        int           // limit of concurrent ops; 0: not set

	PaceField    string // name of the load report field for the latency of a cache; empty: none
	WaitingField string // name of the field for queued ops, as used by probes; empty: none
	RateField    string // name of the field for completed ops per second, as used by probes; empty: none
	Pace         int    // index of the latency among a load report's fields; -1: none
	Waiting      int    // index of the queued ops; -1: none
	Rate         int    // index of the completed ops per second; -1: none
}

var effects = map[string]policy.Effect{
	"read_like":       policy.Redeliverable,
	"idempotency_key": policy.Deduplicated,
	"non_idempotent":  policy.AtMostOnce,
}

var groups = map[string]policy.Group{
	"":     policy.GroupAll,
	"all":  policy.GroupAll,
	"zone": policy.GroupZone,
	"cell": policy.GroupCell,
}

// Names of the load report fields that deployments use.
var (
	latencyFields = []string{"svc_ms", "latency_ms"} // of a cache's recent ops, in milliseconds
	queueFields   = []string{"pending", "queue"}     // ops that wait
	rateFields    = []string{"served_ps", "qps"}     // ops completed per second
)

const (
	unitsPerMillisecond = 10                                            // units of policy.Time
	microsecondsPerUnit = 100                                           // of policy.Time
	maxReportedLatency  = 1e6                                           // milliseconds; values from here on are not plausible
	maxDurationUS       = 366 * 24 * uint64(time.Hour/time.Microsecond) // a year: longer than any process lives, and no overflow in policy.Time or time.Duration
)

// ReportedLatency converts the latency in a load report, in milliseconds, to the decision module's unit. An implausible value
// gives 0, as does a report without one.
func ReportedLatency(ms float64) policy.Time {
	if !(ms > 0 && ms < maxReportedLatency) {
		return 0
	}
	return max(policy.Time(ms*unitsPerMillisecond), 1)
}

// timeFloor converts microseconds to the decision module's unit, rounded down. It caps them at maxDurationUS.
func timeFloor(us uint64) policy.Time {
	return policy.Time(min(us, maxDurationUS) / microsecondsPerUnit)
}

// timeCeil is timeFloor rounded up.
func timeCeil(us uint64) policy.Time {
	return timeFloor(min(us, maxDurationUS) + microsecondsPerUnit - 1)
}

func duration(us uint64) time.Duration {
	return time.Duration(min(us, maxDurationUS)) * time.Microsecond
}

// MaxTTL returns the longest TTL of the categories in use: no op is open for longer.
func (s Settings) MaxTTL() (longest time.Duration) {
	for _, c := range s.Policy.Categories {
		if !c.Dropped {
			longest = max(longest, time.Duration(c.TTL)*microsecondsPerUnit*time.Microsecond)
		}
	}
	return longest
}

// Fingerprint returns a hash of all settings as 16 hexadecimal digits. Snapshots carry it, so that one made under other settings
// is not loaded.
func (s Settings) Fingerprint() string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%+v", s)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Decode decodes and checks the JSON object. Unknown fields are ignored.
func Decode(text []byte) (Settings, error) {
	var c conf
	var s Settings
	if err := json.Unmarshal(text, &c); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	// The proxy's part of each fleet-wide limit depends on these two. Without them the proxy takes the whole limit.
	if c.Balancers < 0 || c.Balancers > maxProxies {
		return s, fmt.Errorf("settings: balancers: %d is not 0 to %d", c.Balancers, maxProxies)
	}
	if c.Index < 0 || c.Index > maxProxies {
		return s, fmt.Errorf("settings: index: %d is not 0 to %d", c.Index, maxProxies)
	}
	if err := c.check(); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	if len(c.Categories) == 0 {
		return s, fmt.Errorf("settings: categories is empty")
	}
	p := &s.Policy
	*p = policy.Settings{
		BeyondBenefit:  c.BeyondShareBenefit,
		Proxies:        max(c.Balancers, 1),
		Index:          c.Index,
		AskList:        c.Discovery == "ask",
		AskEvery:       timeFloor(c.Contract.AskEvery),
		Aside:          c.FamilyInfo.Mode == "aside",
		OriginKind:     -1,
		ColdFrom:       c.Contract.ColdFrom,
		WarmUp:         timeCeil(c.Contract.WarmUp),
		FallMultiple:   c.Contract.FallMultiple,
		TipAfter:       timeCeil(c.Contract.TipAfter),
		Tick:           max(timeCeil(c.Tick), 1),
		MostPushes:     1,
		Cancelling:     c.Limits.Cancelling,
		Peers:          c.Limits.Peers,
		MarksRetry:     c.ClientHabits.MarksRetry,
		ConnPrice:      c.Deductions.Connection,
		HandshakePrice: c.Deductions.Handshake,
		CrossPrice:     c.Deductions.CrossZone,
		ProbePrice:     c.Deductions.Probe,
		PeerPrice:      c.Deductions.Peer,
		NinesPart:      c.Blend.Nines,
		Zone:           c.Zone,
		Zones:          max(len(c.Zones), 1),
		RoughWeights:   c.Weights == "rough",
	}
	if c.Limits.MostPushes != nil {
		p.MostPushes = *c.Limits.MostPushes
	}
	if c.Blend.Full != nil {
		p.FullAtNines = *c.Blend.Full
	}
	if c.FamilyInfo.OriginKind != nil {
		p.OriginKind = *c.FamilyInfo.OriginKind
	}
	if c.Limits.RetryAfter {
		p.MaxRetryAfter = timeFloor(c.Limits.MaxRetryAfter)
	}
	for i, category := range c.Categories {
		effect, ok := effects[category.Effect]
		if !ok {
			return s, fmt.Errorf("settings: categories[%d].effect: unknown effect %q", i, category.Effect)
		}
		group, ok := groups[category.Group]
		if !ok {
			return s, fmt.Errorf("settings: categories[%d].group: unknown group %q", i, category.Group)
		}
		switch {
		case category.TTL == 0:
			return s, fmt.Errorf("settings: categories[%d].ttl-us: %d is not above 0", i, category.TTL)
		case category.Target == 0:
			return s, fmt.Errorf("settings: categories[%d].target-latency-us: %d is not above 0", i, category.Target)
		case slices.Contains(s.Categories, category.Name):
			return s, fmt.Errorf("settings: categories[%d].name: %q stands there twice", i, category.Name)
		}
		p.Categories = append(p.Categories, policy.Category{
			Effect:  effect,
			Group:   group,
			Window:  timeFloor(category.Window),
			Target:  timeFloor(category.Target),
			TTL:     timeFloor(category.TTL),
			Benefit: category.Benefit,
			Tardy:   category.Tardy,
		})
		s.Categories = append(s.Categories, category.Name)
	}
	for _, tenant := range c.Tenants {
		p.Quotas = append(p.Quotas, tenant.Quota)
		s.Tenants = append(s.Tenants, tenant.Name)
	}
	s.Zones, s.Kinds, s.MaxOpen = c.Zones, c.SKUs, c.Limits.MaxOpen
	fieldIndex := func(names []string) int {
		return slices.IndexFunc(c.LoadReport.Fields, func(name string) bool { return slices.Contains(names, name) })
	}
	s.Pace = fieldIndex(latencyFields)
	s.Waiting = fieldIndex(queueFields)
	s.Rate = fieldIndex(rateFields)
	if s.Waiting >= 0 && s.Rate >= 0 {
		s.WaitingField, s.RateField = c.LoadReport.Fields[s.Waiting], c.LoadReport.Fields[s.Rate]
		p.Probing = c.Limits.Probing && c.LoadReport.How == "on_probe"
	}
	if s.Pace >= 0 {
		s.PaceField = c.LoadReport.Fields[s.Pace]
	}
	s.ConnectTimeout = duration(c.Limits.Connect)
	s.IdleServer = duration(c.Limits.ConnIdle)
	return s, nil
}
