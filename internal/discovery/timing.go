package discovery

import (
	"time"

	"minttray/decide/listwatch"
)

// onDemandTiming holds the times of calls to a discovery service that all proxies share. They are made on demand: the decision module
// requests the first one, and the next one after each failure. Calls queue at such a service, and one that times out in its queue still costs it
// work, so a call gets its time to be answered.
var onDemandTiming = listwatch.Timing[time.Duration]{
	Wait:         5 * time.Second,
	WatchLimit:   2 * time.Second, // by then the service regards changes as told, whether or not they arrived
	ShortWait:    20 * time.Millisecond,
	ShortLimit:   3 * time.Second,
	SlowLimit:    3 * time.Second,
	SlowEvery:    1,
	AnswerWithin: 980 * time.Millisecond,
}

// noticedWithin is the time in which a change has to be noticed from when a shared service has it and can be reached.
const noticedWithin = 6 * time.Second

// MaxOnDemandPause returns the longest pause between a failed call to a shared service and the next one.
func MaxOnDemandPause() time.Duration { return onDemandTiming.MaxPause(noticedWithin) }

// agentTiming holds the times of calls to a discovery agent on the proxy's own machine, which responds immediately and at no cost. When a silent
// agent recovers, the changes that it receives are regarded as told at that moment, and a long call to the silent agent could outlast the grace
// period of a drain.
var agentTiming = listwatch.Timing[time.Duration]{
	Wait:       time.Second,
	WatchLimit: time.Second,
	ShortWait:  20 * time.Millisecond,
	ShortLimit: 230 * time.Millisecond,
	SlowLimit:  time.Second,
	SlowEvery:  16,
}

const (
	dialTimeout    = time.Second
	initialBackoff = 50 * time.Millisecond  // pause after the first failed call to an agent
	maxBackoff     = 100 * time.Millisecond // limit for the pause between failed calls to an agent
)

// timing returns the times of the watcher's calls.
func (w *Watcher) timing() listwatch.Timing[time.Duration] {
	if w.OnDemand {
		return onDemandTiming
	}
	return agentTiming
}
