// Package baseline holds simple routing policies, called decision rules on the command line of the laboratory, that the routing module is
// compared with. They keep the rules on repeated pushes and on answers as far as a simple policy can, learn nothing, and are never part of
// the daemon.
package baseline

import (
	"fmt"
	"slices"
	"strings"

	"minttray/decide/evidence"
	"minttray/decide/warm"
	"minttray/policy"
)

// Names are the names of the policies. The last one is not meant for comparisons: it pushes any op again, whatever an earlier push may have
// done. It breaks the rule on repeated pushes on purpose, to test that the judge of the ledger reports it.
var Names = []string{"random", "rendezvous", "least", reckless}

const reckless = "reckless"

// maxCachesPerOp is the largest number of caches that an op is pushed to.
const maxCachesPerOp = 2

// server is a server that is listed, or that still has pushes in progress.
type server struct {
	policy.Entry
	pushes int // number of pushes in progress
}

// push is a push in progress.
type push struct {
	n      int    // number of the push within its op, from 0
	server uint32 // ID
}

// op is an op in progress.
type op struct {
	id         uint32
	key        uint64
	category   *policy.Category
	write      bool
	deadline   policy.Time
	pushes     int      // made so far
	current    *push    // nil if no push is in progress
	pushedTo   []uint32 // caches that it was pushed to
	mayHaveRun bool     // an ended push may have had an effect
	missed     bool     // a cache did not have the key
	closed     bool     // it was answered, or its client has left
}

// Rule is a routing policy that takes the place of the routing module. It implements engine.Module.
type Rule struct {
	policy.Settings
	name    string
	host    policy.Host
	random  uint64 // state of the random number generator
	servers map[uint32]*server
	ready   []*server // listed caches that are ready, sorted by ID
	origin  *server   // nil if none is listed
	ops     map[uint32]*op
}

// New returns the policy with a name, which acts through h. It returns an error for an unknown name.
func New(name string, s policy.Settings, seed uint64, h policy.Host) (*Rule, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("unknown baseline %q, expected one of %s", name, strings.Join(Names, ", "))
	}
	r := &Rule{Settings: s, name: name, host: h, random: seed | 1, servers: map[uint32]*server{}, ops: map[uint32]*op{}}
	if s.AskList {
		h.Watch(true)
	}
	return r, nil
}

// mix64 is the finalizer of SplitMix64, a bijective hash.
func mix64(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// nextRandom returns the next random number.
func (r *Rule) nextRandom() uint64 {
	r.random += 0x9e3779b97f4a7c15
	return mix64(r.random)
}

// ListArrived updates the servers from a discovery list.
func (r *Rule) ListArrived(kind policy.ListKind, entries []policy.Entry) {
	if kind == policy.ListFailed {
		return
	}
	if kind != policy.ListDelta {
		for _, s := range r.servers {
			s.State = policy.Gone
		}
	}
	for _, e := range entries {
		if s := r.servers[e.ID]; s != nil {
			s.Entry = e
		} else {
			r.servers[e.ID] = &server{Entry: e}
		}
	}
	r.ready, r.origin = r.ready[:0], nil
	for id, s := range r.servers {
		switch {
		case s.State == policy.Gone && s.pushes == 0:
			delete(r.servers, id)
		case s.Kind == r.OriginKind && s.State != policy.Gone:
			r.origin = s
		case s.State == policy.Ready:
			r.ready = append(r.ready, s)
		}
	}
	slices.SortFunc(r.ready, func(a, b *server) int { return int(int64(a.ID) - int64(b.ID)) })
}

// OpArrived starts an op that has to be answered within timeLeft.
func (r *Rule) OpArrived(id uint32, key uint64, category, _ int, write, _ bool, timeLeft policy.Time) {
	c := &r.Categories[min(category, len(r.Categories)-1)]
	// The deadline is one tick early, so that the op ends before its client stops waiting.
	o := &op{id: id, key: key, category: c, write: write, deadline: r.host.Now() + timeLeft - r.Tick}
	r.ops[id] = o
	r.pushNext(o)
}

// The score of the "least" policy is maxCountedPushes less the pushes in progress, in the high bits, followed by tieBreakBits random bits
// that break ties.
const (
	maxCountedPushes = 1 << 20
	tieBreakBits     = 40
)

// choose returns the cache with the highest score among the ready caches that the op was not pushed to, or nil.
func (r *Rule) choose(o *op) *server {
	var best *server
	var bestScore uint64
	for _, s := range r.ready {
		if s.State != policy.Ready || slices.Contains(o.pushedTo, s.ID) {
			continue
		}
		var score uint64
		switch r.name {
		case "random":
			score = r.nextRandom()
		case "rendezvous", reckless:
			score = mix64(o.key ^ mix64(uint64(s.ID)))
		case "least":
			score = uint64(maxCountedPushes-min(s.pushes, maxCountedPushes-1))<<tieBreakBits | r.nextRandom()>>(64-tieBreakBits)
		}
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// pushNext pushes an op to its next server, or gives it up.
func (r *Rule) pushNext(o *op) {
	now := r.host.Now()
	var target *server
	switch {
	case now >= o.deadline || o.pushes >= r.MostPushes || o.mayHaveRun && !r.repeatable(o): // no further push is allowed
	case r.Aside && (o.write || o.missed):
		target = r.origin
	case len(o.pushedTo) < maxCachesPerOp:
		target = r.choose(o)
	}
	if target == nil {
		r.giveUp(o)
		return
	}
	o.current = &push{n: o.pushes, server: target.ID}
	if o.pushes++; target != r.origin {
		o.pushedTo = append(o.pushedTo, target.ID)
	}
	target.pushes++
	r.host.Push(o.id, target.ID, o.deadline)
}

// Record returns an empty record, as nothing is learned.
func (r *Rule) Record(uint32) *evidence.Record { return &evidence.Record{} }

// Learned returns an empty state, as nothing is learned.
func (r *Rule) Learned() warm.LearnedState { return warm.LearnedState{} }

// Recall ignores the learned state of an earlier process.
func (r *Rule) Recall(warm.LearnedState) {}

// HandBack answers an op at once; the engine calls it when the process ends.
func (r *Rule) HandBack(id uint32) {
	if o := r.ops[id]; o != nil && !o.closed {
		o.mayHaveRun = o.mayHaveRun || o.current != nil
		r.giveUp(o)
	}
}

// Retune replaces the settings after a reload. Ops in progress keep the category that they started with.
func (r *Rule) Retune(s policy.Settings) { r.Settings = s }

// repeatable reports whether the policy pushes an op again although an earlier push may have run.
func (r *Rule) repeatable(o *op) bool {
	return o.category.Effect == policy.Redeliverable || r.name == reckless
}

// Reported does nothing: the policies use no load reports.
func (r *Rule) Reported(uint32, policy.Time) {}

// Probed does nothing: the policies send no probes.
func (r *Rule) Probed(uint32, bool, float64, float64) {}

// PushEnded processes the outcome of push n of an op.
func (r *Rule) PushEnded(id uint32, n int, outcome policy.Outcome, _, terminal bool, _ policy.Time) {
	o := r.ops[id]
	if o == nil || o.current == nil || o.current.n != n {
		return
	}
	if s := r.servers[o.current.server]; s != nil {
		s.pushes--
	}
	o.current = nil
	o.mayHaveRun = o.mayHaveRun || !outcome.NotExecuted()
	switch {
	case terminal || o.closed || outcome == policy.Acked:
		delete(r.ops, id)
	case outcome == policy.Miss:
		o.missed = true
		r.pushNext(o)
	case o.missed || r.Aside && o.write: // the push after a miss, or a write to the origin, failed
		r.giveUp(o)
	default:
		r.pushNext(o)
	}
}

// retryAfterDivisor is what the target latency is divided by to give the retry-after time of a nack.
const retryAfterDivisor = 4

// giveUp answers an op with a nack if its client may safely repeat it, and with an error otherwise.
func (r *Rule) giveUp(o *op) {
	o.closed = true
	if !o.mayHaveRun || r.repeatable(o) || o.category.Effect == policy.Deduplicated && o.category.Group == policy.GroupAll {
		r.host.Nack(o.id, min(o.category.Target/retryAfterDivisor, r.MaxRetryAfter))
	} else {
		r.host.DeadLetter(o.id)
	}
	delete(r.ops, o.id)
}

// ClientLeft ends an op whose client has left. A push in progress is cancelled if the settings allow it.
func (r *Rule) ClientLeft(id uint32) {
	if o := r.ops[id]; o != nil {
		o.closed = true
		if o.current == nil {
			delete(r.ops, id)
		} else if r.Cancelling {
			r.host.Cancel(id, o.current.n)
		}
	}
}

// TimerDue does nothing: the policies set no timers.
func (r *Rule) TimerDue(uint64) {}

// Judged returns the policy's counters, which are all zero: the policies count nothing.
func (r *Rule) Judged() policy.Counts { return policy.Counts{} }
