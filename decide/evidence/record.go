package evidence

import "math"

// Record is what one process knows about one server. It is stored in snapshots under its field names.
type Record struct {
	Sent  Window  // pushes sent in the window
	Done  Window  // pushes answered in the window
	Limit float64 // learned concurrency limit, in pushes in flight
	Good  float64 // answers, decaying
	Bad   float64 // failures, each weighted 0 to 1 by how much it proves, decaying
}

// Roll starts the next slot of the windows and multiplies Good and Bad by a factor from 0 to 1.
func (r *Record) Roll(factor float64) {
	r.Sent.Roll()
	r.Done.Roll()
	r.Good, r.Bad = r.Good*factor, r.Bad*factor
}

// Halve halves the windows and returns a copy of the result, for a process that shares the server with this one from
// now on. Together the two may send as much as this process could alone.
func (r *Record) Halve() Record {
	for i := range r.Sent {
		r.Sent[i], r.Done[i] = r.Sent[i]/2, r.Done[i]/2
	}
	return *r
}

// Valid reports whether all values of a record from another process are within range.
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

// ReportBaselines holds, for each kind of machine, the typical value of the load reports of its servers. Kinds differ
// in speed, so each server is compared with its own kind.
type ReportBaselines map[int]float64

// ObserveSlow records a report and reports whether it is more than twice the baseline of its kind. The baseline moves
// by 1/32 towards each report whatever its size, so it follows the median and not the largest values.
func (r ReportBaselines) ObserveSlow(kind int, reported float64) bool {
	baseline, ok := r[kind]
	if !ok {
		baseline = reported
	}
	baseline *= 1 + math.Copysign(1.0/32, reported-baseline)
	r[kind] = baseline
	return reported > 2*baseline
}
