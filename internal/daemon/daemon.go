// Package daemon is one proxy's whole life: it puts front, engine, pools and discovery together round a decision
// module, and follows the signals.
package daemon

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/roster"
	"minttray/internal/caches"
	"minttray/internal/config"
	"minttray/internal/discovery"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/front"
	"minttray/internal/logs"
	"minttray/internal/operators"
	"minttray/internal/origin"
	"minttray/internal/pool"
	"minttray/internal/pulse"
	"minttray/internal/settings"
	"minttray/internal/state"
	"minttray/policy"
)

const (
	sweepEvery = time.Second
	reloadTime = time.Second
	lastLook   = 200 * time.Millisecond // for the last counters and what was learned, each
	lastResort = 2 * time.Second        // past the time to end: then something has got stuck, and the process ends all the same

	leastCounters = 100 * time.Millisecond // between two lines of counters, lest the log flood
)

// Module is what decides; NewModule makes one for an engine.
type (
	Module    = engine.Module
	NewModule = func(s policy.Settings, seed uint64, h policy.Host) Module
)

// Main runs one proxy until SIGTERM or SIGINT. operators names their file; empty: the environment may.
func Main(module NewModule, operators string) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	get := func(name string) string {
		if name == "MINTTRAY_OPERATORS" && operators != "" {
			return operators
		}
		return os.Getenv(name)
	}
	return run(get, signals, os.Stderr, module)
}

// keepTime is how long a process that ends waits for the disk to have what was learned.
var keepTime = lastLook

// stuck ends a process that does not end by itself.
var stuck = func() { os.Exit(3) }

// run is one proxy, from its configuration to the word to stop.
func run(get func(string) string, signals <-chan os.Signal, out io.Writer, module NewModule) error {
	said, err := operators.Read(get("MINTTRAY_OPERATORS"))
	if err != nil {
		return fmt.Errorf("MINTTRAY_OPERATORS: %w", err)
	}
	c, err := config.Load(get)
	if err != nil {
		return err
	}
	var every time.Duration // between two lines of counters; 0: only when asked
	if text := get("MINTTRAY_COUNTERS"); text != "" {
		if every, err = time.ParseDuration(text); err != nil || every < leastCounters {
			return fmt.Errorf("MINTTRAY_COUNTERS: %q is not a span of %v or more", text, leastCounters)
		}
	}
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(int(c.Cores+0.5), 1))
	}
	memory := int64(c.MemoryMB) << 20
	if memory == 0 {
		memory = 1 << 30
	}
	log, sink := logs.New(out, get("MINTTRAY_LOG"))
	defer sink.Close()
	log = log.With().Str("proxy", c.Name).Logger()

	s := c.Settings
	book := figures.New()
	shared := &pool.Shared{OnAttemptWritten: book.Attempts.Inc, DialTimeout: dialTime(s), IdleTimeout: s.IdleServer, Log: log}
	var store *state.Store // what outlives the process: only where it can be called, and followed by another
	if c.Control != "" {
		store = state.Open(cmp.Or(get("TMPDIR"), os.TempDir()), c.Name, c.Listen)
	}
	shifts := newShifts(log, store, said)
	shifts.zones, shifts.zone, shifts.book = s.Zones, s.Policy.Zone, book
	shifts.retuned(s)
	word := shifts.word()
	kept := newKeeper(log, said, c.Name, c.Listen, s)
	learned := shifts.given()
	if learned == nil {
		learned = kept.take()
	}
	beat := pulse.New(time.Now())
	e := engine.New(engine.Options{StallMonitor: beat, CachesOut: word.CachesOut, ReturnedAt: word.ReturnedAt, Memory: learned, Sites: shifts.sites(word),
		Settings: s.Policy, Seed: c.Seed, Module: module, Logger: log, MaxOps: most(s), MaxBytes: memory / 8,
		Connect: func(m engine.Member) engine.Server {
			if m.Kind == s.Policy.OriginKind {
				return pool.New(shared, m.Addr, origin.Protocol{Host: m.Addr})
			}
			return pool.New(shared, m.Addr, caches.Protocol{LatencyField: s.PaceField, WaitingField: s.WaitingField, RateField: s.RateField})
		}})
	names := discovery.NewNameTable(s.Zones, s.Kinds, log)
	watch := discovery.New(c.Discovery, names, s.Policy.AskList, log)
	watch.OnUpdate = e.UpdateList
	watch.OriginKind = s.Policy.OriginKind
	watch.Guard = roster.Guard[time.Duration]{MaxMissingShare: said.List.Doubt, ConfirmAfter: said.List.Confirm.Duration()}
	known, err := watch.LoadKnown(c.Known)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	f := &front.Server{Engine: e, Names: front.NewNameTable(s, book), Metrics: book,
		MaxPendingBytes: memory / 8, MaxLongValueBytes: memory / 4, Log: log, Pulse: beat}
	shifts.front, shifts.engine = f, e
	book.Gauge("svc_engine_lag_ms", func() float64 { return e.Lag().Seconds() * 1000 })
	book.Gauge("svc_engine_longest_event_ms", func() float64 { return float64(book.LongestEvent.Load()) / 1000 })
	book.Gauge("svc_evicted", func() float64 { return float64(f.Evicted()) })
	shifts.share = func(other bool) {
		part := 1
		if other {
			part = 2
		}
		f.MaxConns.Store(int64(c.Sockets / 2 / part))
		shared.MaxConnections.Store(int64(c.Sockets * 3 / 8 / part))
		if c.MemoryMB > 0 {
			debug.SetMemoryLimit(memory * 3 / 4 / int64(part))
		}
	}
	shifts.share(false)
	if store != nil {
		shifts.roles()
	}
	if c.Control != "" {
		server, err := shifts.listen(c.Control)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		defer server.Close()
	}
	if err := f.Listen(c.Listen, c.Control != ""); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	e.Start(watch, known)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan struct{})
	go e.Run(stop)
	go watch.Run(ctx)
	go each(ctx, sweepEvery, func() { shared.CloseExpired(time.Now()) })
	shifts.serving(word.DrainClients) // before the first PING is read
	go f.Serve()
	if c.Control != "" {
		go each(ctx, lookEvery, shifts.look)
	}
	keeping := make(chan struct{})
	go func() { kept.run(ctx, e); close(keeping) }()
	log.Info().Str("listen", c.Listen).Str("control", c.Control).Int("known", len(known)).Msg("serving")
	counters := func() {
		done := make(chan struct{})
		e.Do(func(e *engine.Engine) {
			log.Info().Object("engine", &e.Counters).Object("behind", e.LagCounters()).Object("clients", f).Object("servers", shared).
				Object("discovery", watch).Msg("counters")
			close(done)
		})
		select {
		case <-done:
		case <-ctx.Done():
		case <-time.After(reloadTime): // an engine that is stuck says nothing
		}
	}
	reload := func() {
		next, waiting, err := c.Reload(get)
		if err == nil {
			err = e.ApplySettings(next.Settings.Policy, most(next.Settings), reloadTime)
		}
		if err != nil {
			book.ReloadsFailed.Inc()
			log.Error().Err(err).Msg("configuration not taken; the old one stands")
			return
		}
		c = next
		shifts.retuned(c.Settings)
		kept.retuned(c.Settings)
		f.SetNames(front.NewNameTable(c.Settings, book)) // after the engine knows the numbers
		shared.SetTimeouts(dialTime(c.Settings), c.Settings.IdleServer)
		if watch.SetAddress(c.Discovery); len(waiting) > 0 {
			log.Warn().Strs("fields", waiting).Msg("changed fields that wait for a restart")
		}
		book.ReloadsOK.Inc() // Danger: counted ahead, an operator would take clients' next op for one under the new settings
		log.Info().Str("discovery", c.Discovery).Strs("classes", f.Classes()).Msg("configuration read anew")
	}
	if every > 0 {
		go each(ctx, every, counters)
	}
	for sig := range signals {
		switch sig {
		case syscall.SIGUSR1:
			counters()
			continue
		case syscall.SIGHUP:
			reload()
			continue
		}
		break
	}
	log.Info().Msg("stopping")
	last := time.AfterFunc(said.Stop.Within.Duration()+said.Stop.Close.Duration()+lastResort, stuck)
	defer last.Stop()
	if left := shifts.end(further(ctx, signals, log)); left > 0 {
		log.Error().Int("connections", left).Msg("stopped with clients still connected")
	}
	counters()
	cancel()
	shared.CloseIdle()
	select {
	case <-keeping:
	case <-time.After(keepTime): // a disk that does not answer holds nobody up
	}
	close(stop)
	log.Info().Msg("stopped")
	return nil
}

// further reads signals while the process ends, and passes on words to stop.
func further(ctx context.Context, signals <-chan os.Signal, log zerolog.Logger) <-chan struct{} {
	again := make(chan struct{})
	go func() {
		for {
			select {
			case sig := <-signals:
				if sig == syscall.SIGHUP || sig == syscall.SIGUSR1 {
					log.Warn().Stringer("signal", sig).Msg("not taken: the process ends")
					continue
				}
				select {
				case again <- struct{}{}:
				case <-ctx.Done():
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return again
}

// dialTime is how long a connection may take to come up; most, how many ops may be held.
func dialTime(s settings.Settings) time.Duration { return cmp.Or(s.ConnectTimeout, time.Second) }
func most(s settings.Settings) int               { return cmp.Or(max(s.MaxOpen, 0), 1<<16) }

// each does something again and again until ctx ends.
func each(ctx context.Context, every time.Duration, do func()) {
	clock := time.NewTicker(every)
	defer clock.Stop()
	for {
		select {
		case <-clock.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}
