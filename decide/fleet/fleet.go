// Package fleet limits what one of many proxies does to services that all of them share: actions that are harmless
// from one proxy and overload the service if all of them take them at once. The package reads no clock and draws no
// random numbers: durations may be in any unit, and the caller draws from the ranges it returns.
package fleet

// StartSlot returns the range of time in which one proxy of n makes its first call to a shared service: the span is
// divided into n equal slots by proxy number, and the caller draws the moment within its own. Proxies that start
// together thus call evenly and not in a burst. A number outside 0 to n-1 is reduced modulo n.
func StartSlot[T ~int64](number, n int, span T) (from, to T) {
	n = max(n, 1)
	number = (number%n + n) % n
	return span * T(number) / T(n), span * T(number+1) / T(n)
}

// maxBackoffDoublings limits the shifts by which Backoff and SiteHealth double a delay, so that it can't overflow.
const maxBackoffDoublings = 16

// Backoff computes exponential back-off with full jitter. An overloaded service holds calls until they have expired
// and then answers none of them, so it recovers only if all callers slow down. The zero value is ready for use.
type Backoff[T ~int64] struct {
	failures int // in a row
}

// RecordFailure records a failed call and returns the upper bound of the delay before the next one, to be drawn evenly
// from 0: initial, doubled with each failure in a row, up to limit.
func (b *Backoff[T]) RecordFailure(initial, limit T) T {
	delay := initial << min(b.failures, maxBackoffDoublings)
	b.failures++
	return min(max(delay, 1), max(limit, 1))
}

// Reset records a call that was answered.
func (b *Backoff[T]) Reset() { b.failures = 0 }
