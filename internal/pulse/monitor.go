// Package pulse tells whether this process was run when it was due. What a process reads late, as it was stopped or had no processor, has
// waited for it, and its time has gone on meanwhile: the moment of the read is too late a start for a deadline.
package pulse

import (
	"sync"
	"time"
)

const (
	// BeatInterval is the longest time between two beats of a process that is run when it is due.
	BeatInterval = 20 * time.Millisecond
	// stallThreshold is a pause between two beats that counts as none: timers are late by some milliseconds on any busy machine.
	stallThreshold = 2 * BeatInterval
	// recovery is how long after a stall there may still be something to handle that came within it: all that piled up comes at once.
	recovery = 5 * BeatInterval
)

// Monitor is fed by a goroutine that beats, and asked by all others. A nil one knows of no stall.
type Monitor struct {
	mu         sync.Mutex
	lastBeat   time.Time // beat
	stallStart time.Time // the last beat ahead of the last stall
	stallEnd   time.Time // the first one after it
}

// New makes a pulse that has beaten once.
func New(now time.Time) *Monitor { return &Monitor{lastBeat: now} }

// Beat says that the process runs. It must come at least once in Every.
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

// EarliestArrival is the earliest moment at which something may have come that waited for this process until now: now itself, unless the process
// stands in a stall, or has just left one.
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
