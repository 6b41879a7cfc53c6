package site

// LoadShedder applies Allocate to the ops that one proxy has received lately, given the share of them that can be served. The
// zero value has observed none.
type LoadShedder struct {
	classes     []WorkClass
	admitted    []float64 // share of each class, as last computed
	computedFor float64   // share of all ops that admitted was computed for
}

const (
	// recomputeStep is the change of the share that can be served from which the allocation is computed anew.
	recomputeStep = 1.0 / 32
	// rateWindowOps is the number of ops over which observed rates decay.
	rateWindowOps = 256
	// minAdmitted is the share of a class that is admitted at all times, so that the outcome of its ops stays observable.
	minAdmitted = 1.0 / 64
)

// classIndex returns the index of a category's ops within or beyond their tenants' quotas.
func classIndex(category int, overQuota bool) int {
	if overQuota {
		return 2*category + 1
	}
	return 2 * category
}

// Observe counts an op that has arrived, with its benefit.
func (s *LoadShedder) Observe(category int, overQuota bool, benefit float64) {
	class := classIndex(category, overQuota)
	for len(s.classes) <= class {
		s.classes = append(s.classes, WorkClass{Work: 1})
	}
	for i := range s.classes {
		s.classes[i].Rate *= 1 - 1.0/rateWindowOps
	}
	s.classes[class].Rate++
	s.classes[class].Benefit = benefit
}

// AdmitShare returns the share of such ops to admit when servable, 0 to 1, is the share of all ops that can be served.
func (s *LoadShedder) AdmitShare(category int, overQuota bool, servable float64) float64 {
	class := classIndex(category, overQuota)
	if servable >= 1 || class >= len(s.classes) {
		return servable
	}
	if servable > s.computedFor+recomputeStep || servable < s.computedFor-recomputeStep || s.admitted == nil || len(s.admitted) <= class {
		total := 0.0
		for _, c := range s.classes {
			total += c.Rate
		}
		s.admitted, _ = Allocate(s.classes, Capacity{Work: servable * total})
		s.computedFor = servable
	}
	return max(s.admitted[class], minAdmitted)
}
