package evidence

// WindowSlots is the number of slots in a Window: four full quarters of its span, and the one in progress.
const WindowSlots = 5

// Window counts events over a span that moves on by a quarter at a time. Slot 0 is the one in progress.
type Window [WindowSlots]float64

// Sum returns the number of events in the window.
func (w Window) Sum() (sum float64) {
	for _, n := range w {
		sum += n
	}
	return sum
}

// Roll starts the next slot and drops the oldest one.
func (w *Window) Roll() {
	copy(w[1:], w[:WindowSlots-1])
	w[0] = 0
}
