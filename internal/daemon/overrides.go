package daemon

import (
	"errors"
	"slices"
	"time"

	"minttray/internal/control"
	"minttray/internal/engine"
	"minttray/internal/state"
)

// followTime is how long a call waits for another process to poll the override file and apply it too.
const followTime = 3 * pollInterval

// loadOverrides returns the overrides that operators set in an earlier process. If they can't be read there are none.
func (c *coordinator) loadOverrides() (overrides state.Overrides) {
	if c.store != nil {
		var err error
		if overrides, err = c.store.Read(); err != nil {
			c.log.Warn().Err(err).Msg("stored overrides can't be read; starting without them")
		}
	}
	return overrides
}

// applyStoredOverrides applies the stored overrides if another process has changed them. The caller holds fileMu.
func (c *coordinator) applyStoredOverrides() {
	if !c.store.Changed() {
		return
	}
	overrides, err := c.store.Read()
	if err != nil {
		c.log.Warn().Err(err).Msg("stored overrides can't be read; the earlier ones stay in force")
		return
	}
	if err := errors.Join(c.engine.SetAllCachesOut(overrides.CachesOut, callTimeout), c.engine.SetAllSites(c.siteOverrides(overrides), callTimeout)); err != nil {
		c.log.Warn().Err(err).Msg("stored overrides of caches or sites not applied")
	}
	c.applyLameDuck(overrides.DrainClients)
}

// change applies an operator's change with do, stores it with update, and waits until another process has followed. If
// it can't be stored it is undone, so that a failed call changes nothing. It holds fileMu over both steps: a poll between
// them would take the file, which lacks the change yet, for newer, and attach a cache again whose operator has just been
// told that it is detached.
func (c *coordinator) change(do, undo func() error, update func(*state.Overrides)) error {
	c.fileMu.Lock()
	if err := do(); err != nil {
		c.fileMu.Unlock()
		return err
	}
	err := c.store.Update(update)
	if err != nil {
		undo()
	}
	c.updateRoles()
	shared := c.limitsShared
	c.fileMu.Unlock()
	if err == nil && shared {
		time.Sleep(followTime)
	}
	return err
}

// setCacheDetached detaches the cache with this id, or attaches it again.
func (c *coordinator) setCacheDetached(id string, detached bool) error {
	apply := func(detached bool) func() error {
		return func() error {
			switch err := c.engine.SetCacheOut(id, detached, callTimeout); {
			case errors.Is(err, engine.ErrUnknown):
				return control.ErrUnknownID
			case errors.Is(err, engine.ErrBusy):
				return control.ErrTimeout
			default:
				return err
			}
		}
	}
	return c.change(apply(detached), apply(!detached), func(overrides *state.Overrides) {
		countBefore := len(overrides.CachesOut)
		overrides.CachesOut = slices.DeleteFunc(overrides.CachesOut, func(other string) bool { return other == id })
		if detached {
			overrides.CachesOut = append(overrides.CachesOut, id)
		} else if len(overrides.CachesOut) < countBefore {
			if overrides.ReturnedAt == nil {
				overrides.ReturnedAt = map[string]time.Time{}
			}
			overrides.ReturnedAt[id] = time.Now()
		}
	})
}

// siteOverrides returns the overrides of sites by zone number, as the engine takes them, and updates the metric of
// detached sites.
func (c *coordinator) siteOverrides(overrides state.Overrides) map[int]engine.SiteOverride {
	byZone := map[int]engine.SiteOverride{}
	detached := 0
	for name, override := range overrides.Sites {
		if zone := slices.Index(c.zones, name); zone >= 0 {
			byZone[zone] = engine.SiteOverride(override)
		}
		if override.Out {
			detached++
		}
	}
	c.metrics.DetachedSites.Store(int64(detached))
	return byZone
}

// setSiteDetached detaches a whole site, or attaches it again: its caches one after another over a duration, and the
// clients of this proxy if it belongs to the site.
func (c *coordinator) setSiteDetached(name string, detached bool, over time.Duration) error {
	zone := slices.Index(c.zones, name)
	if zone < 0 {
		return control.ErrUnknownID
	}
	var before state.Overrides
	override := state.SiteOverride{Out: detached, At: time.Now(), Over: over}
	c.mu.Lock()
	wasLameDuck := !c.machine.Healthy()
	c.mu.Unlock()
	do := func() error {
		before, _ = c.store.Peek() // stored overrides that can't be read are replaced
		if current, found := before.Sites[name]; found && current.Out == detached {
			override = current // a repeated call changes nothing: it must not restart the rollout
		}
		err := c.engine.SetSite(zone, engine.SiteOverride(override), callTimeout)
		switch {
		case errors.Is(err, engine.ErrUnknown):
			return control.ErrUnknownID
		case errors.Is(err, engine.ErrLastCaches):
			return control.ErrLastCache
		case errors.Is(err, engine.ErrBusy):
			return control.ErrTimeout
		case err == nil && zone == c.localZone:
			err = c.applyLameDuck(detached)
		}
		return err
	}
	undo := func() error {
		if zone == c.localZone {
			c.applyLameDuck(wasLameDuck)
		}
		return c.engine.SetAllSites(c.siteOverrides(before), callTimeout)
	}
	return c.change(do, undo, func(overrides *state.Overrides) {
		if overrides.Sites == nil {
			overrides.Sites = map[string]state.SiteOverride{}
		}
		overrides.Sites[name] = override
		if zone == c.localZone {
			overrides.DrainClients = detached
		}
		c.siteOverrides(*overrides)
	})
}

// setLameDuck tells the clients of this proxy to use another one, or takes them again.
func (c *coordinator) setLameDuck(lameDuck bool) error {
	c.mu.Lock()
	wasLameDuck := !c.machine.Healthy()
	c.mu.Unlock()
	return c.change(
		func() error { return c.applyLameDuck(lameDuck) },
		func() error { return c.applyLameDuck(wasLameDuck) },
		func(overrides *state.Overrides) { overrides.DrainClients = lameDuck })
}
