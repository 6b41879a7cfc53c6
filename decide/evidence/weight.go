package evidence

// clamp holds a figure between 0 and 1.
func clamp(x float64) float64 { return min(max(x, 0), 1) }

// ramp rises from 0 at from to 1 at to.
func ramp(x, from, to float64) float64 { return clamp((x - from) / (to - from)) }

// TimeoutWeight is what a push that had no answer within a span proves, from 0 (nothing: most answers take longer) to 1
// (all but a few come sooner). It is a censored observation: all it says is "not within that span". Whatever is
// usual, no answer within two thirds of the target latency shows a server too slow for its work; within a third
// of it that alone shows nothing.
func TimeoutWeight(usual *LatencyHistogram, span, target float64) float64 {
	late := ramp(span, target/3, 2*target/3)
	if usual.HasEnoughSamples() {
		late = max(late, ramp(usual.ShareWithin(span), 0.5, 0.95))
	}
	return late
}

// AnswerProbability is the share of answers that come within a span: an estimate for one more push. Where little was seen, or long
// ago, it is near 0 under a third of the target latency, so that a server that answers nobody is not asked by ops
// with hardly any time left, whose time-outs prove nothing; above that near 1, so that one that answered nobody
// for a while is asked again.
func (s *LatencyHistogram) AnswerProbability(span, target float64) float64 {
	return (s.total*s.ShareWithin(span) + ramp(span, target/3-1, target/3)) / (s.total + 1)
}

// LossProbability is how surely a push without an answer, waited for in full, got lost rather than queued, 0 to 1. A queue
// that leaves some pushes out past the target latency holds the others nearly as long; where nine tenths of the
// answers come well ahead of it there is none. A server that leaves most of what it is sent unanswered is sick,
// whatever its last answers were like: good and bad count what it answered and what it did not.
func LossProbability(usual *LatencyHistogram, good, bad, target float64) float64 {
	if !usual.HasEnoughSamples() {
		return 0
	}
	return (1 - ramp(usual.Quantile(0.9), target/2, 3*target/4)) * (1 - ramp(bad/max(good+bad, 1), 0.3, 0.6))
}

// HedgeDelay is how long a push is worth waiting for before another server is asked, where a share of pushes is
// never answered: the span after which one that is still out is lost rather than slow, more likely than not. It
// is 0 where waiting on is better: too little was seen or lost, or the rest would not do for another server.
func HedgeDelay(usual *LatencyHistogram, lost, left float64) float64 {
	const worth = 1.0 / 64 // less than that lost is chance
	if !usual.HasEnoughSamples() || lost < worth {
		return 0
	}
	span := usual.Quantile(1 - lost)
	if rest := left - span; rest <= 0 || usual.ShareWithin(rest) < 0.5 {
		return 0
	}
	return span
}
