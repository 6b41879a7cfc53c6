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

// ErrUnknown is returned for a cache that is neither in the list nor out of service, and for an unknown site.
var ErrUnknown = errors.New("no cache has this id")

// ErrBusy means that the engine did not run a call in time.
var ErrBusy = errors.New("the engine did not come to it in time")

// runCall runs f on the engine's goroutine before all queued events and returns when it has run. If f has not begun within timeout it never
// runs.
func (e *Engine) runCall(timeout time.Duration, f func() error) error {
	done := make(chan error, 1)
	var claimed atomic.Bool // set by the engine when it begins f, or by the caller when it gives up
	e.queue.putCall(func() {
		if claimed.CompareAndSwap(false, true) {
			done <- f()
		}
	})
	select {
	case err := <-done:
		return err
	case <-time.After(timeout):
	}
	if claimed.CompareAndSwap(false, true) {
		return ErrBusy
	}
	// f has begun. Returning an error now would make an operator, or a reload, believe that nothing was changed.
	select {
	case err := <-done:
		return err
	case <-time.After(runningCallTimeout):
		return ErrBusy // the engine itself hangs
	}
}

const runningCallTimeout = 2 * time.Second // limit of a call that has begun; all calls are short

// ApplySettings replaces the settings before all queued events are handled. Open ops, and ops submitted with the old category numbers, keep
// their rules: settings.Join leaves each category its number.
func (e *Engine) ApplySettings(s policy.Settings, maxOps int, timeout time.Duration) error {
	e.ids.extendRetention(maxOpDuration(s)) // before the settings change, as an op under the new settings may be open for longer
	return e.runCall(timeout, func() error {
		e.Settings = s
		e.module.Retune(s)
		e.maxOps.Store(int64(maxOps))
		return nil
	})
}

// Learned returns a copy of the learned state. Another goroutine writes it to a file, as the engine must not wait for a disk.
func (e *Engine) Learned(timeout time.Duration) (m warm.LearnedState, err error) {
	err = e.runCall(timeout, func() error { m = e.copyMemory(); return nil })
	return m, err
}

// Handover returns all learned state for another process, with half of this process's allowance for sending to caches.
func (e *Engine) Handover(timeout time.Duration) (m warm.LearnedState, err error) {
	err = e.runCall(timeout, func() error {
		m = e.copyMemory()
		m.Halve()
		for id, s := range m.Caches {
			*e.module.Record(id) = s.Record // each process keeps one half
		}
		return nil
	})
	return m, err
}

func (e *Engine) copyMemory() warm.LearnedState {
	memory := e.module.Learned()
	memory.Departed = map[string]int64{}
	for name, start := range e.departedStarts {
		memory.Departed[name] = int64(start)
	}
	for _, s := range e.servers {
		if s.member.State == policy.Draining {
			memory.Departed[s.member.Name] = int64(s.start)
		}
	}
	for id, s := range memory.Caches {
		if known := e.servers[id]; known != nil {
			s.Name = known.member.Name
			memory.Caches[id] = s
		}
	}
	return memory
}

// AnswerAllOpen answers all open ops at shutdown and accepts no more. It returns when every op has its answer. Events already queued,
// results among them, are handled first unless that takes half of timeout. If the engine does not respond at all, the lag responder answers.
func (e *Engine) AnswerAllOpen(timeout time.Duration) error {
	e.shuttingDown.Store(true)
	done := make(chan struct{})
	e.queue.put(callEvent, func() { e.answerAllOpen(); close(done) })
	select {
	case <-done:
		return nil
	case <-time.After(timeout / 2):
	}
	err := e.runCall(timeout/2, func() error { e.answerAllOpen(); return nil })
	if err != nil {
		e.Logger.Warn().Int("requests", e.lagResponder.answerAll()).Msg("engine did not answer its open requests at shutdown in time; answered them outside its goroutine")
	}
	return err
}

func (e *Engine) answerAllOpen() {
	for _, id := range slices.Sorted(maps.Keys(e.records)) {
		if record := e.records[id]; record != nil && !record.ended {
			e.Counters.AnsweredAtShutdown++
			e.module.HandBack(id)
		}
	}
}

// ReadStats runs f on the engine's goroutine before all queued events. outWithSite is the number of caches that are out with their site.
func (e *Engine) ReadStats(f func(counts policy.Counts, outWithSite int, maxEventDuration time.Duration)) {
	e.queue.putCall(func() {
		outWithSite := 0
		for _, s := range e.servers {
			if e.outWithSite(&s.member) {
				outWithSite++
			}
		}
		f(e.module.Judged(), outWithSite, e.Counters.MaxEventDuration)
	})
}

// SetCacheOut takes a cache out of service by name, or returns it. When it returns, no unwritten push can reach that cache any more.
func (e *Engine) SetCacheOut(name string, out bool, timeout time.Duration) error {
	return e.runCall(timeout, func() error { return e.setCacheOut(name, out) })
}

// SetAllCachesOut sets the caches that are out of service, as decided by another process serving for the same proxy.
func (e *Engine) SetAllCachesOut(names []string, timeout time.Duration) error {
	return e.runCall(timeout, func() error {
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

// ErrLastCaches is returned for a request to take the last caches in use out of service.
var ErrLastCaches = errors.New("no cache in use would be left")

// SetSite takes all caches of a zone out of service, or returns them, spread over the override's duration. It returns when the caches due by
// now have followed.
func (e *Engine) SetSite(zone int, override SiteOverride, timeout time.Duration) error {
	return e.runCall(timeout, func() error {
		schedule := e.siteSchedulesOf(map[int]SiteOverride{zone: override})[zone]
		known, othersInUse := false, false
		for _, s := range e.servers {
			m := &s.member
			if m.Kind == e.Settings.OriginKind {
				continue
			}
			known = known || m.Zone == zone
			othersInUse = othersInUse || m.Zone != zone && m.State == policy.Ready && !m.Excluded && !e.siteSchedules[m.Zone].Excluded
		}
		if _, overridden := e.siteSchedules[zone]; !overridden && (!known || !schedule.Excluded) { // a site that was not taken out cannot be put back
			return ErrUnknown
		} else if schedule.Excluded && !othersInUse {
			return ErrLastCaches
		}
		e.siteSchedules[zone] = schedule
		e.applySites()
		return nil
	})
}

// SetAllSites sets the overrides of all zones, as decided by another process serving for the same proxy.
func (e *Engine) SetAllSites(overrides map[int]SiteOverride, timeout time.Duration) error {
	return e.runCall(timeout, func() error {
		e.siteSchedules = e.siteSchedulesOf(overrides)
		e.applySites()
		return nil
	})
}

// SiteOverride takes all caches of a zone out of service, or returns them, spread over a duration.
type SiteOverride struct {
	Out  bool          // out of service; false: returned to service
	At   time.Time     // when the operator set the override
	Over time.Duration // time over which the caches follow, at least 0
}

// siteSchedulesOf converts overrides to the engine's clock.
func (e *Engine) siteSchedulesOf(overrides map[int]SiteOverride) map[int]site.Rollout[policy.Time] {
	schedules := map[int]site.Rollout[policy.Time]{}
	for zone, override := range overrides {
		schedules[zone] = site.Rollout[policy.Time]{Excluded: override.Out, StartedAt: e.clockOffset + policy.Time(override.At.Sub(e.clockStart)/timeUnit), Duration: policy.Time(override.Over / timeUnit)}
	}
	return schedules
}

const siteCheckInterval = 250 // interval between checks of which caches follow, in policy.Time

// applySites applies the site overrides to each cache, and sets a timer while some caches have yet to follow.
func (e *Engine) applySites() {
	for _, id := range slices.Sorted(maps.Keys(e.servers)) { // sorted, so that the module sees a deterministic order
		if s := e.servers[id]; s != nil {
			e.applyOverrides(s)
		}
	}
	for _, schedule := range e.siteSchedules {
		if !schedule.Done(e.now) && !e.siteTimerSet {
			e.siteTimerSet = true
			e.timers.set(e.now+siteCheckInterval, func() {
				e.siteTimerSet = false
				e.applySites()
			})
		}
	}
}

// outWithSite reports whether a cache is out of service with its site.
func (e *Engine) outWithSite(m *Member) bool {
	schedule, overridden := e.siteSchedules[m.Zone]
	return overridden && m.Kind != e.Settings.OriginKind && schedule.IsExcluded(m.ID, e.now)
}

// applyOverrides takes a cache out of service or returns it, according to the overrides of the cache and its site.
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
	// A cache that returns has most likely been restarted: connections to the old process may never answer.
	s.Retire()
	s.Server = e.Connect(s.member)
	if !out {
		return
	}
	s.abortUnwrittenProbe()
	// A push still waiting for its connection would otherwise be written after the operator's call has succeeded. This includes pushes on
	// a connection pool of the same cache that the list has replaced.
	e.withdrawPushes(map[uint32]bool{s.member.ID: true})
}
