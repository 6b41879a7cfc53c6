// Package figures holds the proxy's metrics. The metrics endpoint shows them, and the log's counters of answered ops read the
// same totals, so that the two agree.
package figures

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds the metrics of one process. Counters count from its start.
type Metrics struct {
	set     *metrics.Set
	mu      sync.Mutex                 // guards classes
	classes map[string]*Class          // by category name
	totals  [outcomeCount]atomic.Int64 // ops of all classes, by outcome

	Attempts      *metrics.Counter // attempts whose request was written in full
	ReloadsOK     *metrics.Counter // configuration reloads that were applied
	ReloadsFailed *metrics.Counter // configuration reloads that were rejected

	InFlight             atomic.Int64 // ops that were accepted and have no outcome yet
	ListedCaches         atomic.Int64 // caches in the list
	ExcludedCaches       atomic.Int64 // listed caches that get no traffic
	MaxEventMicroseconds atomic.Int64 // longest time that the engine has taken for one event since the start
	DetachedSites        atomic.Int64 // sites that operators have detached
	DetachedSiteCaches   atomic.Int64 // caches detached so far as their site is: a site's caches are detached one after another
}

// Outcome is the result of an op.
type Outcome uint8

const (
	Served  Outcome = iota // answered with a result
	Refused                // nacked: the client may retry
	Failed                 // answered with an error, or with a long value cut short

	outcomeCount // number of outcomes; not an outcome
)

var outcomeNames = [outcomeCount]string{"served", "refused", "failed"}

func (o Outcome) String() string { return outcomeNames[o] }

// Class counts the ops of one category by outcome. Metrics call a category a class.
type Class struct {
	metrics  *Metrics
	counters [outcomeCount]*metrics.Counter
}

// Count counts one op with outcome o.
func (c *Class) Count(o Outcome) {
	c.counters[o].Inc()
	c.metrics.totals[o].Add(1)
}

// New returns metrics that are all zero.
func New() *Metrics {
	m := &Metrics{set: metrics.NewSet(), classes: map[string]*Class{}}
	m.Attempts = m.set.NewCounter("svc_attempts")
	m.ReloadsOK = m.set.NewCounter("svc_reloads_ok")
	m.ReloadsFailed = m.set.NewCounter("svc_reloads_failed")
	for name, value := range map[string]*atomic.Int64{
		"svc_in_flight":            &m.InFlight,
		"svc_cache_nodes_known":    &m.ListedCaches,
		"svc_cache_nodes_excluded": &m.ExcludedCaches,
		"svc_sites_out":            &m.DetachedSites,
		"svc_site_cache_nodes_out": &m.DetachedSiteCaches,
	} {
		m.set.NewGauge(name, func() float64 { return float64(value.Load()) })
	}
	return m
}

// RegisterGauge adds a gauge whose value is computed on each read.
func (m *Metrics) RegisterGauge(name string, value func() float64) { m.set.NewGauge(name, value) }

// Class returns the counters of a category of the settings. A category that was removed and is configured again
// continues from its earlier counts.
func (m *Metrics) Class(name string) *Class {
	m.mu.Lock()
	defer m.mu.Unlock()
	class := m.classes[name]
	if class == nil {
		class = &Class{metrics: m}
		for outcome := range class.counters {
			class.counters[outcome] = m.set.NewCounter("svc_" + outcomeNames[outcome] + "{class=" + strconv.Quote(name) + "}")
		}
		m.classes[name] = class
	}
	return class
}

// Total returns the number of ops of all classes with outcome o.
func (m *Metrics) Total(o Outcome) int64 { return m.totals[o].Load() }

// Write writes all metrics in the Prometheus text format, one a line.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
