// Package pulse detects stalls of the whole process, such as being stopped or getting no CPU time. Data read after a stall may have
// arrived at any time during it, so the time of the read would be too late a start for a deadline.
package pulse

import (
	"sync"
	"time"
)

const (
	// BeatInterval is the maximum time between two beats of a process that is not stalled.
	BeatInterval = 20 * time.Millisecond
	// stallThreshold is the pause between two beats above which the process counts as stalled. On a busy machine timers fire some
	// milliseconds late.
	stallThreshold = 2 * BeatInterval
	// recovery is the time after a stall during which input that arrived within the stall may still be unread: it all becomes readable at once.
	recovery = 5 * BeatInterval
)

// Monitor receives beats from one or more goroutines and may be queried from any. A nil Monitor reports no stalls.
type Monitor struct {
	mu         sync.Mutex
	lastBeat   time.Time // time of the last beat
	stallStart time.Time // last beat before the most recent stall
	stallEnd   time.Time // first beat after the most recent stall
}

// New returns a Monitor whose first beat is at now.
func New(now time.Time) *Monitor { return &Monitor{lastBeat: now} }

// Beat records that the process is running. It must be called at least once per BeatInterval.
func (p *Monitor) Beat(now time.Time) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastBeat) > stallThreshold {
		p.stallStart, p.stallEnd = p.lastBeat, now
	}
	p.lastBeat = now
}

// EarliestArrival returns the earliest time at which input read at now may have arrived. That is now itself, unless the process is in a
// stall or has just recovered from one.
func (p *Monitor) EarliestArrival(now time.Time) time.Time {
	if p == nil {
		return now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case now.Sub(p.lastBeat) > stallThreshold:
		return p.lastBeat
	case !p.stallEnd.IsZero() && now.Sub(p.stallEnd) < recovery:
		return p.stallStart
	}
	return now
}
