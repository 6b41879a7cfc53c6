package daemon

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/lifecycle"
	"minttray/internal/control"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/front"
	"minttray/internal/operators"
	"minttray/internal/settings"
	"minttray/internal/state"
	"minttray/policy"
)

// Durations of the lifecycle.
const (
	// listenFor is how long clients may still connect after SIGTERM, or after PING has begun to fail.
	listenFor = 450 * time.Millisecond
	// listenForWithSuccessor is how long clients may still connect to this process if a successor listens.
	listenForWithSuccessor = 50 * time.Millisecond
	// acceptCommandsFor is how long commands are accepted after SIGTERM. Later ones may be left without an answer.
	acceptCommandsFor = 620 * time.Millisecond
	// ttlMargin is added to the longest TTL: ops that are still open so long after SIGTERM are answered by the proxy itself, since
	// SIGKILL may follow soon.
	ttlMargin = 550 * time.Millisecond
	// closeInformedAfter is the time from the first failing PING reply until clients are disconnected that have sent PING
	// since or have had the time to.
	closeInformedAfter = 1200 * time.Millisecond
)

const (
	// callTimeout limits the wait for the engine in an operator's call, a poll, a handover or a periodic snapshot.
	callTimeout = 700 * time.Millisecond
	// pollInterval is the time between two looks at the override file, which another process may have changed, and at
	// the engine's statistics.
	pollInterval = 25 * time.Millisecond
	// peerCheckPolls is the number of polls from one check for another process at the same address to the next.
	peerCheckPolls = 4
	// lameDuckInterval is the time between two updates of the front end while clients are told to leave.
	lameDuckInterval = 20 * time.Millisecond
)

// coordinator carries out the lifecycle of the process and the operators' calls: it drives the listener, the client
// connections and the replies to PING, and coordinates with another process that serves the same address.
type coordinator struct {
	front       *front.Server
	engine      *engine.Engine
	metrics     *figures.Metrics
	log         zerolog.Logger
	startedAt   time.Time
	applyLimits func(shared bool) // sets the resource limits; if shared, another process gets half of them
	zones       []string          // names, by number
	localZone   int               // number of this proxy's zone

	// fileMu guards the fields below it, up to mu. It is never locked while mu is held.
	fileMu              sync.Mutex
	settingsFingerprint string // of the settings in force
	store               *state.Store
	limitsShared        bool   // another process has half of the limits
	welcomed            string // the process that this one has last passed its state to
	polls               int
	leftRoles           bool // the process ends: it holds no role and takes none any more

	// mu guards the fields below it.
	mu              sync.Mutex
	machine         lifecycle.Machine
	lameDuckRunning bool // lameDuckLoop runs
}

func newCoordinator(log zerolog.Logger, store *state.Store, o *operators.File) *coordinator {
	schedule := lifecycle.Schedule{
		ListenFor:              lifecycleTime(listenFor),
		ListenForWithSuccessor: lifecycleTime(listenForWithSuccessor),
		AcceptCommandsFor:      lifecycleTime(acceptCommandsFor),
		CloseInformedAfter:     lifecycleTime(closeInformedAfter),
		AnswerOpenAfter:        lifecycleTime(o.Stop.Within.Duration()),
		TTLMargin:              lifecycleTime(ttlMargin),
		FlushTimeout:           lifecycleTime(o.Stop.Close.Duration()),
		IdleCloseSpread:        lifecycleTime(o.Stop.Spread.Duration()),
	}
	return &coordinator{log: log, startedAt: time.Now(), machine: lifecycle.Machine{Schedule: schedule}, store: store}
}

// lifecycleTime converts d to the unit of package lifecycle, tenths of a millisecond.
func lifecycleTime(d time.Duration) lifecycle.Time {
	return lifecycle.Time(d / (100 * time.Microsecond))
}

// now returns the time since the process started.
func (c *coordinator) now() lifecycle.Time { return lifecycleTime(time.Since(c.startedAt)) }

// serveControl starts the control server, which receives the operators' calls.
func (c *coordinator) serveControl(addr string) (*control.Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &control.Server{Log: c.log, Handlers: control.Handlers{
		Ready: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.machine.Ready()
		},
		WriteMetrics: func(w io.Writer) { c.metrics.Write(w) },
		DetachCache:  c.setCacheDetached,
		SetLameDuck:  c.setLameDuck,
		DetachSite:   c.setSiteDetached,
	}}
	go server.Serve(listener)
	return server, nil
}

// markListening records that the front end listens. If lameDuck is set, the process starts as a lame duck.
func (c *coordinator) markListening(lameDuck bool) {
	c.mu.Lock()
	c.machine.MarkListening(c.now(), lameDuck)
	c.updateFront()
	c.mu.Unlock()
	if lameDuck {
		c.startLameDuckLoop()
	}
}

// hasListened reports whether the front end has begun to listen. It stays true when the process stops listening.
func (c *coordinator) hasListened() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.State() > lifecycle.Starting
}

// settingsChanged records the settings in force.
func (c *coordinator) settingsChanged(s settings.Settings) {
	c.mu.Lock()
	c.machine.SetMaxTTL(lifecycleTime(s.MaxTTL()))
	c.mu.Unlock()
	c.fileMu.Lock()
	defer c.fileMu.Unlock()
	c.settingsFingerprint = s.Fingerprint()
}

// poll updates the metrics that only the engine knows, checks for another process, and applies overrides that another
// process has stored.
func (c *coordinator) poll() {
	c.engine.ReadStats(func(counts policy.Counts, detachedSiteCaches int, maxEvent time.Duration) {
		c.metrics.MaxEventMicroseconds.Store(maxEvent.Microseconds())
		c.metrics.DetachedSiteCaches.Store(int64(detachedSiteCaches))
		c.metrics.ListedCaches.Store(int64(counts.ListedCaches))
		c.metrics.ExcludedCaches.Store(int64(counts.ExcludedCaches))
	})
	c.fileMu.Lock()
	defer c.fileMu.Unlock()
	if c.leftRoles {
		return
	}
	c.polls++
	if c.polls%peerCheckPolls == 0 {
		c.updateRoles()
	}
	c.applyStoredOverrides()
}

// applyLameDuck makes the process a lame duck, or serve again.
func (c *coordinator) applyLameDuck(lameDuck bool) error {
	c.mu.Lock()
	err := c.machine.SetLameDuck(c.now(), lameDuck)
	c.updateFront()
	c.mu.Unlock()
	if err == nil && lameDuck {
		c.startLameDuckLoop()
	}
	return err
}

// updateFront passes the state of the lifecycle to the front end. The caller holds mu.
func (c *coordinator) updateFront() {
	now := c.now()
	c.front.ApplyPhase(c.machine.ClosePolicy(now), c.machine.Healthy(), c.machine.IdleCloseShare(now))
}

// startLameDuckLoop starts lameDuckLoop unless it runs.
func (c *coordinator) startLameDuckLoop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lameDuckRunning {
		c.lameDuckRunning = true
		go c.lameDuckLoop()
	}
}

// lameDuckLoop updates the front end at each interval for as long as the process is a lame duck, since the connections
// to close change with time.
func (c *coordinator) lameDuckLoop() {
	for {
		time.Sleep(lameDuckInterval)
		c.mu.Lock()
		c.updateFront()
		if c.machine.State() != lifecycle.LameDuck {
			c.lameDuckRunning = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}
