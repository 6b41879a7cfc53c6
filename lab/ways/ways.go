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
const Any = -1

func (e Endpoint) holds(x Endpoint) bool {
	return (e.Site == Any || e.Site == x.Site) && (e.Name == "" || e.Name == x.Name)
}

// Rule is what is wrong with all ways between two ends. It holds for connections whoever opens them.
type Rule struct {
	Near, Far Endpoint
	Others    bool          // Far is each site but that of Near
	Out, In   bool          // from Near to Far, from Far to Near
	Cut       bool          // nothing comes through
	Delay     time.Duration // is added
	Rate      float64       // bytes a second on each connection; 0: as many as come
	Lose      float64       // share of new connections that come up and then are silent
	Reset     float64       // share of connections that are reset, the open ones at once and new ones as they come
}

func (r *Rule) holds(from, to Endpoint) bool {
	far := func(e Endpoint) bool { return r.Others && e.Site != r.Near.Site || !r.Others && r.Far.holds(e) }
	return r.Out && r.Near.holds(from) && far(to) || r.In && r.Near.holds(to) && far(from)
}

// RuleTable is all rules of a run. Its methods may be called from any goroutine.
type RuleTable struct {
	mu      sync.Mutex
	rules   []*Rule
	rnd     *rand.Rand
	changed chan struct{} // closed with each change
	seen    map[changes]bool
}

// changes is whom a change of the rules is told to, beside those that wait for it: once for each rule that is put.
type changes interface{ ruled(put *Rule) }

// New makes a table without rules. What is drawn hangs on the seed and on the order of connections.
func New(seed uint64) *RuleTable {
	return &RuleTable{rnd: rand.New(rand.NewPCG(seed, 0x77617973)), changed: make(chan struct{}), seen: map[changes]bool{}}
}

// Put adds a rule until the function that it gives is called.
func (t *RuleTable) Put(r Rule) (end func()) {
	t.change(func() { t.rules = append(t.rules, &r) }, &r)
	return func() {
		t.change(func() { t.rules = slices.DeleteFunc(t.rules, func(x *Rule) bool { return x == &r }) }, nil)
	}
}

func (t *RuleTable) change(do func(), put *Rule) {
	t.mu.Lock()
	do()
	close(t.changed)
	t.changed = make(chan struct{})
	var all []changes
	for c := range t.seen {
		all = append(all, c)
	}
	t.mu.Unlock()
	var told sync.WaitGroup // all at once: a listener takes tens of milliseconds to be sure that it is shut
	for _, c := range all {
		told.Add(1)
		go func() {
			defer told.Done()
			c.ruled(put)
		}()
	}
	told.Wait()
}

func (t *RuleTable) follow(c changes, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on {
		t.seen[c] = true
	} else {
		delete(t.seen, c)
	}
}

// is sums what is wrong in one direction now; changed is closed once it may be otherwise.
func (t *RuleTable) is(from, to Endpoint) (sum Rule, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rules {
		if r.holds(from, to) {
			sum.Cut = sum.Cut || r.Cut
			sum.Delay += r.Delay
			if r.Rate > 0 && (sum.Rate == 0 || r.Rate < sum.Rate) {
				sum.Rate = r.Rate
			}
			sum.Lose, sum.Reset = max(sum.Lose, r.Lose), max(sum.Reset, r.Reset)
		}
	}
	return sum, t.changed
}

// Cut tells whether a connection from one end to the other can't come up now: either direction is enough.
func (t *RuleTable) Cut(from, to Endpoint) bool {
	there, _ := t.is(from, to)
	back, _ := t.is(to, from)
	return there.Cut || back.Cut
}

// Faulty tells whether anything is wrong between two ends.
func (t *RuleTable) Faulty(a, b Endpoint) bool {
	there, _ := t.is(a, b)
	back, _ := t.is(b, a)
	return there != Rule{} || back != Rule{}
}

func (t *RuleTable) draw(share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return share > 0 && t.rnd.Float64() < share
}
