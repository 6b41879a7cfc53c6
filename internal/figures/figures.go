// Package figures is the one book of what became of ops: the log's counters and the operators' figures both read it.
package figures

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds a process's figures from its start on. Names of classes are the settings'.
type Metrics struct {
	set     *metrics.Set
	mu      sync.Mutex
	classes map[string]*Class
	sums    [ends]atomic.Int64

	Attempts                 *metrics.Counter // pushes written whole
	ReloadsOK, ReloadsFailed *metrics.Counter
	InFlight, Known, Out     atomic.Int64 // ops taken and not ended; caches in the list; those of them that are avoided
	LongestEvent             atomic.Int64 // of the engine, in microseconds
	Sites, Handed            atomic.Int64 // sites that operators have taken out; caches out with them by now
}

// Outcome is what became of an op.
type Outcome uint8

const (
	Served Outcome = iota
	Refused
	Failed
	ends
)

var endNames = [ends]string{"served", "refused", "failed"}

func (e Outcome) String() string { return endNames[e] }

// Class counts the ops of one category.
type Class struct {
	book *Metrics
	of   [ends]*metrics.Counter
}

// Count books one op's end.
func (c *Class) Count(e Outcome) {
	c.of[e].Inc()
	c.book.sums[e].Add(1)
}

// New opens an empty book.
func New() *Metrics {
	b := &Metrics{set: metrics.NewSet(), classes: map[string]*Class{}}
	b.Attempts = b.set.NewCounter("svc_attempts")
	b.ReloadsOK = b.set.NewCounter("svc_reloads_ok")
	b.ReloadsFailed = b.set.NewCounter("svc_reloads_failed")
	for name, of := range map[string]*atomic.Int64{"svc_in_flight": &b.InFlight, "svc_cache_nodes_known": &b.Known,
		"svc_cache_nodes_excluded": &b.Out, "svc_sites_out": &b.Sites, "svc_site_cache_nodes_out": &b.Handed} {
		b.set.NewGauge(name, func() float64 { return float64(of.Load()) })
	}
	return b
}

// Gauge adds a figure that is worked out as it is asked for.
func (b *Metrics) Gauge(name string, value func() float64) { b.set.NewGauge(name, value) }

// Class is the page of one category. One that was dropped, and comes back, goes on counting where it stood.
func (b *Metrics) Class(name string) *Class {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.classes[name]
	if c == nil {
		c = &Class{book: b}
		for e := range c.of {
			c.of[e] = b.set.NewCounter("svc_" + endNames[e] + "{class=" + strconv.Quote(name) + "}")
		}
		b.classes[name] = c
	}
	return c
}

// Total is the number of ops of all classes that ended so.
func (b *Metrics) Total(e Outcome) int64 { return b.sums[e].Load() }

// Write writes all figures as text, a line each.
func (b *Metrics) Write(w io.Writer) { b.set.WritePrometheus(w) }
