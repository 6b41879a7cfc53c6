// Package baseline holds plain rules that decide in the module's place, to compare it with. They keep the four rules as
// far as a plain rule can, learn nothing, and are never part of the daemon.
package baseline

import (
	"fmt"
	"slices"
	"strings"

	"minttray/decide/evidence"
	"minttray/decide/warm"
	"minttray/policy"
)

// Names are the rules there are. The last one is no rule to compare with: it sends any op on, whatever an earlier push may have
// done, and stands for a planted fault that the ledger has to find.
var Names = []string{"random", "rendezvous", "least", reckless}

const reckless = "reckless"

type server struct {
	policy.Entry
	out int
}

type push struct {
	n  int
	to uint32
	at policy.Time
}

type op struct {
	id     uint32
	key    uint64
	cat    *policy.Category
	write  bool
	aim    policy.Time
	n      int
	out    *push
	tried  []uint32
	ran    bool
	missed bool
	over   bool
}

// Rule is one baseline.
type Rule struct {
	policy.Settings
	name   string
	host   policy.Host
	rnd    uint64
	list   map[uint32]*server
	ranks  []*server // listed caches, by id
	origin *server
	ops    map[uint32]*op
}

// New makes one by its name.
func New(name string, s policy.Settings, seed uint64, h policy.Host) (*Rule, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("%q is none of %s", name, strings.Join(Names, ", "))
	}
	r := &Rule{Settings: s, name: name, host: h, rnd: seed | 1, list: map[uint32]*server{}, ops: map[uint32]*op{}}
	if s.AskList {
		h.Watch(true)
	}
	return r, nil
}

func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

func (r *Rule) chance() uint64 {
	r.rnd += 0x9e3779b97f4a7c15
	return mix(r.rnd)
}

// ListArrived takes the list.
func (r *Rule) ListArrived(kind policy.ListKind, entries []policy.Entry) {
	if kind == policy.ListFailed {
		return
	}
	if kind != policy.ListDelta {
		for _, s := range r.list {
			s.State = policy.Gone
		}
	}
	for _, e := range entries {
		if s := r.list[e.ID]; s != nil {
			s.Entry = e
		} else {
			r.list[e.ID] = &server{Entry: e}
		}
	}
	r.ranks, r.origin = r.ranks[:0], nil
	for id, s := range r.list {
		switch {
		case s.State == policy.Gone && s.out == 0:
			delete(r.list, id)
		case s.Kind == r.OriginKind && s.State != policy.Gone:
			r.origin = s
		case s.State == policy.Ready:
			r.ranks = append(r.ranks, s)
		}
	}
	slices.SortFunc(r.ranks, func(a, b *server) int { return int(int64(a.ID) - int64(b.ID)) })
}

// OpArrived takes an op.
func (r *Rule) OpArrived(id uint32, key uint64, category, _ int, write, _ bool, left policy.Time) {
	c := &r.Categories[min(category, len(r.Categories)-1)]
	o := &op{id: id, key: key, cat: c, write: write, aim: r.host.Now() + left - r.Tick}
	r.ops[id] = o
	r.next(o)
}

// choose picks a cache among those not tried yet.
func (r *Rule) choose(o *op) *server {
	var best *server
	var most uint64
	for _, s := range r.ranks {
		if s.State != policy.Ready || slices.Contains(o.tried, s.ID) {
			continue
		}
		var score uint64
		switch r.name {
		case "random":
			score = r.chance()
		case "rendezvous", reckless:
			score = mix(o.key ^ mix(uint64(s.ID)))
		case "least":
			score = uint64(1<<20-min(s.out, 1<<20-1))<<40 | r.chance()>>24
		}
		if best == nil || score > most {
			best, most = s, score
		}
	}
	return best
}

const mostTries = 2 // at caches

func (r *Rule) next(o *op) {
	now := r.host.Now()
	var to *server
	switch {
	case now >= o.aim || o.n >= r.MostPushes || o.ran && !r.repeatable(o):
	case r.Aside && (o.write || o.missed):
		to = r.origin
	case len(o.tried) < mostTries:
		to = r.choose(o)
	}
	if to == nil {
		r.giveUp(o)
		return
	}
	o.out = &push{o.n, to.ID, now}
	if o.n++; to != r.origin {
		o.tried = append(o.tried, to.ID)
	}
	to.out++
	r.host.Push(o.id, to.ID, o.aim)
}

// Record is empty: nothing is learned.
func (r *Rule) Record(uint32) *evidence.Record { return &evidence.Record{} }

// Learned is nothing.
func (r *Rule) Learned() warm.LearnedState { return warm.LearnedState{} }

// Recall takes nothing.
func (r *Rule) Recall(warm.LearnedState) {}

// HandBack answers an op as the process ends.
func (r *Rule) HandBack(id uint32) {
	if o := r.ops[id]; o != nil && !o.over {
		o.ran = o.ran || o.out != nil
		r.giveUp(o)
	}
}

// Retune takes new settings; open ops keep their category's rules.
func (r *Rule) Retune(s policy.Settings) { r.Settings = s }

func (r *Rule) repeatable(o *op) bool {
	return o.cat.Effect == policy.Redeliverable || r.name == reckless
}

// Reported: none of the plain rules asks for load reports.
func (r *Rule) Reported(uint32, policy.Time) {}

// Probed: no rule probes.
func (r *Rule) Probed(uint32, bool, float64, float64) {}

// PushEnded takes a push's outcome.
func (r *Rule) PushEnded(id uint32, n int, how policy.Outcome, _, terminal bool, _ policy.Time) {
	o := r.ops[id]
	if o == nil || o.out == nil || o.out.n != n {
		return
	}
	if s := r.list[o.out.to]; s != nil {
		s.out--
	}
	o.out = nil
	o.ran = o.ran || !how.NotExecuted()
	switch {
	case terminal || o.over || how == policy.Acked:
		delete(r.ops, id)
	case how == policy.Miss:
		o.missed = true
		r.next(o)
	case o.missed || r.Aside && o.write: // the origin failed
		r.giveUp(o)
	default:
		r.next(o)
	}
}

// giveUp answers at once.
func (r *Rule) giveUp(o *op) {
	o.over = true
	if !o.ran || r.repeatable(o) || o.cat.Effect == policy.Deduplicated && o.cat.Group == policy.GroupAll {
		r.host.Nack(o.id, min(o.cat.Target/4, r.MaxRetryAfter))
	} else {
		r.host.DeadLetter(o.id)
	}
	delete(r.ops, o.id)
}

// ClientLeft takes word that nobody waits any more.
func (r *Rule) ClientLeft(id uint32) {
	if o := r.ops[id]; o != nil {
		o.over = true
		if o.out == nil {
			delete(r.ops, id)
		} else if r.Cancelling {
			r.host.Cancel(id, o.out.n)
		}
	}
}

// TimerDue does nothing: a rule sets no timers.
func (r *Rule) TimerDue(uint64) {}

// Judged has nothing to tell.
func (r *Rule) Judged() policy.Counts { return policy.Counts{} }
