// Package ways is the network between every two processes of a run, as the lab may break it: each direction of each pair
// can be cut, delayed, thinned, and connections can be lost or reset. Processes are real and know nothing of it: what
// passes through here are the lab's own ends of their connections.
//
// A way that is cut is silent: handshakes do not come up, bytes stay on it and come late, or never if the sender closes the
// connection meanwhile. What was still on its way then is dropped, as a reset does.
package ways

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Endpoint is where a connection begins or ends: a place, and the process there.
type Endpoint struct {
	Site int    // its number; Any: none in particular
	Name string // of the process; empty: each
}

// Any is each site.
const AnySite = -1

func (e Endpoint) matches(x Endpoint) bool {
	return (e.Site == AnySite || e.Site == x.Site) && (e.Name == "" || e.Name == x.Name)
}

// Rule is what is wrong with all ways between two ends. It holds for connections whoever opens them.
type Rule struct {
	Local, Remote     Endpoint
	OtherSites        bool          // Far is each site but that of Near
	Outbound, Inbound bool          // from Near to Far, from Far to Near
	Cut               bool          // nothing comes through
	Delay             time.Duration // is added
	BytesPerSecond    float64       // bytes a second on each connection; 0: as many as come
	SilentShare       float64       // share of new connections that come up and then are silent
	ResetShare        float64       // share of connections that are reset, the open ones at once and new ones as they come
}

func (r *Rule) matches(from, to Endpoint) bool {
	isRemote := func(e Endpoint) bool {
		return r.OtherSites && e.Site != r.Local.Site || !r.OtherSites && r.Remote.matches(e)
	}
	return r.Outbound && r.Local.matches(from) && isRemote(to) || r.Inbound && r.Local.matches(to) && isRemote(from)
}

// RuleTable is all rules of a run. Its methods may be called from any goroutine.
type RuleTable struct {
	mu        sync.Mutex
	rules     []*Rule
	random    *rand.Rand
	changed   chan struct{} // closed with each change
	listeners map[ruleListener]bool
}

// changes is whom a change of the rules is told to, beside those that wait for it: once for each rule that is put.
type ruleListener interface{ rulesChanged(put *Rule) }

// New makes a table without rules. What is drawn hangs on the seed and on the order of connections.
func New(seed uint64) *RuleTable {
	return &RuleTable{random: rand.New(rand.NewPCG(seed, 0x77617973)), changed: make(chan struct{}), listeners: map[ruleListener]bool{}}
}

// Put adds a rule until the function that it gives is called.
func (t *RuleTable) Add(r Rule) (remove func()) {
	t.update(func() { t.rules = append(t.rules, &r) }, &r)
	return func() {
		t.update(func() { t.rules = slices.DeleteFunc(t.rules, func(x *Rule) bool { return x == &r }) }, nil)
	}
}

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
	var notified sync.WaitGroup // all at once: a listener takes tens of milliseconds to be sure that it is shut
	for _, c := range listeners {
		notified.Add(1)
		go func() {
			defer notified.Done()
			c.rulesChanged(added)
		}()
	}
	notified.Wait()
}

func (t *RuleTable) subscribe(c ruleListener, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on {
		t.listeners[c] = true
	} else {
		delete(t.listeners, c)
	}
}

// is sums what is wrong in one direction now; changed is closed once it may be otherwise.
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

// Cut tells whether a connection from one end to the other can't come up now: either direction is enough.
func (t *RuleTable) IsCut(from, to Endpoint) bool {
	forward, _ := t.effective(from, to)
	backward, _ := t.effective(to, from)
	return forward.Cut || backward.Cut
}

// Faulty tells whether anything is wrong between two ends.
func (t *RuleTable) Faulty(a, b Endpoint) bool {
	forward, _ := t.effective(a, b)
	backward, _ := t.effective(b, a)
	return forward != Rule{} || backward != Rule{}
}

func (t *RuleTable) draw(share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return share > 0 && t.random.Float64() < share
}
