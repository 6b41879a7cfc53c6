package site

import "minttray/decide/circle"

// rolloutSalt separates the order of a rollout from the other uses of a cache's id.
const rolloutSalt = 0x5e

// Rollout takes all caches of a site out of service, or returns them, one after another over a period. The order follows from
// the caches' ids alone, so proxies with the same rollout change the caches in the same order without coordination.
type Rollout[T ~int64] struct {
	Excluded  bool // state of the caches once the rollout is done
	StartedAt T
	Duration  T // from StartedAt until the last cache changes state; 0: all at once
}

// IsExcluded reports whether a cache of the site is out of service at now. A rollout that starts in the future counts as done:
// after the clock has stepped back, caches that an operator took out stay out.
func (r Rollout[T]) IsExcluded(id uint32, now T) bool {
	position := float64(circle.Mix(uint64(id), rolloutSalt)>>11) / (1 << 53) // of the cache in the order, in [0, 1)
	changed := now < r.StartedAt || float64(now-r.StartedAt) >= position*float64(r.Duration)
	return changed == r.Excluded
}

// Done reports whether all caches have changed state.
func (r Rollout[T]) Done(now T) bool { return now < r.StartedAt || now-r.StartedAt >= r.Duration }
