package daemon

import (
	"strconv"

	"github.com/rs/zerolog"

	"minttray/internal/discovery"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/front"
	"minttray/internal/memory"
)

// registerGauges adds the metrics whose values are computed when they are read.
func registerGauges(metrics *figures.Metrics, eng *engine.Engine, frontEnd *front.Server, watcher *discovery.Watcher) {
	metrics.RegisterGauge("svc_engine_lag_ms", func() float64 { return eng.Lag().Seconds() * 1000 })
	metrics.RegisterGauge("svc_engine_longest_event_ms", func() float64 { return float64(metrics.MaxEventMicroseconds.Load()) / 1000 })
	metrics.RegisterGauge("svc_evicted", func() float64 { return float64(frontEnd.Evicted()) })
	registerMemoryGauges(metrics, frontEnd)
	// Loops that came back from a wait without anything to do, and waited again with no later deadline.
	for loop, emptyTurns := range map[string]func() float64{
		"client_read": func() float64 { return float64(frontEnd.EmptyReadTurns()) },
		"discovery":   func() float64 { return float64(watcher.EmptyWatches()) },
		"engine":      func() float64 { return float64(eng.EmptyTurns()) },
	} {
		metrics.RegisterGauge("svc_empty_turns{loop="+strconv.Quote(loop)+"}", emptyTurns)
	}
}

// registerMemoryGauges adds the metrics of what holds memory, and of what connections await.
func registerMemoryGauges(metrics *figures.Metrics, frontEnd *front.Server) {
	gauge := func(name, label, value string, read func() int64) {
		metrics.RegisterGauge(name+"{"+label+"="+strconv.Quote(value)+"}", func() float64 { return float64(read()) })
	}
	for holder, pool := range frontEnd.Blocks.ByHolder() {
		gauge("svc_memory_bytes", "holder", holder, func() int64 { return pool.Usage().Lent })
		gauge("svc_memory_free_bytes", "holder", holder, func() int64 { return pool.Usage().Free })
		gauge("svc_memory_limit_bytes", "holder", holder, func() int64 { return pool.Usage().Limit })
		gauge("svc_memory_waits", "holder", holder, func() int64 { return pool.Usage().Waits })
		gauge("svc_memory_refused", "holder", holder, func() int64 { return pool.Usage().Refused })
		gauge("svc_memory_leaked", "holder", holder, func() int64 { return pool.Usage().Leaked })
	}
	for holder := range frontEnd.HeldBytes() {
		gauge("svc_memory_bytes", "holder", holder, func() int64 { return frontEnd.HeldBytes()[holder] })
	}
	for part, read := range map[string]func(memory.Process) int64{
		"heap":      func(p memory.Process) int64 { return p.Heap },
		"stacks":    func(p memory.Process) int64 { return p.Stacks },
		"collector": func(p memory.Process) int64 { return p.Collector },
		"peak":      func(p memory.Process) int64 { return p.Peak },
	} {
		gauge("svc_process_bytes", "part", part, func() int64 { return read(memory.ReadProcess()) })
	}
	for _, awaited := range front.AwaitNames() {
		gauge("svc_connections", "awaits", awaited, func() int64 { return int64(frontEnd.Awaited()[awaited]) })
	}
}

// memoryUsage writes the figures of what holds memory into a log line.
type memoryUsage struct{ frontEnd *front.Server }

func (u memoryUsage) MarshalZerologObject(l *zerolog.Event) {
	p := memory.ReadProcess()
	l.Int64("heap", p.Heap).Int64("stacks", p.Stacks).Int64("collector", p.Collector).Int64("peak", p.Peak)
	for holder, bytes := range u.frontEnd.HeldBytes() {
		l.Int64(holder, bytes)
	}
	for holder, pool := range u.frontEnd.Blocks.ByHolder() {
		usage := pool.Usage()
		l.Dict(holder, zerolog.Dict().Int64("lent", usage.Lent).Int64("free", usage.Free).Int64("limit", usage.Limit).
			Int64("waits", usage.Waits).Int64("refused", usage.Refused).Int64("leaked", usage.Leaked))
	}
}
