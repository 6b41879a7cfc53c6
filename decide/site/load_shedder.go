package site

// LoadShedder applies Allocate to the ops that one proxy has received lately, given the share of them that can be served. The
// zero value has observed none.
type LoadShedder struct {
	classes     []WorkClass
	admitted    []float64 // share of each class's ops to admit, 0 to 1, as last computed
	computedFor float64   // share of all ops that admitted was computed for
}

const (
	// recomputeStep is by how much the share that can be served must differ from that of the last allocation to cause another.
	recomputeStep = 1.0 / 32
	// rateWindowOps is the number of ops after which the weight of an observed op has fallen to 1/e.
	rateWindowOps = 256
	// minAdmitted is the smallest share of an observed class that is admitted, so that the outcome of its ops stays observable.
	minAdmitted = 1.0 / 64
)

// classIndex returns the index of a category's ops within or beyond their tenants' quotas.
func classIndex(category int, overQuota bool) int {
	if overQuota {
		return 2*category + 1
	}
	return 2 * category
}

// Observe counts an op that has arrived. Its benefit becomes that of its class. Only the ratios of the classes' rates and work
// matter: here an op counts as one unit of work, and a rate is a decaying count of ops.
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

// AdmitShare returns the share of a category's ops, within or beyond their tenants' quotas, to admit when servable, 0 to 1, is
// the share of all ops that can be served.
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
