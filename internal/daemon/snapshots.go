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

// keeper writes what was learned to where it outlives the process, if operators named a place.
type keeper struct {
	log   zerolog.Logger
	every time.Duration

	mu    sync.Mutex
	shots *state.SnapshotFile // nil: nowhere
}

func newKeeper(log zerolog.Logger, o *operators.File, name, listen string, s settings.Settings) *keeper {
	k := &keeper{log: log, every: o.State.Every.Duration()}
	if o.State.Dir != "" {
		k.shots = state.OpenSnapshotFile(o.State.Dir, name, listen, s.Fingerprint())
		k.shots.MaxAge, k.shots.HalfLife = o.State.Oldest.Duration(), o.State.HalfLife.Duration()
		k.shots.KeyWindow = time.Duration(s.Policy.TipAfter) * 200 * time.Microsecond // two windows, as the module keeps keys
	}
	return k
}

// take is what a process before this one has left; nil: nothing that can be used.
func (k *keeper) take() *warm.LearnedState {
	if k.shots == nil {
		return nil
	}
	m, age, err := k.shots.Load(time.Now())
	if err == nil {
		k.log.Info().Dur("age", age).Int("caches", len(m.Caches)).Int("keys", len(m.RecentKeys)).Msg("what was learned before is taken")
	} else if !errors.Is(err, state.ErrNoSnapshot) {
		k.log.Warn().Err(err).Msg("what was learned before is passed over")
	}
	return m
}

// retuned tells that other settings are in force: what is learned from now on is learned under them.
func (k *keeper) retuned(s settings.Settings) {
	if k.shots != nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.shots.SetSettings(s.Fingerprint())
	}
}

// run writes again and again, and once more at the end.
func (k *keeper) run(ctx context.Context, e *engine.Engine) {
	if k.shots == nil {
		return
	}
	defer func() {
		k.write(e, lastLook, true)
		k.shots.Close()
	}()
	each(ctx, k.every, func() { k.write(e, callTime, false) })
}

// write writes if it is time; the last one is, whenever the one before it was.
func (k *keeper) write(e *engine.Engine, span time.Duration, last bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if last && !k.shots.AcquireWriteLock() || !last && !k.shots.Due(now.Add(k.every/10)) { // the clock's turns are not even
		return
	}
	m, err := e.Learned(span)
	first := true
	if err == nil {
		first, err = k.shots.Write(m, now, k.every)
	}
	if err != nil && first {
		k.log.Warn().Err(err).Msg("what was learned is not written; tried again less and less often")
	}
}
