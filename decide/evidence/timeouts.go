package evidence

// All spans, targets and remaining times in this file are in ticks.

// clamp limits a value to the range 0 to 1.
func clamp(x float64) float64 { return min(max(x, 0), 1) }

// ramp rises linearly from 0 at from to 1 at to.
func ramp(x, from, to float64) float64 { return clamp((x - from) / (to - from)) }

// TimeoutWeight returns how strongly a push without an answer within a span is evidence against its server, from 0
// (none: most answers take longer) to 1 (all but a few answers come sooner). It is a censored observation: the answer
// time is only known to exceed the span. Independently of the other answers the weight is 1 from two thirds of the
// target latency on, since the server is then too slow for its work; up to one third that alone proves nothing.
func TimeoutWeight(latencies *LatencyHistogram, span, target float64) float64 {
	late := ramp(span, target/3, 2*target/3)
	if latencies.HasEnoughSamples() {
		late = max(late, ramp(latencies.ShareWithin(span), 0.5, 0.95))
	}
	return late
}

// AnswerProbability estimates the probability that one more push is answered within a span. With few or old samples the
// span decides. Below one third of the target latency the estimate is near 0: a server that does not answer gets no
// ops with hardly any time left, as their time-outs prove nothing. From there on it is near 1: a server that has not
// answered for a while is tried again.
func (h *LatencyHistogram) AnswerProbability(span, target float64) float64 {
	return (h.total*h.ShareWithin(span) + ramp(span, target/3-1, target/3)) / (h.total + 1)
}

// LossProbability returns how likely it is, 0 to 1, that a push that timed out was lost and not queued. good and bad
// count the server's answers and failures. A queue that holds some pushes past the target latency holds the others
// nearly as long; if nine tenths of the answers come well before the target there is no queue. But a server that leaves
// most pushes unanswered is failing, however fast its last answers were: the result is then near 0.
func LossProbability(latencies *LatencyHistogram, good, bad, target float64) float64 {
	if !latencies.HasEnoughSamples() {
		return 0
	}
	return (1 - ramp(latencies.Quantile(0.9), target/2, 3*target/4)) * (1 - ramp(bad/max(good+bad, 1), 0.3, 0.6))
}

// HedgeDelay returns how long to wait for a push before another server is asked. lostShare is the share of pushes that
// are never answered, 0 to 1. After the returned time a push without an answer is more likely lost than slow. It
// returns 0 where waiting on is better: with too few samples or losses, or if fewer than half of the answers would come
// in the time that remains after the delay.
func HedgeDelay(latencies *LatencyHistogram, lostShare, remaining float64) float64 {
	const minLostShare = 1.0 / 64 // a smaller share may be chance
	if !latencies.HasEnoughSamples() || lostShare < minLostShare {
		return 0
	}
	span := latencies.Quantile(1 - lostShare)
	if rest := remaining - span; rest <= 0 || latencies.ShareWithin(rest) < 0.5 {
		return 0
	}
	return span
}
