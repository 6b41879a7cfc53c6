// Package daemon runs one proxy process: it connects the front end, the engine, the connection pools and discovery to a
// decision module, and handles signals and operators' calls from start to exit.
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
	"minttray/internal/memory"
	"minttray/internal/operators"
	"minttray/internal/origin"
	"minttray/internal/pool"
	"minttray/internal/pulse"
	"minttray/internal/settings"
	"minttray/internal/state"
	"minttray/policy"
)

const (
	// expiryInterval is the time between two searches for connections to caches that have been idle for too long.
	expiryInterval = time.Second
	// engineTimeout limits the wait for the engine to apply settings or to log its counters.
	engineTimeout = time.Second
	// finalSnapshotTimeout limits the wait for the engine's learned state in the last snapshot at exit.
	finalSnapshotTimeout = 200 * time.Millisecond
	// forcedExitGrace is the time past the shutdown's own limits after which a stuck process is ended by force.
	forcedExitGrace = 2 * time.Second
	// minCountersInterval is the shortest configurable time between two lines of counters. It keeps the log small.
	minCountersInterval = 100 * time.Millisecond

	commandBytes       = 256     // of a command that is not yet answered
	defaultMemory      = 1 << 30 // bytes, if the configuration sets no limit
	defaultMaxOps      = 1 << 16 // open ops, if the settings set no limit
	defaultDialTimeout = time.Second

	exitStuck = 3 // exit status of a process that was ended by force
)

type (
	// Module makes the routing decisions.
	Module = engine.Module
	// ModuleFactory creates the decision module of an engine. The engine is h, the module's host.
	ModuleFactory = func(s policy.Settings, seed uint64, h policy.Host) Module
)

// Main runs one proxy until SIGTERM or SIGINT. operatorsPath is the path of the operators' file; if it is empty, the
// environment may name one.
func Main(newModule ModuleFactory, operatorsPath string) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	getenv := func(name string) string {
		if name == "MINTTRAY_OPERATORS" && operatorsPath != "" {
			return operatorsPath
		}
		return os.Getenv(name)
	}
	return run(getenv, signals, os.Stderr, newModule)
}

// snapshotWriterExitWait limits the wait at exit for the snapshot writer: a disk that does not answer must not hold up the
// process.
var snapshotWriterExitWait = finalSnapshotTimeout

// forceExit ends a process that does not exit by itself.
var forceExit = func() { os.Exit(exitStuck) }

// run runs one proxy, from reading its configuration until a stop signal has been carried out.
func run(getenv func(string) string, signals <-chan os.Signal, logOutput io.Writer, newModule ModuleFactory) error {
	operatorsFile, err := operators.Read(getenv("MINTTRAY_OPERATORS"))
	if err != nil {
		return fmt.Errorf("MINTTRAY_OPERATORS: %w", err)
	}
	conf, err := config.Load(getenv)
	if err != nil {
		return err
	}
	var countersInterval time.Duration // between two lines of counters; 0: only on SIGUSR1
	if text := getenv("MINTTRAY_COUNTERS"); text != "" {
		if countersInterval, err = time.ParseDuration(text); err != nil || countersInterval < minCountersInterval {
			return fmt.Errorf("MINTTRAY_COUNTERS: %q is not a duration of %v or more", text, minCountersInterval)
		}
	}
	if conf.Cores > 0 {
		runtime.GOMAXPROCS(max(int(conf.Cores+0.5), 1))
	}
	memoryBytes := int64(conf.MemoryMB) << 20
	if memoryBytes == 0 {
		memoryBytes = defaultMemory
	}
	log, sink := logs.New(logOutput, getenv("MINTTRAY_LOG"))
	defer sink.Close()
	log = log.With().Str("proxy", conf.Name).Logger()

	s := conf.Settings
	metrics := figures.New()
	pools := &pool.Shared{OnAttemptWritten: metrics.Attempts.Inc, DialTimeout: dialTimeout(s), IdleTimeout: s.IdleServer, Log: log}
	// Operators' overrides outlive the process. Without a control address there are no operators' calls and no other process
	// takes over, so nothing has to be stored.
	var store *state.Store
	if conf.Control != "" {
		store = state.Open(cmp.Or(getenv("TMPDIR"), os.TempDir()), conf.Name, conf.Listen)
	}
	coordinator := newCoordinator(log, store, operatorsFile)
	coordinator.zones = s.Zones
	coordinator.localZone = s.Policy.Zone
	coordinator.metrics = metrics
	coordinator.settingsChanged(s)
	overrides := coordinator.loadOverrides()
	snapshots := newSnapshotWriter(log, operatorsFile, conf.Name, conf.Listen, s)
	defer coordinator.leaveRoles()
	handover := coordinator.receiveHandover()
	learned := handover.learned
	if learned == nil {
		learned = snapshots.load()
	}
	stallMonitor := pulse.New(time.Now())
	answerBlocks := memory.NewPool(memoryBytes / 24)
	eng := engine.New(engine.Options{
		StallMonitor: stallMonitor,
		CachesOut:    overrides.CachesOut,
		ReturnedAt:   overrides.ReturnedAt,
		Memory:       learned,
		SharedIDs:    handover.sharedIDs,
		Sites:        coordinator.siteOverrides(overrides),
		Settings:     s.Policy,
		Seed:         conf.Seed,
		Module:       newModule,
		Logger:       log,
		MaxOps:       maxOps(s),
		MaxBytes:     memoryBytes / 12,
		Connect: func(m engine.Member) engine.Server {
			if m.Kind == s.Policy.OriginKind {
				return pool.New(pools, m.Addr, origin.Protocol{Host: m.Addr, Values: answerBlocks})
			}
			return pool.New(pools, m.Addr, caches.Protocol{LatencyField: s.PaceField, WaitingField: s.WaitingField, RateField: s.RateField, Values: answerBlocks})
		},
	})
	listNames := discovery.NewNameTable(s.Zones, s.Kinds, log)
	watcher := discovery.New(conf.Discovery, listNames, s.Policy.AskList, log)
	watcher.OnUpdate = eng.UpdateList
	watcher.OriginKind = s.Policy.OriginKind
	watcher.Guard = roster.Guard[time.Duration]{
		MaxMissingShare: operatorsFile.List.Doubt,
		ConfirmAfter:    operatorsFile.List.Confirm.Duration(),
	}
	known, err := watcher.LoadKnown(conf.Known)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	frontEnd := &front.Server{
		Engine:            eng,
		Names:             front.NewNameTable(s, metrics),
		Metrics:           metrics,
		MaxPendingBytes:   memoryBytes / 8,
		MaxLongValueBytes: max(memoryBytes/8, engine.MaxValueBytes),
		MaxCommands:       memoryBytes / 32 / commandBytes,
		Blocks: front.BlockPools{
			Commands:   memory.NewPool(memoryBytes / 48),
			Properties: memory.NewPool(memoryBytes / 48),
			Values:     memory.NewPool(memoryBytes / 24),
			LongValues: memory.NewPool(memoryBytes / 4),
			Answers:    answerBlocks,
		},
		Log:   log,
		Pulse: stallMonitor,
	}
	answerBlocks.OnShort(frontEnd.ReclaimValues)
	coordinator.front = frontEnd
	coordinator.engine = eng
	if handover.beside && handover.sharedIDs == nil {
		eng.SetIDsUnknown()
	}
	registerGauges(metrics, eng, frontEnd, watcher)
	// Half of the sockets are for clients and 3/8 for servers. The rest, and a quarter of the memory, are a reserve.
	sockets, memoryMB := conf.Sockets, conf.MemoryMB // those of the start, whatever a reload brings
	coordinator.applyLimits = func(shared bool) {
		processes := 1
		if shared {
			processes = 2
		}
		frontEnd.MaxConns.Store(int64(memory.MaxConns(memoryBytes, processes, sockets/2/processes)))
		pools.MaxConnections.Store(int64(sockets * 3 / 8 / processes))
		if memoryMB > 0 {
			debug.SetMemoryLimit(memory.CollectorLimit(memoryBytes, processes))
		}
	}
	coordinator.applyLimits(false)
	if store != nil {
		coordinator.updateRoles()
	}
	if conf.Control != "" {
		controlServer, err := coordinator.serveControl(conf.Control)
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		defer controlServer.Close()
	}
	if err := frontEnd.Listen(conf.Listen, conf.Control != ""); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	pools.HeldValues = frontEnd.LongValueBudget()
	eng.Start(watcher, known)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopEngine := make(chan struct{})
	go eng.Run(stopEngine)
	go watcher.Run(ctx)
	go runEvery(ctx, expiryInterval, func() { pools.CloseExpired(time.Now()) })
	go runEvery(ctx, expiryInterval, frontEnd.Blocks.Trim)
	coordinator.markListening(overrides.DrainClients) // before Serve, so that the first PING gets the right reply
	go frontEnd.Serve()
	if conf.Control != "" {
		go runEvery(ctx, pollInterval, coordinator.poll)
	}
	snapshotsDone := make(chan struct{})
	go func() {
		snapshots.run(ctx, eng)
		close(snapshotsDone)
	}()
	log.Info().Str("listen", conf.Listen).Str("control", conf.Control).Int("known", len(known)).
		Int("memory_mb", memoryMB).Int64("max_connections", frontEnd.MaxConns.Load()).Int64("collector_limit", memory.CollectorLimit(memoryBytes, 1)).
		Object("memory", memoryUsage{frontEnd}).Msg("serving")
	logCounters := func() {
		done := make(chan struct{})
		eng.Do(func(e *engine.Engine) {
			log.Info().
				Object("engine", &e.Counters).
				Object("behind", e.LagCounters()).
				Object("clients", frontEnd).
				Object("servers", pools).
				Object("discovery", watcher).
				Object("memory", memoryUsage{frontEnd}).
				Msg("counters")
			close(done)
		})
		select {
		case <-done:
		case <-ctx.Done():
		case <-time.After(engineTimeout): // a stuck engine logs nothing
		}
	}
	reload := func() {
		next, restartFields, err := conf.Reload(getenv)
		if err == nil {
			err = eng.ApplySettings(next.Settings.Policy, maxOps(next.Settings), engineTimeout)
		}
		if err != nil {
			metrics.ReloadsFailed.Inc()
			log.Error().Err(err).Msg("configuration reload failed; the old configuration stays in force")
			return
		}
		conf = next
		coordinator.settingsChanged(conf.Settings)
		snapshots.settingsChanged(conf.Settings)
		frontEnd.SetNames(front.NewNameTable(conf.Settings, metrics)) // after the engine knows the new categories' numbers
		pools.SetTimeouts(dialTimeout(conf.Settings), conf.Settings.IdleServer)
		if watcher.SetAddress(conf.Discovery); len(restartFields) > 0 {
			log.Warn().Strs("fields", restartFields).Msg("changed fields take effect after a restart")
		}
		// Counted last: an operator who sees the count relies on the clients' next op being handled by the new settings.
		metrics.ReloadsOK.Inc()
		log.Info().Str("discovery", conf.Discovery).Strs("classes", frontEnd.Classes()).Msg("configuration reloaded")
	}
	if countersInterval > 0 {
		go runEvery(ctx, countersInterval, logCounters)
	}
	for sig := range signals {
		switch sig {
		case syscall.SIGUSR1:
			logCounters()
			continue
		case syscall.SIGHUP:
			reload()
			continue
		}
		break
	}
	log.Info().Msg("stopping")
	exitTimer := time.AfterFunc(operatorsFile.Stop.Within.Duration()+operatorsFile.Stop.Close.Duration()+forcedExitGrace, forceExit)
	defer exitTimer.Stop()
	if connected := coordinator.shutDown(relayStopSignals(ctx, signals, log)); connected > 0 {
		log.Error().Int("connections", connected).Msg("stopped with clients still connected")
	}
	logCounters()
	cancel()
	pools.CloseIdle()
	select {
	case <-snapshotsDone:
	case <-time.After(snapshotWriterExitWait):
	}
	close(stopEngine)
	log.Info().Msg("stopped")
	return nil
}

// relayStopSignals reads signals during the shutdown and returns a channel that receives a value for each further stop
// signal. Other signals are logged and ignored.
func relayStopSignals(ctx context.Context, signals <-chan os.Signal, log zerolog.Logger) <-chan struct{} {
	stopAgain := make(chan struct{})
	go func() {
		for {
			select {
			case sig := <-signals:
				if sig == syscall.SIGHUP || sig == syscall.SIGUSR1 {
					log.Warn().Stringer("signal", sig).Msg("signal ignored during shutdown")
					continue
				}
				select {
				case stopAgain <- struct{}{}:
				case <-ctx.Done():
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return stopAgain
}

// dialTimeout returns how long a connection to a cache or the origin may take to be established.
func dialTimeout(s settings.Settings) time.Duration {
	return cmp.Or(s.ConnectTimeout, defaultDialTimeout)
}

// maxOps returns how many ops may be open at a time.
func maxOps(s settings.Settings) int { return cmp.Or(max(s.MaxOpen, 0), defaultMaxOps) }

// runEvery calls f at each interval until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
