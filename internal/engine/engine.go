package engine

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/overload"
	"minttray/decide/site"
	"minttray/decide/warm"
	"minttray/internal/claims"
	"minttray/internal/pulse"
	"minttray/policy"
)

const (
	timeUnit     = 100 * time.Microsecond // duration of one unit of policy.Time
	overdueGrace = 200                    // time after an op's TTL at which the engine itself ends the op, in policy.Time

	probeTimeout = 2500 // how long a probe's answer is awaited, in policy.Time
)

// Options configures an engine.
type Options struct {
	Module       func(s policy.Settings, seed uint64, h policy.Host) Module // creates the decision module
	Settings     policy.Settings
	Seed         uint64
	Connect      func(m Member) Server
	Logger       zerolog.Logger
	MaxOps       int            // initial limit of ops open at once
	MaxBytes     int64          // limit of what open ops hold in memory, without what is in blocks
	StallMonitor *pulse.Monitor // receives beats from the engine's goroutine; may be nil

	// State handed over by another process, by cache name.
	CachesOut  []string             // caches an operator took out of service
	ReturnedAt map[string]time.Time // caches that were out until then and have been cold since
	Memory     *warm.LearnedState   // learned state; nil: none

	Sites map[int]SiteOverride // operators' overrides by zone

	SharedIDs *claims.Table // ids of ops of the process that this one starts beside; nil: none
}

// Engine hosts the decision module. Counters and the fields from module on belong to the engine's goroutine.
type Engine struct {
	Options
	Counters     Counters
	queue        queue
	maxOps       atomic.Int64
	opCount      atomic.Int64 // open ops, from Submit to the end of the last push
	byteCount    atomic.Int64
	ids          *recentIDs
	shuttingDown atomic.Bool // set by AnswerAllOpen: no further ops are accepted
	unanswered   unansweredOps
	oldestEvent  atomic.Int64 // when the current event was queued, in nanoseconds since clockStart; 0: none is being handled
	lagResponder *lagResponder
	emptyTurns   atomic.Int64 // turns of Run whose wait was over at once and that handled nothing
	handled      int          // events, calls and timers handled since the start

	module         Module
	catalog        Catalog
	clockStart     time.Time   // start of the monotonic clock
	clockOffset    policy.Time // clockStart as time since 1970
	now            policy.Time // constant while one event is handled
	timers         timers
	deferred       []func() // consequences of host calls, run after the module has returned
	records        map[uint32]*opRecord
	lastID         uint32
	servers        map[uint32]*server
	addresses      addressOwners
	cachesOut      map[string]bool // caches an operator took out of service
	returnedAt     map[string]policy.Time
	siteSchedules  map[int]site.Rollout[policy.Time] // operators' overrides of whole zones
	siteTimerSet   bool                              // the timer for caches that still have to follow a site override is set
	departedStarts map[string]policy.Time            // start times of caches that left the list
}

type server struct {
	Server
	member      Member
	start       policy.Time
	probing     bool   // a probe is in flight
	cancelProbe func() // aborts the probe if it is not written yet
}

// abortUnwrittenProbe aborts a probe that is not written yet.
func (s *server) abortUnwrittenProbe() {
	if s.cancelProbe != nil {
		s.cancelProbe()
	}
}

type opRecord struct {
	*Op
	id         uint32
	deadline   policy.Time // when the client stops waiting, at the latest by the category's TTL
	pushCount  int         // pushes so far
	maxPushes  int         // limit of pushes
	openPushes []*push
	expiry     *timer // cancelled when the op is released

	effect      policy.Effect
	dedupWindow policy.Time // time within which caches drop a repeat; 0: the op is not deduplicated
	firstRunAt  policy.Time // time of the first push that may have run; 0: none
	ended       bool        // answered, or its client has left
	size        int64
}

type push struct {
	number int
	cache  uint32
	sentAt policy.Time
	abort  func(AbortCondition) bool

	// Both are cancelled when the push ends: they refer to its request, with the value.
	timeout   *timer
	windowEnd *timer // when a repeat of a deduplicated op may no longer arrive; nil: it is none
}

// New creates an engine; Run starts it.
func New(o Options) *Engine {
	e := &Engine{Options: o, records: map[uint32]*opRecord{}, servers: map[uint32]*server{}, cachesOut: map[string]bool{}, returnedAt: map[string]policy.Time{},
		departedStarts: map[string]policy.Time{}, clockStart: time.Now()}
	for _, name := range o.CachesOut {
		e.cachesOut[name] = true
	}
	e.lagResponder = newLagResponder(e)
	e.siteSchedules = e.siteSchedulesOf(o.Sites)
	e.maxOps.Store(int64(o.MaxOps))
	e.queue.wake = make(chan struct{}, 1)
	e.ids = newRecentIDs(maxOpDuration(o.Settings), o.SharedIDs)
	// The clock counts from 1970, like the caches' start times. The wall clock is read once; from then on the clock is monotonic, so
	// changes of the machine's clock have no effect.
	e.clockOffset = policy.Time(e.clockStart.UnixNano() / int64(timeUnit))
	e.now = e.clockOffset
	for name, returned := range o.ReturnedAt {
		e.returnedAt[name] = e.clockOffset + policy.Time(returned.Sub(e.clockStart)/timeUnit)
	}
	return e
}

// maxOpDuration returns how long an op may stay open.
func maxOpDuration(s policy.Settings) time.Duration {
	maxTTL := policy.Time(time.Second / timeUnit)
	for _, c := range s.Categories {
		maxTTL = max(maxTTL, c.TTL)
	}
	return time.Duration(maxTTL+overdueGrace) * timeUnit
}

// Start creates the module and passes it the known list, as a list of kind ListCached. It must be called before Run and before the first
// Submit.
func (e *Engine) Start(catalog Catalog, known []Member) {
	e.catalog = catalog
	e.module = e.Options.Module(e.Settings, e.Seed, e)
	if e.Memory != nil {
		// The known list may be older than the learned state in e.Memory, and show a cache as ready that had left the list or was
		// draining when that state was copied. The next list from discovery takes precedence again.
		for i, m := range known {
			if departedStart, ok := e.Memory.Departed[m.Name]; ok && int64(m.Start) <= departedStart && m.State == policy.Ready {
				known[i].State = policy.Draining
			}
		}
	}
	e.applyList(policy.ListCached, known)
	e.runDeferred()
}

// Run handles events until stop is closed.
func (e *Engine) Run(stop <-chan struct{}) {
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	defer e.lagResponder.stop()
	var events []event
	for {
		wait, bounded := e.nextWakeup()
		if bounded {
			wakeup.Reset(wait)
		}
		handledBefore := e.handled
		select {
		case <-stop:
			return
		case <-e.queue.wake:
		case <-wakeup.C:
		}
		events = e.queue.take(events)
		e.Counters.MaxQueueLength = max(e.Counters.MaxQueueLength, len(events))
		e.handleBatch(events)
		if bounded && wait <= 0 && e.handled == handledBefore {
			e.emptyTurns.Add(1)
		}
	}
}

// EmptyTurns returns how often the engine's goroutine woke for a timer that was due and found nothing to do. An engine that spins
// counts many; a sound one counts none.
func (e *Engine) EmptyTurns() int64 { return e.emptyTurns.Load() }

// handleBatch handles a batch of events and the timers that become due between them.
func (e *Engine) handleBatch(events []event) {
	start := time.Now()
	e.lagResponder.begin(start)
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
	e.Counters.MaxBatchDuration = max(e.Counters.MaxBatchDuration, time.Since(start))
}

// nextWakeup returns how long the engine may wait for events: until its next timer or its next beat.
func (e *Engine) nextWakeup() (wait time.Duration, bounded bool) {
	if e.StallMonitor != nil {
		wait, bounded = pulse.BeatInterval, true
	}
	if len(e.timers.heap) > 0 {
		due := max(time.Until(e.clockTime(e.timers.heap[0].dueAt)), 0)
		if !bounded || due < wait {
			wait, bounded = due, true
		}
	}
	return wait, bounded
}

func (e *Engine) fireTimers() {
	for callback := e.timers.popDue(e.readClock()); callback != nil; callback = e.timers.popDue(e.now) {
		e.handleEvent(timerEvent, callback)
	}
}

func (e *Engine) readClock() policy.Time {
	now := time.Now()
	e.StallMonitor.Beat(now)
	e.now = e.clockOffset + policy.Time(now.Sub(e.clockStart)/timeUnit)
	return e.now
}

// clockTime converts a reading of the engine's clock to a time.Time: the first moment at which the clock shows t.
func (e *Engine) clockTime(t policy.Time) time.Time {
	return e.clockStart.Add(time.Duration(t-e.clockOffset) * timeUnit)
}

func (e *Engine) handleEvent(kind eventKind, run func()) {
	start := e.clockStart.Add(time.Duration(e.readClock()-e.clockOffset) * timeUnit)
	run()
	e.handled++
	e.runDeferred()
	if took := time.Since(start); took > e.Counters.MaxEventDuration {
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

// runCalls runs operators' calls. They precede all other events, as they must be answered under any load.
func (e *Engine) runCalls() {
	for _, call := range e.queue.takeCalls() {
		e.handleEvent(callEvent, call)
	}
}

// Do runs f on the engine's goroutine.
func (e *Engine) Do(f func(*Engine)) {
	e.queue.put(callEvent, func() {
		e.Counters.Judged = e.module.Judged()
		f(e)
	})
}

// Submit passes an op to the engine. If it returns an error, the op was not accepted and the front rejects it.
func (e *Engine) Submit(o *Op) error {
	size := o.heldBytes()
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
	if err := e.ids.add(o.Request.ID, o.ReceivedAt, o.AtMostOnce); err != nil {
		e.opCount.Add(-1)
		e.byteCount.Add(-size)
		return err
	}
	o.clientWait = o.Request.Deadline.Remaining(o.ReceivedAt)
	o.Request.onUnused = o.OnRelease
	o.Request.Hold()
	o.markTime(&o.Trace.Submitted, time.Now())
	e.unanswered.add(o)
	e.queue.put(requestEvent, func() { e.opArrived(o, size) })
	return nil
}

// Abandon tells the engine that an op's client has left. It may be called before the op's Submit.
func (e *Engine) Abandon(o *Op) {
	o.Request.Abandon()
	e.queue.put(leaveEvent, func() {
		e.unanswered.remove(o)
		if record := o.record; record != nil && !record.ended {
			e.Counters.ClientsLeft++
			e.endOp(record)
			e.module.ClientLeft(record.id)
			e.releaseOp(record)
		}
	})
}

func (e *Engine) opArrived(o *Op, size int64) {
	o.markTime(&o.Trace.Arrived, time.Now())
	if o.Request.Abandoned() { // before the engine saw the op: its client has left, or the lag responder has answered; no push has begun
		e.Counters.Taken++
		if progress(o.progress.Load()) != opAnswered {
			e.Counters.ClientsLeft++
		}
		e.unanswered.remove(o)
		o.Request.Drop()
		e.opCount.Add(-1)
		e.byteCount.Add(-size)
		return
	}
	c := e.Settings.Categories[o.Category]
	if c.TTL > 0 { // The TTL bounds any client's wait: a wrong value from a client would otherwise hold memory.
		o.Request.Deadline = o.Request.Deadline.AtMost(o.ReceivedAt.Add(time.Duration(c.TTL) * timeUnit))
	}
	opDeadline := e.clockOffset + policy.Time(o.Request.Deadline.Remaining(e.clockStart)/timeUnit)
	record := &opRecord{Op: o, deadline: opDeadline, size: size, maxPushes: e.Settings.MostPushes}
	if record.effect = c.Effect; record.effect == policy.Deduplicated {
		record.dedupWindow = c.Window
	}
	for {
		e.lastID++
		if e.records[e.lastID] == nil && e.lastID != 0 {
			break
		}
	}
	record.id = e.lastID
	e.records[record.id], o.record = record, record
	e.Counters.Taken++
	record.expiry = e.timers.set(record.deadline+overdueGrace, func() { e.expire(record) })
	e.module.OpArrived(record.id, o.Key, o.Category, o.Tenant, o.Request.Write, o.IsRetry, max(record.deadline-e.now, 0))
	if e.shuttingDown.Load() { // it was submitted just before
		e.module.HandBack(record.id)
	}
	e.releaseOp(record)
}

// expire ends an op that the module has not answered by its TTL. It is a safeguard: the module answers every op by its TTL at the latest.
func (e *Engine) expire(record *opRecord) {
	if record.ended {
		return
	}
	e.Counters.OverdueOps++
	e.Logger.Error().Str("op", record.Request.ID).Msg("op not answered by its TTL")
	e.endOp(record)
	if e.claimAnswer(record) {
		record.Reply.DeadLettered()
	}
	e.module.ClientLeft(record.id)
	e.releaseOp(record)
}

// claimAnswer acquires the right to answer an op on the engine's goroutine. It returns false if the lag responder has answered it.
func (e *Engine) claimAnswer(record *opRecord) bool {
	if _, ok := record.claim(); !ok {
		return false
	}
	e.noteAnswered(record.Op, false)
	return true
}

// endOp marks an op as ended; every op that the module has seen passes through it exactly once. It aborts pushes that no server has fully
// received: a push that is still dialing, waiting for a connection, or in the kernel's send buffer for a server that hangs would otherwise
// arrive after the op's answer or its client's leaving. This applies whether or not servers support cancelling.
func (e *Engine) endOp(record *opRecord) {
	record.ended = true
	for _, p := range record.openPushes {
		if p.abort(IfUnwritten) {
			e.deferred = append(e.deferred, func() { e.pushWithdrawn(record, p) })
		} else if p.abort(IfUnsent) {
			e.deferred = append(e.deferred, func() { e.pushEnded(record, p, Result{Outcome: policy.Cancelled}) })
		}
	}
}

// pushWithdrawn handles a push that was aborted before a byte of it was written.
func (e *Engine) pushWithdrawn(record *opRecord, p *push) {
	if slices.Contains(record.openPushes, p) {
		e.Counters.Withdrawn++
		e.pushEnded(record, p, Result{Outcome: policy.NotSent})
	}
}

// withdrawPushes aborts all unwritten pushes to the present or earlier servers of some caches. The module must already know the list by which
// these servers get no more pushes.
func (e *Engine) withdrawPushes(caches map[uint32]bool) {
	if len(caches) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(e.records)) { // sorted, so that the module sees a deterministic order
		record := e.records[id]
		if record == nil {
			continue
		}
		for _, p := range slices.Clone(record.openPushes) {
			if caches[p.cache] && p.abort(IfUnwritten) {
				e.pushWithdrawn(record, p)
			}
		}
	}
}

// releaseOp drops an op that has ended and has no open pushes.
func (e *Engine) releaseOp(record *opRecord) {
	if record.ended && len(record.openPushes) == 0 && e.records[record.id] == record {
		delete(e.records, record.id)
		record.Request.Drop()
		e.timers.cancel(record.expiry)
		// Callbacks of late results keep the record for a while and must not retain the value. Only the reference is dropped, since a
		// server may still be reading the op.
		record.Op = nil
		e.opCount.Add(-1)
		e.byteCount.Add(-record.size)
	}
}

// pushEnded handles a push's outcome. Later calls for the same push only close the body.
func (e *Engine) pushEnded(record *opRecord, p *push, r Result) {
	index := -1
	for i := range record.openPushes {
		if record.openPushes[i] == p {
			index = i
		}
	}
	if index < 0 || record.ended {
		r.drop() // nobody reads it
	}
	if index < 0 {
		return // the push was aborted earlier and its outcome reported then
	}
	record.openPushes = slices.Delete(record.openPushes, index, index+1)
	e.timers.cancel(p.timeout)
	e.timers.cancel(p.windowEnd)
	if !r.Outcome.NotExecuted() && (record.firstRunAt == 0 || p.sentAt < record.firstRunAt) {
		record.firstRunAt = p.sentAt
	}
	e.Counters.Pushes[r.Outcome]++
	if r.Outcome == policy.Acked && !record.ended {
		e.Counters.Acked++
		e.endOp(record)
		if !e.claimAnswer(record) { // the client already has its answer
			r.drop()
		} else {
			r.deliver(record.Reply)
		}
	}
	if r.Err != nil {
		e.Logger.Debug().Err(r.Err).Str("op", record.Request.ID).Int("push", p.number).Msg("push failed")
	}
	if r.ReportInvalid {
		e.Counters.InvalidReports++
	}
	if r.ReportedLatency > 0 {
		e.Counters.Reports++
		e.module.Reported(p.cache, r.ReportedLatency)
	}
	e.module.PushEnded(record.id, p.number, r.Outcome, r.Missed, record.ended, e.now-p.sentAt)
	e.releaseOp(record)
}
