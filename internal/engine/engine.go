package engine

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/overload"
	"minttray/decide/site"
	"minttray/decide/warm"
	"minttray/internal/pulse"
	"minttray/policy"
)

const (
	unit    = 100 * time.Microsecond // of policy.Time
	overdue = 200                    // policy.Time after an op's TTL at which the engine ends it by itself

	longestProbe = 2500 // policy.Time for which a probe's answer is waited for
)

// Options is what an engine is made of.
type Options struct {
	Module       func(s policy.Settings, seed uint64, h policy.Host) Module // makes what decides
	Settings     policy.Settings
	Seed         uint64
	Connect      func(m Member) Server
	Logger       zerolog.Logger
	MaxOps       int            // held at once, at first
	MaxBytes     int64          // of requests held at once
	StallMonitor *pulse.Monitor // the engine's goroutine feeds it; nil: nobody asks

	// What another process hands over, by the caches' names.
	CachesOut  []string             // out by an operator's word
	ReturnedAt map[string]time.Time // were so until then, and have been cold since
	Memory     *warm.LearnedState         // what was learned; nil: nothing

	Sites map[int]SiteOverride // what operators said of whole zones
}

// Engine is the module's host. All fields below the queue belong to its goroutine.
type Engine struct {
	Options
	Counters   Counters
	queue      queue
	maxOps     atomic.Int64
	ops        atomic.Int64 // held, from Submit to the last push's end
	bytes      atomic.Int64
	ids        *ids
	ending     atomic.Bool // all is handed back, and nothing is taken
	unanswered openOps
	oldest     atomic.Int64 // since when the event in hand has waited, in nanoseconds since origin; 0: none is
	behind     *behind

	module  Module
	catalog Catalog
	origin  time.Time   // of the monotonic clock
	offset  policy.Time // origin, since 1970
	now     policy.Time // stands still while one event is handled
	timers  timers
	later   []func() // what a host call brought about at once: told after the module has returned
	held    map[uint32]*op
	lastID  uint32
	servers map[uint32]*server
	out     map[string]bool // caches out by an operator's word
	back    map[string]policy.Time
	sites   map[int]site.Rollout[policy.Time] // operators' words on whole zones
	turning bool                           // some caches have their turn ahead of them
	left    map[string]policy.Time         // caches that have gone, while the list does not name them: when they had started
}

type server struct {
	Server
	member  Member
	start   policy.Time
	probing bool   // a probe is out
	unprobe func() // takes that back, unless it is written
}

// takeBack takes a probe back that is not written yet.
func (s *server) takeBack() {
	if s.unprobe != nil {
		s.unprobe()
	}
}

type op struct {
	*Op
	id   uint32
	ttl  policy.Time
	n    int // pushes so far
	most int // that it may have
	out  []*push

	effect policy.Effect
	window policy.Time // for which a repeat is dropped; 0: the op is not deduplicated
	ran    policy.Time // the first push that may have run; 0: none
	over   bool        // answered, or its client has left
	size   int64
}

type push struct {
	n      int
	to     uint32
	at     policy.Time
	giveUp func(AbortCondition) bool
}

// New makes an engine; Run starts it.
func New(o Options) *Engine {
	e := &Engine{Options: o, held: map[uint32]*op{}, servers: map[uint32]*server{}, out: map[string]bool{}, back: map[string]policy.Time{},
		left: map[string]policy.Time{}, origin: time.Now()}
	for _, name := range o.CachesOut {
		e.out[name] = true
	}
	e.behind = newBehind(e)
	e.sites = e.hands(o.Sites)
	e.maxOps.Store(int64(o.MaxOps))
	e.queue.wake = make(chan struct{}, 1)
	e.ids = newIDs(longest(o.Settings))
	// The clock counts from 1970, so that a cache's start needs no shift; it is read once and then only runs on
	// monotonically, whatever is done to the machine's clock.
	e.offset = policy.Time(e.origin.UnixNano() / int64(unit))
	e.now = e.offset
	for name, at := range o.ReturnedAt {
		e.back[name] = e.offset + policy.Time(at.Sub(e.origin)/unit)
	}
	return e
}

// longest is how long an op may be open.
func longest(s policy.Settings) time.Duration {
	longest := policy.Time(time.Second / unit)
	for _, c := range s.Categories {
		longest = max(longest, c.TTL)
	}
	return time.Duration(longest+overdue) * unit
}

// Start makes the module and tells it the list as last had. It comes before Run and before the first op.
func (e *Engine) Start(catalog Catalog, known []Member) {
	e.catalog = catalog
	e.module = e.Options.Module(e.Settings, e.Seed, e)
	if e.Memory != nil {
		// Danger: the list as last had may be older than what was known at the last end, and name a cache in use that drains.
		// Its next word on that counts again.
		for i, m := range known {
			if start, ok := e.Memory.Departed[m.Name]; ok && int64(m.Start) <= start && m.State == policy.Ready {
				known[i].State = policy.Draining
			}
		}
	}
	e.list(policy.ListCached, known)
	e.settle()
}

// Run serves until stop is closed.
func (e *Engine) Run(stop <-chan struct{}) {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	defer e.behind.stop()
	var events []event
	for {
		if wait, bounded := e.nextTimer(); bounded {
			clock.Reset(wait)
		}
		select {
		case <-stop:
			return
		case <-e.queue.wake:
		case <-clock.C:
		}
		events = e.queue.take(events)
		e.Counters.Longest = max(e.Counters.Longest, len(events))
		e.row(events)
	}
}

// row handles a row of events, and the timers that are due between them.
func (e *Engine) row(events []event) {
	from := time.Now()
	e.behind.begin(from)
	defer e.behind.end()
	for i, ev := range events {
		e.handling(ev.at)
		e.first()
		e.Counters.Delay = max(e.Counters.Delay, time.Since(ev.at))
		e.handle(ev.kind, ev.do)
		events[i] = event{}
		e.fire()
	}
	e.handling(time.Now())
	e.first()
	e.fire()
	e.Counters.Stall = max(e.Counters.Stall, time.Since(from))
}

// nextTimer is how long the engine may wait for events: up to its next timer, and its next beat.
func (e *Engine) nextTimer() (wait time.Duration, bounded bool) {
	if e.StallMonitor != nil {
		wait, bounded = pulse.BeatInterval, true
	}
	if len(e.timers.heap) > 0 {
		due := max(time.Until(e.wall(e.timers.heap[0].at)), 0)
		if !bounded || due < wait {
			wait, bounded = due, true
		}
	}
	return wait, bounded
}

func (e *Engine) fire() {
	for do := e.timers.due(e.read()); do != nil; do = e.timers.due(e.now) {
		e.handle(timerEvent, do)
	}
}

func (e *Engine) read() policy.Time {
	now := time.Now()
	e.StallMonitor.Beat(now)
	e.now = e.offset + policy.Time(now.Sub(e.origin)/unit)
	return e.now
}

// wall is the first moment at which the clock shows t.
func (e *Engine) wall(t policy.Time) time.Time { return e.origin.Add(time.Duration(t-e.offset) * unit) }

func (e *Engine) handle(kind eventKind, do func()) {
	from := e.origin.Add(time.Duration(e.read()-e.offset) * unit)
	do()
	e.settle()
	if took := time.Since(from); took > e.Counters.LongestEvent {
		e.Counters.LongestEvent, e.Counters.LongestKind = took, kind
	}
}

func (e *Engine) settle() {
	for i := 0; i < len(e.later); i++ {
		e.later[i]()
	}
	clear(e.later)
	e.later = e.later[:0]
}

// first runs what operators ask for: ahead of every other event, as its answer is owed under any load.
func (e *Engine) first() {
	for _, do := range e.queue.takeFirst() {
		e.handle(callEvent, do)
	}
}

// Do runs f on the engine's goroutine.
func (e *Engine) Do(f func(*Engine)) {
	e.queue.put(callEvent, func() {
		e.Counters.Judged = e.module.Judged()
		f(e)
	})
}

// Submit hands an op in. With an error the op was not taken, and the front turns it away.
func (e *Engine) Submit(o *Op) error {
	size := int64(len(o.Request.Value) + o.Request.Properties.Size() + len(o.Request.Key) + len(o.Request.ID))
	ops, bytes := e.ops.Add(1), e.bytes.Add(size)
	if ops > e.maxOps.Load() || bytes > e.MaxBytes || e.ending.Load() {
		e.ops.Add(-1)
		e.bytes.Add(-size)
		return ErrFull
	}
	if now := time.Now(); overload.ShouldReject(overload.Time(e.lag(now)), overload.Time(o.Request.Deadline.Remaining(now))) {
		e.ops.Add(-1)
		e.bytes.Add(-size)
		e.behind.TurnedAway.Add(1)
		return ErrOverloaded
	}
	if !e.ids.add(o.Request.ID, o.ReceivedAt) {
		e.ops.Add(-1)
		e.bytes.Add(-size)
		return ErrDuplicateID
	}
	o.wait = o.Request.Deadline.Remaining(o.ReceivedAt)
	o.mark(&o.Trace.Submitted, time.Now())
	e.unanswered.add(o)
	e.queue.put(requestEvent, func() { e.arrived(o, size) })
	return nil
}

// Leave tells that an op's client has gone away. It may come ahead of the op's own Submit.
func (e *Engine) Abandon(o *Op) {
	o.Request.Abandon()
	e.queue.put(leaveEvent, func() {
		e.unanswered.remove(o)
		if h := o.held; h != nil && !h.over {
			e.Counters.Left++
			e.end(h)
			e.module.ClientLeft(h.id)
			e.forget(h)
		}
	})
}

func (e *Engine) arrived(o *Op, size int64) {
	o.mark(&o.Trace.Arrived, time.Now())
	if o.Request.Abandoned() { // before the engine came to it: there is nobody to answer, or it has its answer; nothing has begun
		e.Counters.Taken++
		if progress(o.progress.Load()) != opAnswered {
			e.Counters.Left++
		}
		e.unanswered.remove(o)
		if o.OnRelease != nil {
			o.OnRelease()
		}
		e.ops.Add(-1)
		e.bytes.Add(-size)
		return
	}
	c := e.Settings.Categories[o.Category]
	if c.TTL > 0 { // No client waits longer than that, whatever it says; else a slip there would hold memory.
		o.Request.Deadline = o.Request.Deadline.AtMost(o.ReceivedAt.Add(time.Duration(c.TTL) * unit))
	}
	ttl := e.offset + policy.Time(o.Request.Deadline.Remaining(e.origin)/unit)
	h := &op{Op: o, ttl: ttl, size: size, most: e.Settings.MostPushes}
	if h.effect = c.Effect; h.effect == policy.Deduplicated {
		h.window = c.Window
	}
	for {
		e.lastID++
		if e.held[e.lastID] == nil && e.lastID != 0 {
			break
		}
	}
	h.id = e.lastID
	e.held[h.id], o.held = h, h
	e.Counters.Taken++
	e.timers.set(h.ttl+overdue, func() { e.expire(h) })
	e.module.OpArrived(h.id, o.Key, o.Category, o.Tenant, o.Request.Write, o.IsRetry, max(h.ttl-e.now, 0))
	if e.ending.Load() { // it was handed in just before
		e.module.HandBack(h.id)
	}
	e.forget(h)
}

// expire is the last net under rule 1: the module answers by the TTL at the latest, and this is never reached
// while it does.
func (e *Engine) expire(h *op) {
	if h.over {
		return
	}
	e.Counters.Overdue++
	e.Logger.Error().Str("op", h.Request.ID).Msg("op not answered by its TTL")
	e.end(h)
	if e.answers(h) {
		h.Reply.DeadLettered()
	}
	e.module.ClientLeft(h.id)
	e.forget(h)
}

// answers takes the right to answer an op on the engine's goroutine; false: it was answered as that was behind.
func (e *Engine) answers(h *op) bool {
	if _, ok := h.claim(); !ok {
		return false
	}
	e.answered(h.Op, false)
	return true
}

// end marks an op as over: the one place through which each op goes once. Danger: a push that still dials, or waits for
// another connection, or lies in our system's buffer for a server that hangs, would come after the op's answer or its
// client's leaving. To take it back is no cancelling: no server has all of it.
func (e *Engine) end(h *op) {
	h.over = true
	for _, p := range h.out {
		if p.giveUp(IfUnwritten) {
			e.later = append(e.later, func() { e.withdrawn(h, p) })
		} else if p.giveUp(IfUnsent) {
			e.later = append(e.later, func() { e.ended(h, p, Result{Outcome: policy.Cancelled}) })
		}
	}
}

// withdrawn tells of a push that was taken back before a byte of it was written.
func (e *Engine) withdrawn(h *op, p *push) {
	if slices.Contains(h.out, p) {
		e.Counters.Withdrawn++
		e.ended(h, p, Result{Outcome: policy.NotSent})
	}
}

// withdraw takes back all pushes to some caches that are not written yet. The module knows by then that nothing goes there.
func (e *Engine) withdraw(caches map[uint32]bool) {
	if len(caches) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(e.held)) { // the module is told in the same order each time
		h := e.held[id]
		if h == nil {
			continue
		}
		for _, p := range slices.Clone(h.out) {
			if caches[p.to] && p.giveUp(IfUnwritten) {
				e.withdrawn(h, p)
			}
		}
	}
}

// forget lets go of an op that is over and has nothing out.
func (e *Engine) forget(h *op) {
	if h.over && len(h.out) == 0 && e.held[h.id] == h {
		delete(e.held, h.id)
		if h.OnRelease != nil {
			h.OnRelease()
		}
		h.Op = nil // timers keep h for a while, and must not keep a value; a server may still be reading the op
		e.ops.Add(-1)
		e.bytes.Add(-h.size)
	}
}

// ended takes a push's one outcome.
func (e *Engine) ended(h *op, p *push, r Result) {
	at := -1
	for i := range h.out {
		if h.out[i] == p {
			at = i
		}
	}
	if r.Body.Size > 0 && (at < 0 || h.over) {
		r.Body.Close() // nobody waits for it
	}
	if at < 0 {
		return // given up before: its outcome was told then
	}
	h.out = append(h.out[:at], h.out[at+1:]...)
	if !r.Outcome.NotExecuted() && (h.ran == 0 || p.at < h.ran) {
		h.ran = p.at
	}
	e.Counters.Pushes[r.Outcome]++
	if r.Outcome == policy.Acked && !h.over {
		e.Counters.Acked++
		e.end(h)
		if answers := e.answers(h); !answers && r.Body.Size > 0 {
			r.Body.Close()
		} else if !answers { // its client has its answer
		} else if r.Body.Size > 0 {
			h.Reply.Streamed(r.Body) // whether it ends well is between cache and client: nothing is pushed anew
		} else {
			h.Reply.Acked(r.Value)
		}
	}
	if r.Err != nil {
		e.Logger.Debug().Err(r.Err).Str("op", h.Request.ID).Int("push", p.n).Msg("push failed")
	}
	if r.ReportInvalid {
		e.Counters.ReportsBad++
	}
	if r.ReportedLatency > 0 {
		e.Counters.Reports++
		e.module.Reported(p.to, r.ReportedLatency)
	}
	e.module.PushEnded(h.id, p.n, r.Outcome, r.Missed, h.over, e.now-p.at)
	e.forget(h)
}

// UpdateList tells what discovery has said. It may be called from any goroutine.
func (e *Engine) UpdateList(kind policy.ListKind, members []Member) {
	e.queue.put(listEvent, func() {
		from := time.Now()
		e.list(kind, members)
		e.Counters.ListLongest, e.Counters.ListEntries = max(e.Counters.ListLongest, time.Since(from)), len(e.servers)
	})
}

func (e *Engine) list(kind policy.ListKind, members []Member) {
	e.Counters.Lists++
	entries := make([]policy.Entry, 0, len(members))
	shut := map[uint32]bool{} // caches to which nothing goes any more, or no longer there
	var probed []*server      // as they were
	if kind == policy.ListFull || kind == policy.ListCached {
		named := make(map[uint32]bool, len(members))
		for i := range members {
			named[members[i].ID] = true
		}
		for id, s := range e.servers { // who is missing from a whole list is gone
			if !named[id] {
				s.Retire()
				delete(e.servers, id)
				e.leave(s)
				shut[id], probed = true, append(probed, s)
			}
		}
	}
	for _, m := range members {
		if m.State != policy.Gone {
			delete(e.left, m.Name)
		} else if s := e.servers[m.ID]; s != nil {
			e.leave(s)
		}
		// The list need not tell that a cache which was out has been restarted.
		m.Excluded, m.Start = e.out[m.Name] || e.handed(&m), max(m.Start, e.back[m.Name])
		entries = append(entries, m.Entry)
		s := e.servers[m.ID]
		if s != nil && (m.State == policy.Gone || s.member.Addr != m.Addr || s.start < m.Start) {
			// Gone, elsewhere, or a new process: a connection to the old one may be silent for ever, and a push
			// written to it would wait in vain. What is out there still ends by itself.
			s.Retire()
			delete(e.servers, m.ID)
			probed = append(probed, s)
			s, shut[m.ID] = nil, true
		}
		if s == nil && m.State != policy.Gone {
			e.servers[m.ID] = &server{Server: e.Connect(m), start: m.Start}
		}
		if s = e.servers[m.ID]; s != nil {
			if m.State == policy.Draining && s.member.State != policy.Draining {
				shut[m.ID], probed = true, append(probed, s)
			}
			s.member = m
		}
	}
	e.module.ListArrived(kind, entries)
	// Danger: a connection that comes up late, or follows a stale one, would carry a push or a probe there after the drain's grace.
	e.withdraw(shut)
	slices.SortFunc(probed, func(x, y *server) int { return cmp.Compare(x.member.ID, y.member.ID) }) // the same order each time
	for _, s := range probed {
		s.takeBack()
	}
	e.recall()
}

const mostLeft = 8 << 10 // caches that have gone and are remembered

func (e *Engine) leave(s *server) {
	if len(e.left) >= mostLeft {
		clear(e.left) // the old ones are in no list any more
	}
	e.left[s.member.Name] = s.start
}

// recall hands the module what was learned before, as soon as it knows caches: before there is anything to lose. A number that
// stands for another name now gets nothing.
func (e *Engine) recall() {
	if e.Memory == nil || len(e.servers) == 0 {
		return
	}
	m := *e.Memory
	e.Memory = nil
	for id, was := range m.Caches {
		if s := e.servers[id]; s == nil || s.member.Name != was.Name {
			delete(m.Caches, id)
		}
	}
	e.module.Recall(m)
}
