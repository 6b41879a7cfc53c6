package daemon

import (
	"time"

	"minttray/decide/warm"
	"minttray/internal/state"
)

// handoverTimeout limits the new process's wait for the old one's handover.
const handoverTimeout = 500 * time.Millisecond

// updateRoles finds out whether another process serves the same address. If so, each process gets half of the limits.
// The caller holds fileMu.
func (c *coordinator) updateRoles() {
	shared := false
	if c.store.AcquireRole(state.RoleActive) {
		c.store.ReleaseRole(state.RoleStandby)
		shared = c.store.RoleHeldByOther(state.RoleStandby)
	} else {
		c.store.AcquireRole(state.RoleStandby)
		shared = true
	}
	if shared != c.limitsShared {
		if c.limitsShared = shared; shared && c.hasListened() {
			c.sendHandover()
		}
		c.applyLimits(shared)
		c.log.Info().Bool("shared", shared).Msg("limits")
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

// receiveHandover waits, in the new process, for the old one's learned state. It returns nil if there is no old process
// or none of its state can be used.
func (c *coordinator) receiveHandover() *warm.LearnedState {
	if c.store == nil {
		return nil
	}
	c.fileMu.Lock()
	defer c.fileMu.Unlock()
	c.store.RemoveHandover()
	if c.store.AcquireRole(state.RoleActive) {
		return nil
	}
	c.store.AcquireRole(state.RoleStandby)
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

// hasSuccessor reports whether another process serves the same address, or is about to.
func (c *coordinator) hasSuccessor() bool {
	if c.store == nil {
		return false
	}
	c.fileMu.Lock()
	defer c.fileMu.Unlock()
	return c.store.RoleHeldByOther(state.RoleStandby)
}
