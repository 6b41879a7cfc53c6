package daemon

import (
	"time"

	"minttray/decide/warm"
	"minttray/internal/claims"
	"minttray/internal/state"
)

const (
	// handoverTimeout limits the new process's wait for the old one's handover.
	handoverTimeout = 500 * time.Millisecond
	// rolePollInterval is the time between two looks of the new process at the roles, or for the old one's table of ids.
	rolePollInterval = 5 * time.Millisecond
)

// updateRoles finds out whether another process serves the same address. If so, each process gets half of the limits, and
// both claim the ids of ops in one table. The caller holds fileMu.
func (c *coordinator) updateRoles() {
	shared, active := false, c.store.AcquireRole(state.RoleActive)
	if active {
		c.store.ReleaseRole(state.RoleStandby)
		shared = c.store.RoleHeldByOther(state.RoleStandby)
	} else {
		c.store.AcquireRole(state.RoleStandby)
		shared = true
	}
	switch {
	case !active && c.engine.IDsUnknown():
		c.joinIDs()
	case active && shared && c.hasListened():
		c.welcome(c.store.Standby())
	}
	if shared == c.limitsShared {
		return
	}
	if c.limitsShared = shared; !shared {
		c.store.RemoveSharedIDs()
		c.engine.SetAlone()
	}
	c.applyLimits(shared)
	c.log.Info().Bool("shared", shared).Msg("limits")
}

// welcome passes to a new process, once, what it needs to serve beside this one. The caller holds fileMu.
func (c *coordinator) welcome(successor string) {
	if successor == "" || successor == c.welcomed {
		return
	}
	c.welcomed = successor
	c.shareIDs(successor) // before the handover, which the new process awaits
	c.sendHandover()
}

// shareIDs creates a table of the ids that this process has taken, for the new one. The caller holds fileMu.
func (c *coordinator) shareIDs(successor string) {
	table, err := c.store.CreateSharedIDs(successor, c.engine.IDKey())
	if err != nil {
		c.log.Warn().Err(err).Msg("ids not shared with the new process, which refuses at-most-once requests until this one ends")
		return
	}
	c.engine.ShareIDs(table)
}

// joinIDs has this process claim ids in the table of the old one, if that has created it by now. The caller holds fileMu.
func (c *coordinator) joinIDs() {
	if table, err := c.store.TakeSharedIDs(); err == nil {
		c.engine.JoinIDs(table)
		c.log.Info().Msg("ids shared with the old process")
	}
}

// sendHandover hands over the learned state, and half of this process's allowance for sending to caches, to the new process.
// The caller holds fileMu.
func (c *coordinator) sendHandover() {
	learned, err := c.engine.Handover(callTimeout)
	if err == nil {
		err = c.store.WriteHandover(state.Handover{At: time.Now(), Settings: c.settingsFingerprint, Memory: learned})
	}
	if err != nil {
		c.log.Warn().Err(err).Msg("handover to the new process failed")
	}
}

// received is what a new process gets from the old one that serves beside it.
type received struct {
	learned   *warm.LearnedState // nil: none, or none that can be used
	sharedIDs *claims.Table      // nil: none
	beside    bool               // there is an old process
}

// receiveHandover waits, in the new process, for what the old one passes to it.
func (c *coordinator) receiveHandover() (r received) {
	if c.store == nil {
		return r
	}
	c.fileMu.Lock()
	defer c.fileMu.Unlock()
	giveUpAt := time.Now().Add(handoverTimeout)
	c.store.RemoveHandover()
	c.store.RemoveSharedIDs()
	if c.isOnlyProcess(giveUpAt) {
		return r
	}
	r.beside = true
	r.learned = c.awaitLearned()
	if r.sharedIDs = c.awaitSharedIDs(giveUpAt); r.sharedIDs == nil {
		c.log.Warn().Msg("ids not shared with the old process; at-most-once requests are refused until they are, or it ends")
	}
	return r
}

// isOnlyProcess takes the active role and returns true, or takes the standby role if there is another process. A standby
// process whose predecessor has just ended comes first: it is given time to become the active one. The caller holds fileMu.
func (c *coordinator) isOnlyProcess(giveUpAt time.Time) bool {
	for ; ; time.Sleep(rolePollInterval) {
		if c.store.AcquireRole(state.RoleActive) {
			if !c.store.RoleHeldByOther(state.RoleStandby) {
				return true
			}
			c.store.ReleaseRole(state.RoleActive)
		} else if c.store.AcquireRole(state.RoleStandby) {
			return false
		}
		if time.Now().After(giveUpAt) {
			return false
		}
	}
}

// awaitSharedIDs waits for the table that the old process creates for this one. It returns nil if none comes in time. The
// caller holds fileMu.
func (c *coordinator) awaitSharedIDs(giveUpAt time.Time) *claims.Table {
	for ; ; time.Sleep(rolePollInterval) {
		if table, err := c.store.TakeSharedIDs(); err == nil {
			return table
		}
		if time.Now().After(giveUpAt) {
			return nil
		}
	}
}

// awaitLearned waits for the old process's learned state. It returns nil if none comes in time or it can't be used. The
// caller holds fileMu.
func (c *coordinator) awaitLearned() *warm.LearnedState {
	handover, err := c.store.AwaitHandover(handoverTimeout)
	if err != nil {
		c.log.Warn().Err(err).Msg("no handover received from the old process")
		return nil
	}
	learned := &handover.Memory
	learned.HandedOver = true
	learned.Confidence = 1
	if handover.Settings != c.settingsFingerprint {
		learned.DropSettingsDependent()
	}
	return learned
}

// leaveRoles gives up this process's roles as it ends, when it holds no client's request any more.
func (c *coordinator) leaveRoles() {
	if c.store == nil {
		return
	}
	c.fileMu.Lock()
	defer c.fileMu.Unlock()
	c.leftRoles = true
	c.store.ReleaseRole(state.RoleActive)
	c.store.ReleaseRole(state.RoleStandby)
}

// hasSuccessor reports whether another process serves the same address, or is about to.
func (c *coordinator) hasSuccessor() bool {
	if c.store == nil {
		return false
	}
	c.fileMu.Lock()
	defer c.fileMu.Unlock()
	return c.store.RoleHeldByOther(state.RoleStandby)
}
