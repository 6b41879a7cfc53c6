package claims

import (
	"time"

	"golang.org/x/sys/unix"
)

// claimEntry is the content of a slot: the upper bits of an id's hash, and the tick at which the claim ends. 0 is no claim.
type claimEntry uint64

const (
	tickBits = 24
	tickMask = 1<<tickBits - 1

	tickInterval = time.Second / 8
	// maxClaimDuration is well below the time after which ticks begin again, 24 days.
	maxClaimDuration = 7 * 24 * time.Hour
)

// tick is a moment in units of tickInterval on the clock that all processes of the machine share, modulo 1<<tickBits.
type tick uint32

// clockBase relates this process's monotonic clock to the machine's.
var clockBase = func() (base struct {
	local   time.Time
	machine time.Duration
}) {
	var now unix.Timespec
	base.local = time.Now()
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) == nil {
		base.machine = time.Duration(now.Nano())
	}
	return base
}()

// tickOf returns the tick of a time that has a monotonic reading.
func tickOf(at time.Time) tick {
	return tick((clockBase.machine+at.Sub(clockBase.local))/tickInterval) & tickMask
}

// newEntry returns the entry of a claim from a time on. It ends up to one tick later than the duration says.
func newEntry(hash uint64, at time.Time, duration time.Duration) claimEntry {
	endsAt := at.Add(min(duration, maxClaimDuration))
	fingerprint := hash >> tickBits
	if fingerprint == 0 {
		fingerprint = 1
	}
	return claimEntry(fingerprint<<tickBits | uint64((tickOf(endsAt)+1)&tickMask))
}

// holds reports whether the slot holds a claim that has not ended.
func (e claimEntry) holds(now tick) bool {
	left := (tick(e&tickMask) - now) & tickMask
	return e != 0 && left > 0 && left <= tickMask/2
}

// sameID reports whether two entries are claims of one id.
func (e claimEntry) sameID(other claimEntry) bool { return e>>tickBits == other>>tickBits }
