package fleet

import "minttray/decide/circle"

// Failures in a row, with no answer from the group in between, that are taken for a lost group and not for chance. All
// remote sites together need more: a good part of them may fail while the network there works.
const (
	siteFailureThreshold   = 4 // of one site
	remoteFailureThreshold = 8 // of all remote sites together
)

// SiteHealth tells which of many sites to avoid, as seen by a proxy in one of them. A lost site is found by its own
// failures. A proxy whose own site is cut off loses all remote sites at once; since its pushes go to them in turn, each
// one alone would take many more pushes to tell, so they are also judged together. A site that answers again is used
// at once. One that was lost again shortly after that gets its keys back gradually, over a span that doubles each time.
type SiteHealth[T ~int64] struct {
	Local  int // number of the proxy's own site
	sites  map[int]*siteStatus[T]
	remote GroupSuspicion[T] // all sites but Local
}

type siteStatus[T ~int64] struct {
	GroupSuspicion[T]
	unit           T   // length of a first suspicion
	losses         int // in a row, each shortly after the last return
	returnedAt     T   // clock reading of the first answer after a loss
	returnDuration T   // from returnedAt until all its keys are back
}

const (
	returnSalt       = 1 << 20 // hash salt for the order in which keys return; placement uses smaller ones
	maxReturnUnits   = 8       // longest return, in units
	lossForgetsAfter = 64      // units after a return; a later loss counts as the first
)

func (s *SiteHealth[T]) site(number int) *siteStatus[T] {
	if s.sites == nil {
		s.sites = map[int]*siteStatus[T]{}
	}
	if s.sites[number] == nil {
		s.sites[number] = &siteStatus[T]{}
	}
	return s.sites[number]
}

// RecordFailure records a push that a site left unanswered. Span is the length of the first suspicion.
func (s *SiteHealth[T]) RecordFailure(site int, now, span T) {
	status := s.site(site)
	if status.unit = span; status.losses > 0 && now >= status.returnedAt+lossForgetsAfter*status.unit {
		status.losses = 0
	}
	if status.RecordFailure(now, span, siteFailureThreshold); site != s.Local {
		s.remote.RecordFailure(now, span, remoteFailureThreshold)
	}
}

// RecordAnswer records any answer from a site, including one that rejects the push.
func (s *SiteHealth[T]) RecordAnswer(site int, now T) {
	status := s.site(site)
	if status.failures >= siteFailureThreshold {
		status.losses++
		status.returnedAt = now
		status.returnDuration = min(T(1)<<min(status.losses-1, maxBackoffDoublings), maxReturnUnits) * status.unit
		if status.losses == 1 {
			status.returnDuration = 0
		}
	}
	if status.RecordAnswer(); site != s.Local {
		s.remote.RecordAnswer()
	}
}

// ShouldAvoid reports whether a site is to be avoided now for a key, given by its hash. While a site gets its keys back,
// the same keys return first at every proxy.
func (s *SiteHealth[T]) ShouldAvoid(site int, key uint64, now T) bool {
	status := s.site(site)
	return status.Active(now) || site != s.Local && s.remote.Active(now) ||
		now < status.returnedAt+status.returnDuration &&
			float64(circle.Mix(key, returnSalt)>>11)/(1<<53) >= float64(now-status.returnedAt)/float64(status.returnDuration)
}
