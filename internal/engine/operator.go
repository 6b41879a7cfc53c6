package engine

import (
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"minttray/decide/site"
	"minttray/decide/warm"
	"minttray/policy"
)

// ErrUnknown is the answer to an operator who names a cache that is not in the list, nor out.
var ErrUnknown = errors.New("no cache has this id")

// ErrBusy means that the engine did not come to a call in time.
var ErrBusy = errors.New("the engine did not come to it in time")

// runCall runs f on the engine's goroutine runCall of all that waits, and comes back when it has run; within span, or not
// at all.
func (e *Engine) runCall(span time.Duration, f func() error) error {
	done := make(chan error, 1)
	var taken atomic.Bool // by the engine, which does it, or by the caller, who gives it up
	e.queue.putCall(func() {
		if taken.CompareAndSwap(false, true) {
			done <- f()
		}
	})
	select {
	case err := <-done:
		return err
	case <-time.After(span):
	}
	if taken.CompareAndSwap(false, true) {
		return ErrBusy
	}
	// Danger: it has begun, and a no would be untrue: what an operator, or a reload, takes for undone would hold.
	select {
	case err := <-done:
		return err
	case <-time.After(runningCallTimeout):
		return ErrBusy // the engine itself stands still, for good
	}
}

const runningCallTimeout = 2 * time.Second // of one call that has begun: all of them are short

// ApplySettings puts new settings in the place of the old, ahead of all that waits. Open ops, and those handed in by the numbers
// of before, keep their rules: settings.Join leaves each category its number.
func (e *Engine) ApplySettings(s policy.Settings, maxOps int, span time.Duration) error {
	e.ids.extendRetention(maxOpDuration(s)) // first: an op under the new rules may be open for longer
	return e.runCall(span, func() error {
		e.Settings = s
		e.module.Retune(s)
		e.maxOps.Store(int64(maxOps))
		return nil
	})
}

// Learned copies out what was learned. The file that it goes to is another goroutine's: this one must not wait for a disk.
func (e *Engine) Learned(span time.Duration) (m warm.LearnedState, err error) {
	err = e.runCall(span, func() error { m = e.copyMemory(); return nil })
	return m, err
}

// Handover gives a half of what may be sent to caches, and all that was learned, to another process.
func (e *Engine) Handover(span time.Duration) (m warm.LearnedState, err error) {
	err = e.runCall(span, func() error {
		m = e.copyMemory()
		m.Halve()
		for id, s := range m.Caches {
			*e.module.Record(id) = s.Record // both have the other half
		}
		return nil
	})
	return m, err
}

func (e *Engine) copyMemory() warm.LearnedState {
	m := e.module.Learned()
	m.Departed = map[string]int64{}
	for name, start := range e.departed {
		m.Departed[name] = int64(start)
	}
	for _, s := range e.servers {
		if s.member.State == policy.Draining {
			m.Departed[s.member.Name] = int64(s.start)
		}
	}
	for id, s := range m.Caches {
		if known := e.servers[id]; known != nil {
			s.Name = known.member.Name
			m.Caches[id] = s
		}
	}
	return m
}

// AnswerAllOpen answers all that is open, as the process ends, and takes nothing from here on. It comes back once all have their
// answer. What has come by now, answers among it, is heard first, unless that takes half of the span; an engine that
// does not come to it at all leaves them.
func (e *Engine) AnswerAllOpen(span time.Duration) error {
	e.shuttingDown.Store(true)
	done := make(chan struct{})
	e.queue.put(callEvent, func() { e.answerAllOpen(); close(done) })
	select {
	case <-done:
		return nil
	case <-time.After(span / 2):
	}
	err := e.runCall(span/2, func() error { e.answerAllOpen(); return nil })
	if err != nil {
		e.Logger.Warn().Int("requests", e.lagResponder.answerAll()).Msg("the engine does not come to its end; what is open was answered without it")
	}
	return err
}

func (e *Engine) answerAllOpen() {
	for _, id := range slices.Sorted(maps.Keys(e.records)) {
		if h := e.records[id]; h != nil && !h.ended {
			e.Counters.AnsweredAtShutdown++
			e.module.HandBack(id)
		}
	}
}

// ReadStats runs f on the engine's goroutine ahead of all that waits; handed are the caches that are out with their site.
func (e *Engine) ReadStats(f func(of policy.Counts, handed int, longest time.Duration)) {
	e.queue.putCall(func() {
		handed := 0
		for _, s := range e.servers {
			if e.outWithSite(&s.member) {
				handed++
			}
		}
		f(e.module.Judged(), handed, e.Counters.MaxEventDuration)
	})
}

// SetCacheOut takes a cache out by its name, or lets it be used again. It comes back once nothing that is not written yet can go
// there any more.
func (e *Engine) SetCacheOut(name string, out bool, span time.Duration) error {
	return e.runCall(span, func() error { return e.setCacheOut(name, out) })
}

// SetAllCachesOut says of all caches at once which are out: the word of another process that serves for the same proxy.
func (e *Engine) SetAllCachesOut(names []string, span time.Duration) error {
	return e.runCall(span, func() error {
		for name := range e.cachesOut {
			if !slices.Contains(names, name) {
				e.setCacheOut(name, false)
			}
		}
		for _, name := range names {
			if !e.cachesOut[name] {
				e.cachesOut[name] = true
				e.setCacheOut(name, true)
			}
		}
		return nil
	})
}

func (e *Engine) setCacheOut(name string, out bool) error {
	var s *server
	for _, known := range e.servers {
		if known.member.Name == name && known.member.Kind != e.Settings.OriginKind {
			s = known
		}
	}
	if s == nil {
		if !e.cachesOut[name] {
			return ErrUnknown
		}
		if !out { // it has left the list meanwhile
			delete(e.cachesOut, name)
		}
		return nil
	}
	if delete(e.cachesOut, name); out {
		e.cachesOut[name] = true
	}
	e.applyOverrides(s)
	return nil
}

// ErrLastCaches is the answer to an operator who would take the last caches out.
var ErrLastCaches = errors.New("no cache in use would be left")

// SetSite takes all caches of a zone out, or back, as their turns come. It comes back once the first ones have followed.
func (e *Engine) SetSite(zone int, w SiteOverride, span time.Duration) error {
	return e.runCall(span, func() error {
		h := e.siteSchedulesOf(map[int]SiteOverride{zone: w})[zone]
		known, left := false, false
		for _, s := range e.servers {
			m := &s.member
			if m.Kind == e.Settings.OriginKind {
				continue
			}
			known = known || m.Zone == zone
			left = left || m.Zone != zone && m.State == policy.Ready && !m.Excluded && !e.siteSchedules[m.Zone].Out
		}
		if _, told := e.siteSchedules[zone]; !told && (!known || !h.Out) { // none that nobody took out is called back
			return ErrUnknown
		} else if h.Out && !left {
			return ErrLastCaches
		}
		e.siteSchedules[zone] = h
		e.applySites()
		return nil
	})
}

// SetAllSites says of all zones at once what holds: the word of another process that serves for the same proxy.
func (e *Engine) SetAllSites(all map[int]SiteOverride, span time.Duration) error {
	return e.runCall(span, func() error {
		e.siteSchedules = e.siteSchedulesOf(all)
		e.applySites()
		return nil
	})
}

// SiteOverride is what an operator said of a whole zone: its caches go out, or come back, one after another over a span.
type SiteOverride struct {
	Out  bool
	At   time.Time
	Over time.Duration
}

// siteSchedulesOf are words in the engine's time.
func (e *Engine) siteSchedulesOf(all map[int]SiteOverride) map[int]site.Hand[policy.Time] {
	hands := map[int]site.Hand[policy.Time]{}
	for zone, w := range all {
		hands[zone] = site.Hand[policy.Time]{Out: w.Out, At: e.clockOffset + policy.Time(w.At.Sub(e.clockStart)/timeUnit), Over: policy.Time(w.Over / timeUnit)}
	}
	return hands
}

const siteCheckInterval = 250 // policy.Time between two looks at whose turn it is

// applySites has each cache follow the word on its site, and looks again while one has its turn ahead of it.
func (e *Engine) applySites() {
	for _, id := range slices.Sorted(maps.Keys(e.servers)) { // the module is told in the same order each time
		if s := e.servers[id]; s != nil {
			e.applyOverrides(s)
		}
	}
	for _, h := range e.siteSchedules {
		if !h.Followed(e.now) && !e.siteTimerSet {
			e.siteTimerSet = true
			e.timers.set(e.now+siteCheckInterval, func() {
				e.siteTimerSet = false
				e.applySites()
			})
		}
	}
}

// outWithSite tells whether a cache is out with its site.
func (e *Engine) outWithSite(m *Member) bool {
	h, told := e.siteSchedules[m.Zone]
	return told && m.Kind != e.Settings.OriginKind && h.Holds(m.ID, e.now)
}

// applyOverrides has a cache be out, or in use again, as operators have said of it or of its site.
func (e *Engine) applyOverrides(s *server) {
	out := e.cachesOut[s.member.Name] || e.outWithSite(&s.member)
	if s.member.Excluded == out {
		return
	}
	if !out {
		e.returnedAt[s.member.Name] = e.now
		s.start = max(s.start, e.now)
	}
	s.member.Excluded = out
	e.module.ListArrived(policy.ListDelta, []policy.Entry{s.member.Entry})
	// Whoever returns has most likely been restarted: connections to what was there may be silent.
	s.Retire()
	s.Server = e.Connect(s.member)
	if !out {
		return
	}
	s.abortUnwrittenProbe()
	// Danger: a push that still waits for its connection would be written after the operator was told yes. Also those
	// over a connection pool of the same cache that the list has replaced.
	e.withdrawPushes(map[uint32]bool{s.member.ID: true})
}
