// Package ways injects network faults between the processes of a run. Each direction of each link, that is of each pair of
// endpoints, can be cut, delayed or limited in bandwidth, and connections can be made silent or reset. The processes under test are
// not involved: the faults act on the laboratory's own ends of their connections.
//
// A cut link is silent: TCP handshakes do not complete, and data waits until the link is restored. Data is dropped if its sender
// closes the connection meanwhile, as a reset does.
package ways

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Endpoint is one end of a connection, or a pattern for such ends.
type Endpoint struct {
	Site int    // number of the site; AnySite matches all
	Name string // of the process; empty matches all
}

// AnySite matches all sites.
const AnySite = -1

// matches reports whether the pattern e matches x.
func (e Endpoint) matches(x Endpoint) bool {
	return (e.Site == AnySite || e.Site == x.Site) && (e.Name == "" || e.Name == x.Name)
}

// Rule is a fault on the links between two patterns of endpoints. It applies to connections whichever end opens them.
type Rule struct {
	Local          Endpoint
	Remote         Endpoint
	OtherSites     bool          // the remote ends are those at all sites but that of Local; Remote is not used
	Outbound       bool          // applies from local to remote ends
	Inbound        bool          // applies from remote to local ends
	Cut            bool          // no data passes
	Delay          time.Duration // added one way
	BytesPerSecond float64       // bandwidth of each connection; 0: no limit
	SilentShare    float64       // share of new connections that are accepted and then carry no data, from 0 to 1
	ResetShare     float64       // share of connections that are reset, open ones at once and new ones as they are accepted, from 0 to 1
}

// matches reports whether the rule applies to data from one endpoint to another.
func (r *Rule) matches(from, to Endpoint) bool {
	isRemote := func(e Endpoint) bool {
		return r.OtherSites && e.Site != r.Local.Site || !r.OtherSites && r.Remote.matches(e)
	}
	return r.Outbound && r.Local.matches(from) && isRemote(to) || r.Inbound && r.Local.matches(to) && isRemote(from)
}

// RuleTable holds the rules in force. It is safe for concurrent use.
type RuleTable struct {
	mu        sync.Mutex
	rules     []*Rule
	random    *rand.Rand
	changed   chan struct{} // closed and replaced at each change
	listeners map[ruleListener]bool
}

// ruleListener is called at each change of the rules: with the rule that was added, or nil when one was removed.
type ruleListener interface{ rulesChanged(added *Rule) }

// randomStream keeps the choices of this package independent of other uses of the same seed.
const randomStream = 0x77617973

// New makes a table without rules. Random choices depend on the seed and on the order of connections.
func New(seed uint64) *RuleTable {
	return &RuleTable{random: rand.New(rand.NewPCG(seed, randomStream)), changed: make(chan struct{}), listeners: map[ruleListener]bool{}}
}

// Add adds a rule, until remove is called.
func (t *RuleTable) Add(r Rule) (remove func()) {
	t.update(func() { t.rules = append(t.rules, &r) }, &r)
	return func() {
		t.update(func() { t.rules = slices.DeleteFunc(t.rules, func(x *Rule) bool { return x == &r }) }, nil)
	}
}

// update changes the rules, and returns once all listeners have handled the change.
func (t *RuleTable) update(apply func(), added *Rule) {
	t.mu.Lock()
	apply()
	close(t.changed)
	t.changed = make(chan struct{})
	var listeners []ruleListener
	for c := range t.listeners {
		listeners = append(listeners, c)
	}
	t.mu.Unlock()
	var notified sync.WaitGroup // notified concurrently: blocking a listener takes tens of milliseconds
	for _, c := range listeners {
		notified.Add(1)
		go func() {
			defer notified.Done()
			c.rulesChanged(added)
		}()
	}
	notified.Wait()
}

// subscribe adds a listener or removes it.
func (t *RuleTable) subscribe(c ruleListener, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on {
		t.listeners[c] = true
	} else {
		delete(t.listeners, c)
	}
}

// effective combines all rules for one direction; changed is closed at the next change of the rules.
func (t *RuleTable) effective(from, to Endpoint) (sum Rule, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rules {
		if r.matches(from, to) {
			sum.Cut = sum.Cut || r.Cut
			sum.Delay += r.Delay
			if r.BytesPerSecond > 0 && (sum.BytesPerSecond == 0 || r.BytesPerSecond < sum.BytesPerSecond) {
				sum.BytesPerSecond = r.BytesPerSecond
			}
			sum.SilentShare, sum.ResetShare = max(sum.SilentShare, r.SilentShare), max(sum.ResetShare, r.ResetShare)
		}
	}
	return sum, t.changed
}

// IsCut reports whether no connection can be opened between two endpoints: a cut of either direction prevents the handshake.
func (t *RuleTable) IsCut(from, to Endpoint) bool {
	forward, _ := t.effective(from, to)
	backward, _ := t.effective(to, from)
	return forward.Cut || backward.Cut
}

// Faulty reports whether any rule applies between two endpoints.
func (t *RuleTable) Faulty(a, b Endpoint) bool {
	forward, _ := t.effective(a, b)
	backward, _ := t.effective(b, a)
	return forward != Rule{} || backward != Rule{}
}

// draw returns true with a probability.
func (t *RuleTable) draw(share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return share > 0 && t.random.Float64() < share
}
