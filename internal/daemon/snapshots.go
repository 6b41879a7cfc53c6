package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/warm"
	"minttray/internal/engine"
	"minttray/internal/operators"
	"minttray/internal/settings"
	"minttray/internal/state"
)

// snapshotWriter writes the learned state to a file that outlives the process, if the operators' file names a folder.
type snapshotWriter struct {
	log      zerolog.Logger
	interval time.Duration // between two snapshots

	mu   sync.Mutex
	file *state.SnapshotFile // nil: no snapshots
}

func newSnapshotWriter(log zerolog.Logger, o *operators.File, name, listen string, s settings.Settings) *snapshotWriter {
	w := &snapshotWriter{log: log, interval: o.State.Every.Duration()}
	if o.State.Dir != "" {
		w.file = state.OpenSnapshotFile(o.State.Dir, name, listen, s.Fingerprint())
		w.file.MaxAge = o.State.Oldest.Duration()
		w.file.HalfLife = o.State.HalfLife.Duration()
		// The module keeps keys for twice TipAfter, which is in units of 100 µs.
		w.file.KeyWindow = time.Duration(s.Policy.TipAfter) * 200 * time.Microsecond
	}
	return w
}

// load returns the learned state of an earlier process, or nil if there is none that can be used.
func (w *snapshotWriter) load() *warm.LearnedState {
	if w.file == nil {
		return nil
	}
	learned, age, err := w.file.Load(time.Now())
	if err == nil {
		w.log.Info().Dur("age", age).Int("caches", len(learned.Caches)).Int("keys", len(learned.RecentKeys)).
			Msg("learned state from snapshot loaded")
	} else if !errors.Is(err, state.ErrNoSnapshot) {
		w.log.Warn().Err(err).Msg("learned state from snapshot not used")
	}
	return learned
}

// settingsChanged records the settings in force. Later snapshots are marked as learned under them.
func (w *snapshotWriter) settingsChanged(s settings.Settings) {
	if w.file != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.file.SetSettings(s.Fingerprint())
	}
}

// run tries to write a snapshot at each interval, less often after failures, and a last one when ctx is done.
func (w *snapshotWriter) run(ctx context.Context, e *engine.Engine) {
	if w.file == nil {
		return
	}
	defer func() {
		w.write(e, finalSnapshotTimeout, true)
		w.file.Close()
	}()
	runEvery(ctx, w.interval, func() { w.write(e, callTimeout, false) })
}

// write writes a snapshot if one is due and this process has the write lock, which Due acquires. The last one is due at any
// time. timeout limits the wait for the engine.
func (w *snapshotWriter) write(e *engine.Engine, timeout time.Duration, last bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if last && !w.file.AcquireWriteLock() {
		return
	}
	if !last && !w.file.Due(now.Add(w.interval/10)) { // ticks are not exact, so a tenth early counts as due
		return
	}
	learned, err := e.Learned(timeout)
	logFailure := true
	if err == nil {
		logFailure, err = w.file.Write(learned, now, w.interval)
	}
	// Of consecutive failed writes only the first is logged; the retries come at increasing intervals.
	if err != nil && logFailure {
		w.log.Warn().Err(err).Msg("snapshot not written")
	}
}
