package evidence

import "math"

// Record is what was sent to one server and learned of it.
type Record struct {
	Sent, Done       Window  // pushes of late, and those acked
	Limit, Good, Bad float64 // in flight, learned; answers, and failures by what they prove, fading
}

// Roll lets a quarter of the windows pass, and what came of pushes count for less.
func (r *Record) Roll(by float64) {
	r.Sent.Roll()
	r.Done.Roll()
	r.Good, r.Bad = r.Good*by, r.Bad*by
}

// Halve gives a half away, to a process that shares the server with this one from now on: what both together may send stays
// what it was.
func (r *Record) Halve() Record {
	for i := range r.Sent {
		r.Sent[i], r.Done[i] = r.Sent[i]/2, r.Done[i]/2
	}
	return *r
}

// Valid tells whether a record that came from outside can be one.
func (r *Record) Valid() bool {
	for i := range r.Sent {
		if !(r.Sent[i] >= 0 && r.Sent[i] < 1<<24 && r.Done[i] >= 0 && r.Done[i] < 1<<24) {
			return false
		}
	}
	for _, x := range []float64{r.Limit, r.Good, r.Bad} {
		if !(x >= 0) || math.IsInf(x, 0) {
			return false
		}
	}
	return r.Limit > 0
}

// ReportBaselines are the usual reports of kinds of machine.
type ReportBaselines map[int]float64

// ObserveSlow books a report, and tells whether it is twice the usual. ObserveSlow machines are slow: each is judged by its own kind, and
// what is usual moves to the median, whatever the largest say.
func (p ReportBaselines) ObserveSlow(kind int, pace float64) bool {
	usual, ok := p[kind]
	if !ok {
		usual = pace
	}
	usual *= 1 + math.Copysign(1.0/32, pace-usual)
	p[kind] = usual
	return pace > 2*usual
}
