// Package ways injects network faults between the processes of a run. Each direction of each link, that is of each pair of
// endpoints, can be cut, delayed or limited in bandwidth, and connections can be made silent or reset. The processes under test are
// not involved: the faults act on the laboratory's own ends of their connections.
//
// On a cut link TCP handshakes do not complete, and data waits until the link is restored. Data that waits is lost if its sender closes or
// resets the connection before that.
package ways

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Endpoint is one end of a connection, or a pattern for such ends.
type Endpoint struct {
	Site int    // index of the zone; AnySite matches all
	Name string // name of the process; empty matches all
}

// AnySite matches all sites.
const AnySite = -1

// matches reports whether the pattern e matches x.
func (e Endpoint) matches(x Endpoint) bool {
	return (e.Site == AnySite || e.Site == x.Site) && (e.Name == "" || e.Name == x.Name)
}

// Rule is a fault on the links between two patterns of endpoints, Local and Remote. It applies to connections whichever end opens them, and
// whichever end is the laboratory's.
type Rule struct {
	Local          Endpoint
	Remote         Endpoint
	OtherSites     bool          // the remote ends are all endpoints outside the zone of Local; Remote is not used
	Outbound       bool          // applies to data from Local to Remote
	Inbound        bool          // applies to data from Remote to Local
	Cut            bool          // no data passes
	Delay          time.Duration // added in each direction to which the rule applies
	BytesPerSecond float64       // bandwidth of each connection in each of these directions; 0: no limit
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
	changed   chan struct{}         // closed and replaced at each change
	observers map[ruleObserver]bool // connections and listeners
}

// ruleObserver is informed of each change of the rules. added is the rule that was added, or nil if one was removed.
type ruleObserver interface{ rulesChanged(added *Rule) }

// randomStream makes the random numbers of this package independent of other uses of the same seed. It is "ways" in ASCII.
const randomStream = 0x77617973

// New returns a table without rules. Random choices depend on the seed and on the order of connections.
func New(seed uint64) *RuleTable {
	return &RuleTable{random: rand.New(rand.NewPCG(seed, randomStream)), changed: make(chan struct{}), observers: map[ruleObserver]bool{}}
}

// Add adds a rule, which applies until remove is called.
func (t *RuleTable) Add(r Rule) (remove func()) {
	t.update(func() { t.rules = append(t.rules, &r) }, &r)
	return func() {
		t.update(func() { t.rules = slices.DeleteFunc(t.rules, func(x *Rule) bool { return x == &r }) }, nil)
	}
}

// update changes the rules, and returns once all observers have handled the change.
func (t *RuleTable) update(apply func(), added *Rule) {
	t.mu.Lock()
	apply()
	close(t.changed)
	t.changed = make(chan struct{})
	var observers []ruleObserver
	for o := range t.observers {
		observers = append(observers, o)
	}
	t.mu.Unlock()
	var notified sync.WaitGroup // concurrently, because a Listener takes tens of milliseconds to fill its accept queue
	for _, o := range observers {
		notified.Add(1)
		go func() {
			defer notified.Done()
			o.rulesChanged(added)
		}()
	}
	notified.Wait()
}

// subscribe adds an observer, or removes it.
func (t *RuleTable) subscribe(o ruleObserver, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on {
		t.observers[o] = true
	} else {
		delete(t.observers, o)
	}
}

// effective combines all rules for one direction: delays add up, and the lowest bandwidth and the largest shares apply. changed is closed at
// the next change of the rules.
func (t *RuleTable) effective(from, to Endpoint) (combined Rule, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rules {
		if r.matches(from, to) {
			combined.Cut = combined.Cut || r.Cut
			combined.Delay += r.Delay
			if r.BytesPerSecond > 0 && (combined.BytesPerSecond == 0 || r.BytesPerSecond < combined.BytesPerSecond) {
				combined.BytesPerSecond = r.BytesPerSecond
			}
			combined.SilentShare, combined.ResetShare = max(combined.SilentShare, r.SilentShare), max(combined.ResetShare, r.ResetShare)
		}
	}
	return combined, t.changed
}

// IsCut reports whether no connection can be opened between two endpoints: a cut of either direction prevents the handshake.
func (t *RuleTable) IsCut(from, to Endpoint) bool {
	forward, _ := t.effective(from, to)
	backward, _ := t.effective(to, from)
	return forward.Cut || backward.Cut
}

// Faulty reports whether rules have an effect in either direction between two endpoints.
func (t *RuleTable) Faulty(a, b Endpoint) bool {
	forward, _ := t.effective(a, b)
	backward, _ := t.effective(b, a)
	return forward != Rule{} || backward != Rule{}
}

// draw returns true with probability share, from 0 to 1.
func (t *RuleTable) draw(share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return share > 0 && t.random.Float64() < share
}
