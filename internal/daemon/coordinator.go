package daemon

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/lifecycle"
	"minttray/decide/warm"
	"minttray/internal/control"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/front"
	"minttray/internal/operators"
	"minttray/internal/settings"
	"minttray/internal/state"
	"minttray/policy"
)

const (
	giveBack    = 350 * time.Millisecond  // for the engine to answer all that is open
	stillComing = 450 * time.Millisecond  // clients that connect after SIGTERM, or after PING has said no
	overTo      = 50 * time.Millisecond   // clients that connect here though a successor listens
	lastCommand = 620 * time.Millisecond  // after SIGTERM: what comes later need not be answered in time
	lastAnswer  = 550 * time.Millisecond  // past the longest TTL, after SIGTERM: a little later SIGKILL may come
	leaving     = 1200 * time.Millisecond // from PING's no until those that have not left by themselves are let go
	callTime    = 700 * time.Millisecond  // for what a call asks for
	lookEvery   = 25 * time.Millisecond   // what operators said to another process, and figures
	heard       = 3 * lookEvery           // until another process has looked as well
	handTime    = 500 * time.Millisecond  // until what is handed over is there
	rolesEvery  = 4                       // looks
	endEvery    = 10 * time.Millisecond   // while the process ends
	turnEvery   = 20 * time.Millisecond   // connections are looked at while clients are sent away
)

// shifts carries out what the lifecycle says: signals and calls come in, listener, connections and PING follow.
type shifts struct {
	front  *front.Server
	engine *engine.Engine
	book   *figures.Metrics
	log    zerolog.Logger
	born   time.Time
	share  func(shared bool) // the limits, with another process
	print  string            // of the settings in force, in short
	zones  []string          // by number
	zone   int               // this proxy's

	file   sync.Mutex // guards what follows; never taken while mu is held
	store  *state.Store
	shared bool
	looks  int

	mu      sync.Mutex
	life    lifecycle.Machine
	turning bool // a goroutine turns the front
}

func newShifts(log zerolog.Logger, store *state.Store, o *operators.File) *shifts {
	plan := lifecycle.Schedule{ListenFor: tenths(stillComing), ListenForWithSuccessor: tenths(overTo), AcceptCommandsFor: tenths(lastCommand), CloseInformedAfter: tenths(leaving),
		AnswerOpenAfter: tenths(o.Stop.Within.Duration()), TTLMargin: tenths(lastAnswer), FlushTimeout: tenths(o.Stop.Close.Duration()), IdleCloseSpread: tenths(o.Stop.Spread.Duration())}
	return &shifts{log: log, born: time.Now(), life: lifecycle.Machine{Schedule: plan}, store: store}
}

func tenths(d time.Duration) lifecycle.Time { return lifecycle.Time(d / (100 * time.Microsecond)) }

func (s *shifts) now() lifecycle.Time { return tenths(time.Since(s.born)) }

// listen answers the operators' calls.
func (s *shifts) listen(addr string) (*control.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &control.Server{Log: s.log, Handlers: control.Handlers{
		Ready: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.life.Ready()
		},
		WriteMetrics:  func(w io.Writer) { s.book.Write(w) },
		DetachCache:      s.out,
		SetLameDuck: s.sendAway,
		DetachSite:     s.site,
	}}
	go server.Serve(l)
	return server, nil
}

// word is what operators said to the process before this one; what can't be used is passed over.
func (s *shifts) word() (w state.Overrides) {
	if s.store != nil {
		var err error
		if w, err = s.store.Read(); err != nil {
			s.log.Warn().Err(err).Msg("what operators said before is not known")
		}
	}
	return w
}

func (s *shifts) serving(away bool) {
	s.mu.Lock()
	s.life.MarkListening(s.now(), away)
	s.turnFront()
	s.mu.Unlock()
	if away {
		s.turns()
	}
}

// look takes the figures that only the engine knows, and follows what was said to another process.
func (s *shifts) look() {
	s.engine.ReadStats(func(c policy.Counts, handed int, longest time.Duration) {
		s.book.LongestEvent.Store(longest.Microseconds())
		s.book.Handed.Store(int64(handed))
		s.book.Known.Store(int64(c.ListedCaches))
		s.book.Out.Store(int64(c.ExcludedCaches))
	})
	s.file.Lock()
	defer s.file.Unlock()
	if s.looks++; s.looks%rolesEvery == 0 {
		s.roles()
	}
	if !s.store.Changed() {
		return
	}
	w, err := s.store.Read()
	if err != nil {
		s.log.Warn().Err(err).Msg("what operators said is not known; what they said before holds")
		return
	}
	if err := errors.Join(s.engine.SetAllCachesOut(w.CachesOut, callTime), s.engine.SetAllSites(s.sites(w), callTime)); err != nil {
		s.log.Warn().Err(err).Msg("caches out by hand not taken over")
	}
	s.turnAway(w.DrainClients)
}

// roles finds out whether another process serves for the same proxy: then each has a part of the limits. The file's mutex
// is held.
func (s *shifts) roles() {
	shared := false
	if s.store.AcquireRole(state.RoleActive) {
		s.store.ReleaseRole(state.RoleStandby)
		shared = s.store.RoleHeldByOther(state.RoleStandby)
	} else {
		s.store.AcquireRole(state.RoleStandby)
		shared = true
	}
	if shared != s.shared {
		if s.shared = shared; shared && s.serves() {
			s.give()
		}
		s.share(shared)
		s.log.Info().Bool("shared", shared).Msg("limits")
	}
}

// retuned tells that other settings are in force.
func (s *shifts) retuned(now settings.Settings) {
	s.mu.Lock()
	s.life.SetMaxTTL(tenths(now.MaxTTL()))
	s.mu.Unlock()
	s.file.Lock()
	defer s.file.Unlock()
	s.print = now.Fingerprint()
}

func (s *shifts) serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.State() > lifecycle.Starting
}

// give hands a half of what may be sent to caches over to the process that has come. The file's mutex is held.
func (s *shifts) give() {
	m, err := s.engine.Handover(callTime)
	if err == nil {
		err = s.store.WriteHandover(state.Handover{At: time.Now(), Settings: s.print, Memory: m})
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("nothing handed over")
	}
}

// given waits for that, in the process that has come; nil: there is none before it, or nothing is known of it.
func (s *shifts) given() *warm.LearnedState {
	if s.store == nil {
		return nil
	}
	s.file.Lock()
	defer s.file.Unlock()
	s.store.RemoveHandover()
	if s.store.AcquireRole(state.RoleActive) {
		return nil
	}
	s.store.AcquireRole(state.RoleStandby)
	h, err := s.store.AwaitHandover(handTime)
	if err != nil {
		s.log.Warn().Err(err).Msg("nothing was handed over")
		return nil
	}
	h.Memory.HandedOver = true
	if h.Memory.Confidence = 1; h.Settings != s.print {
		h.Memory.DropSettingsDependent()
	}
	return &h.Memory
}

// say does what an operator asks for and writes it down, and waits until another process has followed. What can't be written
// down is undone: a no changes nothing. Danger: a look between the two would take the file, which does not know of it yet,
// for the newer word, and let a cache in that an operator is just being told is out.
func (s *shifts) say(do, undo func() error, write func(*state.Overrides)) error {
	s.file.Lock()
	if err := do(); err != nil {
		s.file.Unlock()
		return err
	}
	err := s.store.Update(write)
	if err != nil {
		undo()
	}
	s.roles()
	shared := s.shared
	s.file.Unlock()
	if err == nil && shared {
		time.Sleep(heard)
	}
	return err
}

func (s *shifts) out(id string, out bool) error {
	put := func(out bool) func() error {
		return func() error {
			switch err := s.engine.SetCacheOut(id, out, callTime); {
			case errors.Is(err, engine.ErrUnknown):
				return control.ErrUnknownID
			case errors.Is(err, engine.ErrBusy):
				return control.ErrTimeout
			default:
				return err
			}
		}
	}
	return s.say(put(out), put(!out), func(w *state.Overrides) {
		was := len(w.CachesOut)
		if w.CachesOut = slices.DeleteFunc(w.CachesOut, func(o string) bool { return o == id }); out {
			w.CachesOut = append(w.CachesOut, id)
		} else if len(w.CachesOut) < was {
			if w.ReturnedAt == nil {
				w.ReturnedAt = map[string]time.Time{}
			}
			w.ReturnedAt[id] = time.Now()
		}
	})
}

// sites are the words on sites as the engine takes them; the figure of sites out follows.
func (s *shifts) sites(w state.Overrides) map[int]engine.SiteOverride {
	all, out := map[int]engine.SiteOverride{}, 0
	for name, word := range w.Sites {
		if zone := slices.Index(s.zones, name); zone >= 0 {
			all[zone] = engine.SiteOverride(word)
		}
		if word.Out {
			out++
		}
	}
	s.book.Sites.Store(int64(out))
	return all
}

// site takes a whole site out, or calls it back: its caches in their turns, and the clients of this proxy, if it stands there.
func (s *shifts) site(name string, out bool, over time.Duration) error {
	zone := slices.Index(s.zones, name)
	if zone < 0 {
		return control.ErrUnknownID
	}
	var before state.Overrides
	word := state.SiteOverride{Out: out, At: time.Now(), Over: over}
	s.mu.Lock()
	wasAway := !s.life.Healthy()
	s.mu.Unlock()
	return s.say(func() error {
		before, _ = s.store.Peek() // what can't be used is replaced
		if was, told := before.Sites[name]; told && was.Out == out {
			word = was // said twice it changes nothing: a second call must not begin anew
		}
		err := s.engine.SetSite(zone, engine.SiteOverride(word), callTime)
		switch {
		case errors.Is(err, engine.ErrUnknown):
			return control.ErrUnknownID
		case errors.Is(err, engine.ErrLastCaches):
			return control.ErrLastCache
		case errors.Is(err, engine.ErrBusy):
			return control.ErrTimeout
		case err == nil && zone == s.zone:
			err = s.turnAway(out)
		}
		return err
	}, func() error {
		if zone == s.zone {
			s.turnAway(wasAway)
		}
		return s.engine.SetAllSites(s.sites(before), callTime)
	}, func(w *state.Overrides) {
		if w.Sites == nil {
			w.Sites = map[string]state.SiteOverride{}
		}
		if w.Sites[name] = word; zone == s.zone {
			w.DrainClients = out
		}
		s.sites(*w)
	})
}

func (s *shifts) sendAway(away bool) error {
	s.mu.Lock()
	was := !s.life.Healthy()
	s.mu.Unlock()
	return s.say(func() error { return s.turnAway(away) }, func() error { return s.turnAway(was) },
		func(w *state.Overrides) { w.DrainClients = away })
}

func (s *shifts) turnAway(away bool) error {
	s.mu.Lock()
	err := s.life.SetLameDuck(s.now(), away)
	s.turnFront()
	s.mu.Unlock()
	if err == nil && away {
		s.turns()
	}
	return err
}

// turnFront tells the front what holds; the mutex is held.
func (s *shifts) turnFront() {
	now := s.now()
	s.front.ApplyPhase(s.life.ClosePolicy(now), s.life.Healthy(), s.life.IdleCloseShare(now))
}

// turns has a goroutine look after connections for as long as clients are sent away.
func (s *shifts) turns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.turning {
		s.turning = true
		go s.turn()
	}
}

// turn looks after connections for as long as clients are sent away.
func (s *shifts) turn() {
	for {
		time.Sleep(turnEvery)
		s.mu.Lock()
		s.turnFront()
		if s.life.State() != lifecycle.LameDuck {
			s.turning = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

// followed tells whether another process serves the address, or is about to.
func (s *shifts) followed() bool {
	if s.store == nil {
		return false
	}
	s.file.Lock()
	defer s.file.Unlock()
	return s.store.RoleHeldByOther(state.RoleStandby)
}

// end ends listening after a while, and each connection once it is answered. What is open when the time is over is handed
// back. It comes back when no client is left, or when the time to close is over as well. again: further words to stop.
func (s *shifts) end(again <-chan struct{}) (left int) {
	successor := s.followed()
	s.mu.Lock()
	s.life.Stop(s.now(), successor)
	s.mu.Unlock()
	listening, closed := true, make(chan struct{})
	for ; ; time.Sleep(endEvery) {
		if listening {
			successor = s.followed()
		}
		s.mu.Lock()
		select {
		case <-again:
			s.life.Stop(s.now(), successor)
		default:
		}
		if listening {
			s.life.SetSuccessor(successor)
		}
		now := s.now()
		due, listens := s.life.Advance(now), s.life.Accepting(now)
		s.turnFront()
		s.mu.Unlock()
		if listening && !listens {
			listening = false
			go func() {
				s.front.Close()
				close(closed)
			}()
		}
		if due == lifecycle.AnswerOpen {
			if err := s.engine.AnswerAllOpen(giveBack); err != nil {
				s.log.Error().Err(err).Msg("what is open was not handed back")
			}
		}
		select {
		case <-closed:
			left = s.front.OpenConns()
		default:
			left = 1 // who stands in the queue is not counted yet
		}
		if left == 0 || due == lifecycle.Exit {
			s.mu.Lock()
			s.life.MarkEmpty()
			s.mu.Unlock()
			return left
		}
	}
}
