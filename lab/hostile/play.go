// Package hostile plays clients that misuse a proxy beside well-behaved ones, on one real process with stand-ins for its
// servers on loopback. It counts what the well-behaved clients get, and measures the process's peak of memory.
package hostile

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Setup is the proxy that is played with.
type Setup struct {
	Program  string  // path of the proxy's program
	Dir      string  // for the process's files
	Cores    float64 // limits told to the process
	MemoryMB int
	Sockets  int
	Seed     uint64
	Signals  []Signal // in the order of their times
}

// Signal is sent to the process at a time since the start of the run. After SIGTERM the process is killed at the earliest moment that
// the platform allows; clients go on using the connections that they have.
type Signal struct {
	At     time.Duration
	Signal syscall.Signal
}

const (
	// longestDeadline is that of the classes in the proxy's settings.
	longestDeadline = 2 * time.Second
	// killGrace is how long after SIGTERM and the longest deadline the platform kills a process at the earliest.
	killGrace = 700 * time.Millisecond
)

// Pressure is a number of hostile clients of one kind.
type Pressure struct {
	Kind    Kind
	Clients int
}

// Result is what was seen in one run.
type Result struct {
	PeakBytes int64  // largest resident memory of the process
	Ended     bool   // the process ended by itself
	Log       string // the last lines of its log

	// Requests of the well-behaved clients, by how they ended.
	Served, Refused, Failed int
	Late                    int      // got their answer later than lateAfter
	Shut                    int      // found no connection that was read, for as long as their clients waited
	Lost                    int      // got no answer on a connection that was not closed, or a cut one
	Unanswered              []string // of the first of these, how each try ended

	Median, Max  time.Duration // of the well-behaved clients' answers
	LongestStall time.Duration // for which this program itself did not run
}

// String returns the result on one line.
func (r Result) String() string {
	return fmt.Sprintf("peak %.1f MB, served %d, refused %d, failed %d, late %d, shut %d, lost %d, median %v, max %v, own stall %v",
		float64(r.PeakBytes)/(1<<20), r.Served, r.Refused, r.Failed, r.Late, r.Shut, r.Lost, r.Median.Round(time.Millisecond/10),
		r.Max.Round(time.Millisecond), r.LongestStall.Round(time.Millisecond))
}

// wellBehavedClients is the number of clients that send one short read after the other.
const wellBehavedClients = 8

// Play runs a proxy under pressure for a time.
func Play(s Setup, pressures []Pressure, duration time.Duration) (Result, error) {
	backends, err := startServers()
	if err != nil {
		return Result{}, err
	}
	defer backends.close()
	p, err := startProxy(s, backends.list(), backends.agent)
	if err != nil {
		return Result{}, err
	}
	defer p.stop()
	until := time.Now().Add(duration)
	stall := watchStalls(until)
	peak := p.watchPeak()
	count := &tally{}
	stopping := &atomic.Bool{}
	var wait sync.WaitGroup
	start := func(run func()) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			run()
		}()
	}
	for n := range wellBehavedClients {
		start(func() { newClient(p.addr, n, count, stopping).run(until) })
	}
	start(func() { p.sendSignals(s.Signals, stopping) })
	number := 0
	for _, pressure := range pressures {
		for range pressure.Clients {
			h := &hostileClient{kind: pressure.Kind, addr: p.addr, number: number, random: rand.New(rand.NewPCG(s.Seed, uint64(number)))}
			start(func() { h.run(until) })
			number++
		}
	}
	wait.Wait()
	result := count.result()
	result.LongestStall = time.Duration(stall.Load())
	result.Ended, result.Log = p.hasEnded() && !stopping.Load(), p.logTail()
	result.PeakBytes = peak.Load()
	return result, nil
}

// watchStalls measures, until the given time, the longest time for which this program did not run.
func watchStalls(until time.Time) *atomic.Int64 {
	const step = 10 * time.Millisecond
	longest := &atomic.Int64{}
	go func() {
		for last := time.Now(); last.Before(until); {
			time.Sleep(step)
			now := time.Now()
			longest.Store(max(longest.Load(), int64(now.Sub(last)-step)))
			last = now
		}
	}()
	return longest
}

// tally collects the ends of the well-behaved clients' requests.
type tally struct {
	mu     sync.Mutex
	counts Result
	times  []time.Duration
}

func (t *tally) add(e ending, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e {
	case served:
		t.counts.Served++
	case refused:
		t.counts.Refused++
	case failed:
		t.counts.Failed++
	case shut:
		t.counts.Shut++
		return
	case lost:
		t.counts.Lost++
		return
	}
	t.times = append(t.times, took)
	if took > lateAfter {
		t.counts.Late++
	}
}

// maxExplained bounds the lost requests that a result tells of.
const maxExplained = 10

// explain records how the tries of a request without an answer ended.
func (t *tally) explain(id string, tries []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.counts.Unanswered) < maxExplained {
		t.counts.Unanswered = append(t.counts.Unanswered, fmt.Sprintf("%s: %q", id, tries))
	}
}

func (t *tally) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.counts
	slices.Sort(t.times)
	if len(t.times) > 0 {
		r.Median, r.Max = t.times[len(t.times)/2], t.times[len(t.times)-1]
	}
	return r
}
