// Package measure counts what clients got: service by second, spans of answers by category and tenant in HDR
// histograms, the lab's own lateness, and what the proxies' processes use.
package measure

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"minttray/lab/experiment"
)

// Outcome is how one op, with all its tries, ended for its client.
type Outcome struct {
	Due      time.Duration // when it was due, on the run's clock
	Span     time.Duration // from due to its answer
	Category int
	Tenant   int
	Acked    bool
	Tries    int
	Nacks    int
	Failed   bool // dead-lettered, closed, or never reached a proxy
	Left     bool // its client went away by itself: counts for nothing
}

// Second is one second of a run.
type Second struct {
	Ops      int     `json:"ops"`
	BenefitRequested    float64 `json:"asked"`
	BenefitInTime   float64 `json:"in_time"`
	Late     int     `json:"late"`
	Nacked   int     `json:"nacked"`
	Failed   int     `json:"failed"`
	Tries    int     `json:"tries"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Fetches  int64   `json:"fetches"`
	Conns    int     `json:"connections"`
	ConnsOpened   int64   `json:"opened"`
	QueuedRequests  int     `json:"waiting"` // at all caches
	CPU      float64 `json:"cpu"`     // cores of all proxies
	MemoryMB float64 `json:"memory_mb"`
	hist     *hdrhistogram.Histogram
}

// Part is the figures of a category, a tenant, or all.
type Part struct {
	Name    string  `json:"name"`
	Ops     int     `json:"ops"`
	Service float64 `json:"service"` // benefit answered in time, of that asked for
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Max     float64 `json:"max_ms"`

	asked, inTime float64
	hist          *hdrhistogram.Histogram
}

// Meter takes outcomes from any goroutine.
type Meter struct {
	mu       sync.Mutex
	exp      *experiment.File
	seconds  []*Second
	all      *Part
	cats     []*Part
	tenants  []*Part
	late     *hdrhistogram.Histogram // µs
	tries    int
	overload int
	ages     [ageSteps]Age // of tries at processes that are not their proxy's first
	peers    Age           // and of all others
}

// Age is what tries got from processes that had served for so long.
type Age struct {
	From    float64 `json:"from_s"`
	Tries   int     `json:"tries"`
	Service float64 `json:"service"` // benefit answered within the target latency of the try, of that asked for

	asked, inTime float64
}

func (a *Age) take(benefit float64, inTime bool) {
	a.Tries++
	if a.asked += benefit; inTime {
		a.inTime += benefit
	}
}

func (a *Age) done() Age {
	a.Service = a.inTime / max(a.asked, 1e-9)
	return *a
}

const (
	ageSteps = 20
	ageStep  = 500 * time.Millisecond
)

// Try books a try at a process that had served for so long; again: it is not its proxy's first.
func (m *Meter) Try(age time.Duration, again bool, benefit float64, inTime bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := int(age / ageStep); again && n < ageSteps {
		m.ages[n].take(benefit, inTime)
	} else {
		m.peers.take(benefit, inTime)
	}
}

// settled is how long a process serves until it does as well as its peers, but for 2%, for a second on end; -1: never; 0
// also if none came anew.
func settled(ages []Age, peers Age) float64 {
	seen := 0
	for i := range ages {
		if seen += ages[i].Tries; i+1 < len(ages) && ages[i].inTime+ages[i+1].inTime >= 0.98*peers.Service*(ages[i].asked+ages[i+1].asked) {
			return float64(i) * ageStep.Seconds()
		}
	}
	if seen == 0 {
		return 0
	}
	return -1
}

func hist() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

// NewMeter makes one.
func NewMeter(exp *experiment.File) *Meter {
	m := &Meter{exp: exp, all: &Part{Name: "all", hist: hist()}, late: hist()}
	for _, c := range exp.Categories {
		m.cats = append(m.cats, &Part{Name: c.Name, hist: hist()})
	}
	for _, t := range exp.Tenants {
		m.tenants = append(m.tenants, &Part{Name: t.Name, hist: hist()})
	}
	return m
}

// Second gives the record of a second, for figures that others fill in.
func (m *Meter) second(at time.Duration) *Second {
	n := max(int(at/time.Second), 0)
	for len(m.seconds) <= n {
		m.seconds = append(m.seconds, &Second{hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)})
	}
	return m.seconds[n]
}

// UpdateSecond lets a sampler write its figures of a second.
func (m *Meter) UpdateSecond(at time.Duration, do func(*Second)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do(m.second(at))
}

// Late books how long after its due moment the lab sent a first try.
func (m *Meter) Late(span time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late.RecordValue(max(int64(span/time.Microsecond), 1))
}

// Overload books an op that the lab itself could not send.
func (m *Meter) Overload() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.overload++
}

// Take books an op's end.
func (m *Meter) Take(o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.exp.Categories[o.Category]
	inTime := o.Acked && o.Span <= c.Target.Std()
	s := m.second(o.Due)
	s.Ops++
	s.Tries += o.Tries
	s.Nacked += o.Nacks
	m.tries += o.Tries
	if o.Left {
		return
	}
	s.BenefitRequested += c.Benefit
	if inTime {
		s.BenefitInTime += c.Benefit
	} else if o.Acked {
		s.Late++
	}
	if o.Failed {
		s.Failed++
	}
	us := max(int64(o.Span/time.Microsecond), 1)
	if o.Acked {
		s.hist.RecordValue(us)
	}
	if o.Due < m.exp.WarmUp.Std() {
		return
	}
	for _, p := range []*Part{m.all, m.cats[o.Category], m.tenants[o.Tenant]} {
		p.Ops++
		p.asked += c.Benefit
		if inTime {
			p.inTime += c.Benefit
		}
		if o.Acked {
			p.hist.RecordValue(us)
		}
	}
}

// Stats is what a run measured.
type Stats struct {
	Total        Part      `json:"all"`
	Categories []Part    `json:"categories"`
	Tenants    []Part    `json:"tenants"`
	Seconds    []*Second `json:"seconds"`
	Worst10s    float64   `json:"worst_10s"`
	Worst10sStart  int       `json:"worst_10s_at"`
	TriesPerOp float64   `json:"tries_per_op"`
	RestartedByAge  []Age     `json:"restarted,omitempty"` // by how long a process that came anew had served
	Peers      Age       `json:"peers"`
	SettleSeconds    float64   `json:"settled_s"` // until such a process serves as well as its peers, but for 2%; -1: never
	RecoverySeconds       float64   `json:"back_s"`    // from the end of the last fault until service is back; -1: not in this run
	SendDelayP50    float64   `json:"lab_late_p50_ms"`
	SendDelayP99    float64   `json:"lab_late_p99_ms"`
	SentWithin5ms    float64   `json:"lab_sent_within_5ms"`
	UnsentOps   int       `json:"lab_overload"`
}

func ms(us int64) float64 { return float64(us) / 1000 }

func (p *Part) done() Part {
	p.Service = p.inTime / max(p.asked, 1e-9)
	p.P50, p.P90 = ms(p.hist.ValueAtQuantile(50)), ms(p.hist.ValueAtQuantile(90))
	p.P99, p.P999 = ms(p.hist.ValueAtQuantile(99)), ms(p.hist.ValueAtQuantile(99.9))
	p.Max = ms(p.hist.Max())
	return *p
}

// Summarize sums up.
func (m *Meter) Summarize() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := Stats{Total: m.all.done(), Worst10s: 1, SendDelayP50: ms(m.late.ValueAtQuantile(50)), SendDelayP99: ms(m.late.ValueAtQuantile(99)),
		UnsentOps: m.overload, TriesPerOp: float64(m.tries)}
	for _, p := range m.cats {
		f.Categories = append(f.Categories, p.done())
	}
	for _, p := range m.tenants {
		f.Tenants = append(f.Tenants, p.done())
	}
	within := int64(0)
	for _, b := range m.late.Distribution() {
		if b.To <= 5000 {
			within += b.Count
		}
	}
	f.SentWithin5ms = float64(within) / float64(max(m.late.TotalCount(), 1))
	ops, last := 0, min(int(m.exp.Length.Std()/time.Second), len(m.seconds))
	for i, s := range m.seconds {
		ops += s.Ops
		s.P50, s.P99 = ms(s.hist.ValueAtQuantile(50)), ms(s.hist.ValueAtQuantile(99))
		if from := int(m.exp.WarmUp.Std() / time.Second); i >= from && i+10 <= last {
			asked, in := 0.0, 0.0
			for _, t := range m.seconds[i : i+10] {
				asked, in = asked+t.BenefitRequested, in+t.BenefitInTime
			}
			if share := in / max(asked, 1e-9); share < f.Worst10s {
				f.Worst10s, f.Worst10sStart = share, i
			}
		}
	}
	f.TriesPerOp /= float64(max(ops, 1))
	f.Peers = m.peers.done()
	if f.SettleSeconds = settled(m.ages[:], f.Peers); slices.ContainsFunc(m.ages[:], func(a Age) bool { return a.Tries > 0 }) {
		for i := range m.ages {
			m.ages[i].From = float64(i) * ageStep.Seconds()
			f.RestartedByAge = append(f.RestartedByAge, m.ages[i].done())
		}
	}
	f.RecoverySeconds = back(m.exp, m.seconds[:last])
	f.Seconds = m.seconds
	return f
}

// back is how many seconds pass from the end of the last fault until service is within 2% of what it was before the
// first, for two seconds on end, so that no lucky second counts; 0 with no fault or nothing before it, -1 if it
// does not come back.
func back(x *experiment.File, seconds []*Second) float64 {
	share := func(of []*Second) float64 {
		asked, in := 0.0, 0.0
		for _, s := range of {
			asked, in = asked+s.BenefitRequested, in+s.BenefitInTime
		}
		return in / max(asked, 1e-9)
	}
	first, last := x.Length.Std(), time.Duration(0)
	for _, f := range x.Faults {
		first, last = min(first, f.Start.Std()), max(last, f.Start.Std()+f.Duration.Std())
	}
	from, to := int(x.WarmUp.Std()/time.Second), min(int(first/time.Second), len(seconds))
	if len(x.Faults) == 0 || to <= from {
		return 0
	}
	before := share(seconds[from:to])
	for i := int((last + time.Second - 1) / time.Second); i+2 <= len(seconds); i++ {
		if share(seconds[i:i+2]) >= 0.98*before {
			return max(float64(i)-last.Seconds(), 0)
		}
	}
	return -1
}

// RecentService is the service of the second before the last whole one, for progress.
func (m *Meter) RecentService(at time.Duration) (ops int, service float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.second(max(at-time.Second, 0))
	return s.Ops, s.BenefitInTime / max(s.BenefitRequested, 1e-9)
}
