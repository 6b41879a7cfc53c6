package evidence

// WindowSlots are four parts of a window, and the one that has begun.
const WindowSlots = 5

// Window counts what happened in a span that moves on by quarters.
type Window [WindowSlots]float64

// Sum is what the window holds.
func (w Window) Sum() (sum float64) {
	for _, n := range w {
		sum += n
	}
	return sum
}

// Roll begins the next quarter and lets go of the oldest.
func (w *Window) Roll() {
	copy(w[1:], w[:WindowSlots-1])
	w[0] = 0
}
