package evidence

// clamp limits a value to the range 0 to 1.
func clamp(x float64) float64 { return min(max(x, 0), 1) }

// ramp rises linearly from 0 at from to 1 at to.
func ramp(x, from, to float64) float64 { return clamp((x - from) / (to - from)) }

// TimeoutWeight returns how much a push without an answer within a span says about a server, from 0 (nothing: most
// answers take longer) to 1 (all but a few answers come sooner). It is a censored observation: the answer time is only
// known to exceed the span. Whatever the typical answer time, no answer within two thirds of the target latency shows
// a server that is too slow for its work; within one third of the target that alone shows nothing.
func TimeoutWeight(typical *LatencyHistogram, span, target float64) float64 {
	late := ramp(span, target/3, 2*target/3)
	if typical.HasEnoughSamples() {
		late = max(late, ramp(typical.ShareWithin(span), 0.5, 0.95))
	}
	return late
}

// AnswerProbability estimates the probability that one more push is answered within a span. With few or old samples it
// is near 0 below one third of the target latency, so that a server that answers nobody gets no ops with hardly any
// time left, whose time-outs prove nothing; above that it is near 1, so that a server that has answered nobody for a
// while is tried again.
func (h *LatencyHistogram) AnswerProbability(span, target float64) float64 {
	return (h.total*h.ShareWithin(span) + ramp(span, target/3-1, target/3)) / (h.total + 1)
}

// LossProbability returns how likely it is, 0 to 1, that a push without an answer, waited for in full, was lost and not
// queued. A queue that holds some pushes past the target latency holds the others nearly as long; if nine tenths of the
// answers come well before the target there is no queue. A server that leaves most pushes unanswered is failing,
// whatever its last answers were like: good and bad count its answers and its failures.
func LossProbability(typical *LatencyHistogram, good, bad, target float64) float64 {
	if !typical.HasEnoughSamples() {
		return 0
	}
	return (1 - ramp(typical.Quantile(0.9), target/2, 3*target/4)) * (1 - ramp(bad/max(good+bad, 1), 0.3, 0.6))
}

// HedgeDelay returns how long to wait for a push before another server is asked, where a share of pushes, lost, is
// never answered. After that span a push without an answer is more likely lost than slow. It returns 0 where waiting
// is better: with too few samples or losses, or if the rest of the remaining time is too short for another server.
func HedgeDelay(typical *LatencyHistogram, lost, remaining float64) float64 {
	const minLostShare = 1.0 / 64 // a smaller share may be chance
	if !typical.HasEnoughSamples() || lost < minLostShare {
		return 0
	}
	span := typical.Quantile(1 - lost)
	if rest := remaining - span; rest <= 0 || typical.ShareWithin(rest) < 0.5 {
		return 0
	}
	return span
}
