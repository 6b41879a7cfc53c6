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
	timeUnit     = 100 * time.Microsecond // of policy.Time
	overdueGrace = 200                    // policy.Time after an op's TTL at which the engine ends it by itself

	probeTimeout = 2500 // policy.Time for which a probe's answer is waited for
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
	Memory     *warm.LearnedState   // what was learned; nil: nothing

	Sites map[int]SiteOverride // what operators said of whole zones
}

// Engine is the module's host. All fields below the queue belong to its goroutine.
type Engine struct {
	Options
	Counters     Counters
	queue        queue
	maxOps       atomic.Int64
	opCount      atomic.Int64 // held, from Submit to the last push's end
	byteCount    atomic.Int64
	ids          *recentIDs
	shuttingDown atomic.Bool // all is handed back, and nothing is taken
	unanswered   unansweredOps
	oldestEvent  atomic.Int64 // since when the event in hand has waited, in nanoseconds since origin; 0: none is
	lagResponder *lagResponder

	module        Module
	catalog       Catalog
	clockStart    time.Time   // of the monotonic clock
	clockOffset   policy.Time // origin, since 1970
	now           policy.Time // stands still while one event is handled
	timers        timers
	deferred      []func() // what a host call brought about at once: told after the module has returned
	records       map[uint32]*opRecord
	lastID        uint32
	servers       map[uint32]*server
	cachesOut     map[string]bool // caches out by an operator's word
	returnedAt    map[string]policy.Time
	siteSchedules map[int]site.Hand[policy.Time] // operators' words on whole zones
	siteTimerSet  bool                           // some caches have their turn ahead of them
	departed      map[string]policy.Time         // caches that have gone, while the list does not name them: when they had started
}

type server struct {
	Server
	member      Member
	start       policy.Time
	probing     bool   // a probe is out
	cancelProbe func() // takes that back, unless it is written
}

// abortUnwrittenProbe takes a probe back that is not written yet.
func (s *server) abortUnwrittenProbe() {
	if s.cancelProbe != nil {
		s.cancelProbe()
	}
}

type opRecord struct {
	*Op
	id         uint32
	ttl        policy.Time
	pushCount  int // pushes so far
	maxPushes  int // that it may have
	openPushes []*push

	effect      policy.Effect
	dedupWindow policy.Time // for which a repeat is dropped; 0: the op is not deduplicated
	firstRunAt  policy.Time // the first push that may have run; 0: none
	ended       bool        // answered, or its client has left
	size        int64
}

type push struct {
	number int
	cache  uint32
	sentAt policy.Time
	abort  func(AbortCondition) bool
}

// New makes an engine; Run starts it.
func New(o Options) *Engine {
	e := &Engine{Options: o, records: map[uint32]*opRecord{}, servers: map[uint32]*server{}, cachesOut: map[string]bool{}, returnedAt: map[string]policy.Time{},
		departed: map[string]policy.Time{}, clockStart: time.Now()}
	for _, name := range o.CachesOut {
		e.cachesOut[name] = true
	}
	e.lagResponder = newLagResponder(e)
	e.siteSchedules = e.siteSchedulesOf(o.Sites)
	e.maxOps.Store(int64(o.MaxOps))
	e.queue.wake = make(chan struct{}, 1)
	e.ids = newRecentIDs(maxOpDuration(o.Settings))
	// The clock counts from 1970, so that a cache's start needs no shift; it is read once and then only runs on
	// monotonically, whatever is done to the machine's clock.
	e.clockOffset = policy.Time(e.clockStart.UnixNano() / int64(timeUnit))
	e.now = e.clockOffset
	for name, at := range o.ReturnedAt {
		e.returnedAt[name] = e.clockOffset + policy.Time(at.Sub(e.clockStart)/timeUnit)
	}
	return e
}

// maxOpDuration is how long an op may be open.
func maxOpDuration(s policy.Settings) time.Duration {
	longest := policy.Time(time.Second / timeUnit)
	for _, c := range s.Categories {
		longest = max(longest, c.TTL)
	}
	return time.Duration(longest+overdueGrace) * timeUnit
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
	e.applyList(policy.ListCached, known)
	e.runDeferred()
}

// Run serves until stop is closed.
func (e *Engine) Run(stop <-chan struct{}) {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	defer e.lagResponder.stop()
	var events []event
	for {
		if wait, bounded := e.nextWakeup(); bounded {
			clock.Reset(wait)
		}
		select {
		case <-stop:
			return
		case <-e.queue.wake:
		case <-clock.C:
		}
		events = e.queue.take(events)
		e.Counters.MaxQueueLength = max(e.Counters.MaxQueueLength, len(events))
		e.handleBatch(events)
	}
}

// handleBatch handles a handleBatch of events, and the timers that are due between them.
func (e *Engine) handleBatch(events []event) {
	from := time.Now()
	e.lagResponder.begin(from)
	defer e.lagResponder.end()
	for i, ev := range events {
		e.setOldestEvent(ev.queuedAt)
		e.runCalls()
		e.Counters.MaxQueueDelay = max(e.Counters.MaxQueueDelay, time.Since(ev.queuedAt))
		e.handleEvent(ev.kind, ev.run)
		events[i] = event{}
		e.fireTimers()
	}
	e.setOldestEvent(time.Now())
	e.runCalls()
	e.fireTimers()
	e.Counters.MaxBatchDuration = max(e.Counters.MaxBatchDuration, time.Since(from))
}

// nextWakeup is how long the engine may wait for events: up to its next timer, and its next beat.
func (e *Engine) nextWakeup() (wait time.Duration, bounded bool) {
	if e.StallMonitor != nil {
		wait, bounded = pulse.BeatInterval, true
	}
	if len(e.timers.heap) > 0 {
		due := max(time.Until(e.wallTime(e.timers.heap[0].dueAt)), 0)
		if !bounded || due < wait {
			wait, bounded = due, true
		}
	}
	return wait, bounded
}

func (e *Engine) fireTimers() {
	for do := e.timers.popDue(e.readClock()); do != nil; do = e.timers.popDue(e.now) {
		e.handleEvent(timerEvent, do)
	}
}

func (e *Engine) readClock() policy.Time {
	now := time.Now()
	e.StallMonitor.Beat(now)
	e.now = e.clockOffset + policy.Time(now.Sub(e.clockStart)/timeUnit)
	return e.now
}

// wallTime is the first moment at which the clock shows t.
func (e *Engine) wallTime(t policy.Time) time.Time {
	return e.clockStart.Add(time.Duration(t-e.clockOffset) * timeUnit)
}

func (e *Engine) handleEvent(kind eventKind, do func()) {
	from := e.clockStart.Add(time.Duration(e.readClock()-e.clockOffset) * timeUnit)
	do()
	e.runDeferred()
	if took := time.Since(from); took > e.Counters.MaxEventDuration {
		e.Counters.MaxEventDuration, e.Counters.MaxEventKind = took, kind
	}
}

func (e *Engine) runDeferred() {
	for i := 0; i < len(e.deferred); i++ {
		e.deferred[i]()
	}
	clear(e.deferred)
	e.deferred = e.deferred[:0]
}

// runCalls runs what operators ask for: ahead of every other event, as its answer is owed under any load.
func (e *Engine) runCalls() {
	for _, do := range e.queue.takeCalls() {
		e.handleEvent(callEvent, do)
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
	ops, bytes := e.opCount.Add(1), e.byteCount.Add(size)
	if ops > e.maxOps.Load() || bytes > e.MaxBytes || e.shuttingDown.Load() {
		e.opCount.Add(-1)
		e.byteCount.Add(-size)
		return ErrFull
	}
	if now := time.Now(); overload.ShouldReject(overload.Time(e.lag(now)), overload.Time(o.Request.Deadline.Remaining(now))) {
		e.opCount.Add(-1)
		e.byteCount.Add(-size)
		e.lagResponder.TurnedAway.Add(1)
		return ErrOverloaded
	}
	if !e.ids.add(o.Request.ID, o.ReceivedAt) {
		e.opCount.Add(-1)
		e.byteCount.Add(-size)
		return ErrDuplicateID
	}
	o.clientWait = o.Request.Deadline.Remaining(o.ReceivedAt)
	o.markTime(&o.Trace.Submitted, time.Now())
	e.unanswered.add(o)
	e.queue.put(requestEvent, func() { e.opArrived(o, size) })
	return nil
}

// Leave tells that an op's client has gone away. It may come ahead of the op's own Submit.
func (e *Engine) Abandon(o *Op) {
	o.Request.Abandon()
	e.queue.put(leaveEvent, func() {
		e.unanswered.remove(o)
		if h := o.record; h != nil && !h.ended {
			e.Counters.ClientsLeft++
			e.endOp(h)
			e.module.ClientLeft(h.id)
			e.releaseOp(h)
		}
	})
}

func (e *Engine) opArrived(o *Op, size int64) {
	o.markTime(&o.Trace.Arrived, time.Now())
	if o.Request.Abandoned() { // before the engine came to it: there is nobody to answer, or it has its answer; nothing has begun
		e.Counters.Taken++
		if progress(o.progress.Load()) != opAnswered {
			e.Counters.ClientsLeft++
		}
		e.unanswered.remove(o)
		if o.OnRelease != nil {
			o.OnRelease()
		}
		e.opCount.Add(-1)
		e.byteCount.Add(-size)
		return
	}
	c := e.Settings.Categories[o.Category]
	if c.TTL > 0 { // No client waits longer than that, whatever it says; else a slip there would hold memory.
		o.Request.Deadline = o.Request.Deadline.AtMost(o.ReceivedAt.Add(time.Duration(c.TTL) * timeUnit))
	}
	ttl := e.clockOffset + policy.Time(o.Request.Deadline.Remaining(e.clockStart)/timeUnit)
	h := &opRecord{Op: o, ttl: ttl, size: size, maxPushes: e.Settings.MostPushes}
	if h.effect = c.Effect; h.effect == policy.Deduplicated {
		h.dedupWindow = c.Window
	}
	for {
		e.lastID++
		if e.records[e.lastID] == nil && e.lastID != 0 {
			break
		}
	}
	h.id = e.lastID
	e.records[h.id], o.record = h, h
	e.Counters.Taken++
	e.timers.set(h.ttl+overdueGrace, func() { e.expire(h) })
	e.module.OpArrived(h.id, o.Key, o.Category, o.Tenant, o.Request.Write, o.IsRetry, max(h.ttl-e.now, 0))
	if e.shuttingDown.Load() { // it was handed in just before
		e.module.HandBack(h.id)
	}
	e.releaseOp(h)
}

// expire is the last net under rule 1: the module answers by the TTL at the latest, and this is never reached
// while it does.
func (e *Engine) expire(h *opRecord) {
	if h.ended {
		return
	}
	e.Counters.OverdueOps++
	e.Logger.Error().Str("op", h.Request.ID).Msg("op not answered by its TTL")
	e.endOp(h)
	if e.claimAnswer(h) {
		h.Reply.DeadLettered()
	}
	e.module.ClientLeft(h.id)
	e.releaseOp(h)
}

// claimAnswer takes the right to answer an op on the engine's goroutine; false: it was answered as that was behind.
func (e *Engine) claimAnswer(h *opRecord) bool {
	if _, ok := h.claim(); !ok {
		return false
	}
	e.noteAnswered(h.Op, false)
	return true
}

// endOp marks an op as over: the one place through which each op goes once. Danger: a push that still dials, or waits for
// another connection, or lies in our system's buffer for a server that hangs, would come after the op's answer or its
// client's leaving. To take it back is no cancelling: no server has all of it.
func (e *Engine) endOp(h *opRecord) {
	h.ended = true
	for _, p := range h.openPushes {
		if p.abort(IfUnwritten) {
			e.deferred = append(e.deferred, func() { e.pushWithdrawn(h, p) })
		} else if p.abort(IfUnsent) {
			e.deferred = append(e.deferred, func() { e.pushEnded(h, p, Result{Outcome: policy.Cancelled}) })
		}
	}
}

// pushWithdrawn tells of a push that was taken back before a byte of it was written.
func (e *Engine) pushWithdrawn(h *opRecord, p *push) {
	if slices.Contains(h.openPushes, p) {
		e.Counters.Withdrawn++
		e.pushEnded(h, p, Result{Outcome: policy.NotSent})
	}
}

// withdrawPushes takes back all pushes to some caches that are not written yet. The module knows by then that nothing goes there.
func (e *Engine) withdrawPushes(caches map[uint32]bool) {
	if len(caches) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(e.records)) { // the module is told in the same order each time
		h := e.records[id]
		if h == nil {
			continue
		}
		for _, p := range slices.Clone(h.openPushes) {
			if caches[p.cache] && p.abort(IfUnwritten) {
				e.pushWithdrawn(h, p)
			}
		}
	}
}

// releaseOp lets go of an op that is over and has nothing out.
func (e *Engine) releaseOp(h *opRecord) {
	if h.ended && len(h.openPushes) == 0 && e.records[h.id] == h {
		delete(e.records, h.id)
		if h.OnRelease != nil {
			h.OnRelease()
		}
		h.Op = nil // timers keep h for a while, and must not keep a value; a server may still be reading the op
		e.opCount.Add(-1)
		e.byteCount.Add(-h.size)
	}
}

// pushEnded takes a push's one outcome.
func (e *Engine) pushEnded(h *opRecord, p *push, r Result) {
	at := -1
	for i := range h.openPushes {
		if h.openPushes[i] == p {
			at = i
		}
	}
	if r.Body.Size > 0 && (at < 0 || h.ended) {
		r.Body.Close() // nobody waits for it
	}
	if at < 0 {
		return // given up before: its outcome was told then
	}
	h.openPushes = append(h.openPushes[:at], h.openPushes[at+1:]...)
	if !r.Outcome.NotExecuted() && (h.firstRunAt == 0 || p.sentAt < h.firstRunAt) {
		h.firstRunAt = p.sentAt
	}
	e.Counters.Pushes[r.Outcome]++
	if r.Outcome == policy.Acked && !h.ended {
		e.Counters.Acked++
		e.endOp(h)
		if answers := e.claimAnswer(h); !answers && r.Body.Size > 0 {
			r.Body.Close()
		} else if !answers { // its client has its answer
		} else if r.Body.Size > 0 {
			h.Reply.Streamed(r.Body) // whether it ends well is between cache and client: nothing is pushed anew
		} else {
			h.Reply.Acked(r.Value)
		}
	}
	if r.Err != nil {
		e.Logger.Debug().Err(r.Err).Str("op", h.Request.ID).Int("push", p.number).Msg("push failed")
	}
	if r.ReportInvalid {
		e.Counters.InvalidReports++
	}
	if r.ReportedLatency > 0 {
		e.Counters.Reports++
		e.module.Reported(p.cache, r.ReportedLatency)
	}
	e.module.PushEnded(h.id, p.number, r.Outcome, r.Missed, h.ended, e.now-p.sentAt)
	e.releaseOp(h)
}

// UpdateList tells what discovery has said. It may be called from any goroutine.
func (e *Engine) UpdateList(kind policy.ListKind, members []Member) {
	e.queue.put(listEvent, func() {
		from := time.Now()
		e.applyList(kind, members)
		e.Counters.MaxListDuration, e.Counters.ListEntries = max(e.Counters.MaxListDuration, time.Since(from)), len(e.servers)
	})
}

func (e *Engine) applyList(kind policy.ListKind, members []Member) {
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
				e.noteDeparted(s)
				shut[id], probed = true, append(probed, s)
			}
		}
	}
	for _, m := range members {
		if m.State != policy.Gone {
			delete(e.departed, m.Name)
		} else if s := e.servers[m.ID]; s != nil {
			e.noteDeparted(s)
		}
		// The list need not tell that a cache which was out has been restarted.
		m.Excluded, m.Start = e.cachesOut[m.Name] || e.outWithSite(&m), max(m.Start, e.returnedAt[m.Name])
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
	e.withdrawPushes(shut)
	slices.SortFunc(probed, func(x, y *server) int { return cmp.Compare(x.member.ID, y.member.ID) }) // the same order each time
	for _, s := range probed {
		s.abortUnwrittenProbe()
	}
	e.restoreMemory()
}

const maxDeparted = 8 << 10 // caches that have gone and are remembered

func (e *Engine) noteDeparted(s *server) {
	if len(e.departed) >= maxDeparted {
		clear(e.departed) // the old ones are in no list any more
	}
	e.departed[s.member.Name] = s.start
}

// restoreMemory hands the module what was learned before, as soon as it knows caches: before there is anything to lose. A number that
// stands for another name now gets nothing.
func (e *Engine) restoreMemory() {
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
