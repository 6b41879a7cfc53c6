// Package measure computes what clients received: service by second, latencies by category and tenant in HDR histograms,
// the lab's own delays in sending, and the resources that the proxy processes use.
package measure

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"minttray/lab/experiment"
)

// Outcome is the end of an op, with all its tries, for its client.
type Outcome struct {
	Due      time.Duration // when the op was due, from the start of the load
	Latency  time.Duration // from the time due to the answer
	Category int
	Tenant   int
	Acked    bool
	Tries    int
	Nacks    int
	Failed   bool // no try was acked
	Left     bool // the client left by itself; the op counts neither as served nor as failed
}

// Second holds the measurements of one second of a run.
type Second struct {
	// Ops is the number of ops that were due and sent.
	Ops int `json:"ops"`
	// BenefitRequested is the sum of the benefits of these ops, without those whose client left.
	BenefitRequested float64 `json:"asked"`
	// BenefitInTime is the part of it that was answered within the target latency.
	BenefitInTime float64 `json:"in_time"`
	// Late is the number of ops that were acked after the target latency.
	Late int `json:"late"`
	// Nacked is the number of tries that were nacked.
	Nacked int `json:"nacked"`
	// Failed is the number of ops of which no try was acked.
	Failed int `json:"failed"`
	// Tries is the number of tries of these ops.
	Tries int `json:"tries"`
	// P50 and P99 are latencies of acked ops, in ms.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// Fetches is the number of fetches from the origin.
	Fetches int64 `json:"fetches"`
	// Conns is the number of open connections to caches.
	Conns int `json:"connections"`
	// ConnsOpened is the number of connections that clients opened.
	ConnsOpened int64 `json:"opened"`
	// QueuedRequests is the number of queued requests, summed over all caches.
	QueuedRequests int `json:"waiting"`
	// CPU is the number of cores that all proxies use.
	CPU float64 `json:"cpu"`
	// MemoryMB is the memory of the proxies, in MiB.
	MemoryMB float64 `json:"memory_mb"`

	latencies *hdrhistogram.Histogram // µs
}

// GroupStats holds the measurements of a category, a tenant, or all ops.
type GroupStats struct {
	Name    string  `json:"name"`
	Ops     int     `json:"ops"`     // without those whose client left
	Service float64 `json:"service"` // benefit answered in time, as a share of the benefit requested
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Max     float64 `json:"max_ms"`

	benefitRequested float64
	benefitInTime    float64
	latencies        *hdrhistogram.Histogram // µs
}

// Meter collects outcomes. It is safe for concurrent use.
type Meter struct {
	mu            sync.Mutex
	exp           *experiment.File
	seconds       []*Second
	total         *GroupStats
	categories    []*GroupStats
	tenants       []*GroupStats
	sendDelays    *hdrhistogram.Histogram // µs
	tries         int
	unsent        int
	restartedAges [ageBuckets]AgeBucket // tries at restarted processes younger than ageBuckets*ageBucketWidth
	peers         AgeBucket             // tries at all other processes
}

// AgeBucket holds the measurements of tries at processes of one range of age.
type AgeBucket struct {
	FromSeconds float64 `json:"from_s"`
	Tries       int     `json:"tries"`
	Service     float64 `json:"service"` // benefit answered within the target latency of the try, as a share of that requested

	benefitRequested float64
	benefitInTime    float64
}

// add counts a try.
func (a *AgeBucket) add(benefit float64, inTime bool) {
	a.Tries++
	if a.benefitRequested += benefit; inTime {
		a.benefitInTime += benefit
	}
}

// summarize returns the bucket with its service computed.
func (a *AgeBucket) summarize() AgeBucket {
	a.Service = a.benefitInTime / max(a.benefitRequested, minBenefit)
	return *a
}

const (
	ageBuckets     = 20
	ageBucketWidth = 500 * time.Millisecond

	// recoveredShare is the share of the reference service at which service counts as recovered.
	recoveredShare = 0.98
	// recoveryWindow is the number of seconds over which service is averaged to tell whether it has recovered, since a single
	// second says little.
	recoveryWindow = 2
	// worstWindow is the length of the window for the worst service, in seconds.
	worstWindow = 10
	// minBenefit keeps divisions by a sum of benefits from dividing by zero.
	minBenefit = 1e-9
	// inTimeSendDelay is the delay in sending, in µs, up to which the lab counts as in time.
	inTimeSendDelay = 5000
)

// RecordTry counts a try at a process of the given age. restarted is set if the process is not the first of its proxy.
func (m *Meter) RecordTry(processAge time.Duration, restarted bool, benefit float64, inTime bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := int(processAge / ageBucketWidth); restarted && n < ageBuckets {
		m.restartedAges[n].add(benefit, inTime)
	} else {
		m.peers.add(benefit, inTime)
	}
}

// settleSeconds returns the age from which the service of restarted processes, over two consecutive buckets together, is within
// 2% of that of their peers. It returns 0 if no process was restarted, and -1 if the processes never serve as well.
func settleSeconds(ages []AgeBucket, peers AgeBucket) float64 {
	tries := 0
	for i := range ages {
		if tries += ages[i].Tries; i+1 < len(ages) && ages[i].benefitInTime+ages[i+1].benefitInTime >= recoveredShare*peers.Service*(ages[i].benefitRequested+ages[i+1].benefitRequested) {
			return float64(i) * ageBucketWidth.Seconds()
		}
	}
	if tries == 0 {
		return 0
	}
	return -1
}

// newHistogram returns a histogram for times up to 10 minutes in µs, with 3 significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

// NewMeter returns a meter for a run of an experiment.
func NewMeter(exp *experiment.File) *Meter {
	m := &Meter{exp: exp, total: &GroupStats{Name: "all", latencies: newHistogram()}, sendDelays: newHistogram()}
	for _, c := range exp.Categories {
		m.categories = append(m.categories, &GroupStats{Name: c.Name, latencies: newHistogram()})
	}
	for _, t := range exp.Tenants {
		m.tenants = append(m.tenants, &GroupStats{Name: t.Name, latencies: newHistogram()})
	}
	return m
}

// second returns the measurements of the second at a time. The caller holds the mutex. Its latencies have 2 digits, to keep the
// histograms small, and those above 1 minute are left out.
func (m *Meter) second(at time.Duration) *Second {
	n := max(int(at/time.Second), 0)
	for len(m.seconds) <= n {
		m.seconds = append(m.seconds, &Second{latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)})
	}
	return m.seconds[n]
}

// UpdateSecond calls update with the measurements of the second at a time, while the meter is locked.
func (m *Meter) UpdateSecond(at time.Duration, update func(*Second)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	update(m.second(at))
}

// RecordSendDelay records how long after it was due the lab began an op.
func (m *Meter) RecordSendDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendDelays.RecordValue(max(int64(delay/time.Microsecond), 1))
}

// RecordUnsent counts an op that was not sent because the lab was overloaded.
func (m *Meter) RecordUnsent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unsent++
}

// RecordOutcome records the end of an op.
func (m *Meter) RecordOutcome(o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	category := m.exp.Categories[o.Category]
	inTime := o.Acked && o.Latency <= category.Target.Std()
	second := m.second(o.Due)
	second.Ops++
	second.Tries += o.Tries
	second.Nacked += o.Nacks
	m.tries += o.Tries
	if o.Left {
		return
	}
	second.BenefitRequested += category.Benefit
	if inTime {
		second.BenefitInTime += category.Benefit
	} else if o.Acked {
		second.Late++
	}
	if o.Failed {
		second.Failed++
	}
	latency := max(int64(o.Latency/time.Microsecond), 1)
	if o.Acked {
		second.latencies.RecordValue(latency)
	}
	if o.Due < m.exp.WarmUp.Std() {
		return
	}
	for _, group := range []*GroupStats{m.total, m.categories[o.Category], m.tenants[o.Tenant]} {
		group.Ops++
		group.benefitRequested += category.Benefit
		if inTime {
			group.benefitInTime += category.Benefit
		}
		if o.Acked {
			group.latencies.RecordValue(latency)
		}
	}
}

// Stats holds the measurements of a run. Total, Categories, Tenants and Worst10s leave out the warm-up time.
type Stats struct {
	Total      GroupStats   `json:"all"`
	Categories []GroupStats `json:"categories"`
	Tenants    []GroupStats `json:"tenants"`
	Seconds    []*Second    `json:"seconds"`
	// Worst10s is the service in the worst 10 seconds in a row.
	Worst10s float64 `json:"worst_10s"`
	// Worst10sStart is the first of these seconds.
	Worst10sStart int     `json:"worst_10s_at"`
	TriesPerOp    float64 `json:"tries_per_op"`
	// RestartedByAge holds the tries at restarted processes, by the age of the process.
	RestartedByAge []AgeBucket `json:"restarted,omitempty"`
	// Peers holds all other tries.
	Peers AgeBucket `json:"peers"`
	// SettleSeconds is the age at which a restarted process serves within 2% of its peers; -1 if it never does.
	SettleSeconds float64 `json:"settled_s"`
	// RecoverySeconds is the time from the end of the last fault until service has recovered; -1 if it has not.
	RecoverySeconds float64 `json:"back_s"`
	// SendDelayP50 and SendDelayP99 are the delays after the time due with which the lab began ops, in ms.
	SendDelayP50 float64 `json:"lab_late_p50_ms"`
	SendDelayP99 float64 `json:"lab_late_p99_ms"`
	// SentWithin5ms is the share of ops that the lab began within 5 ms of the time due.
	SentWithin5ms float64 `json:"lab_sent_within_5ms"`
	// UnsentOps is the number of ops that were not sent because the lab was overloaded.
	UnsentOps int `json:"lab_overload"`
}

// milliseconds converts µs to ms.
func milliseconds(us int64) float64 { return float64(us) / 1000 }

// summarize returns the measurements with service and latencies computed.
func (g *GroupStats) summarize() GroupStats {
	g.Service = g.benefitInTime / max(g.benefitRequested, minBenefit)
	g.P50 = milliseconds(g.latencies.ValueAtQuantile(50))
	g.P90 = milliseconds(g.latencies.ValueAtQuantile(90))
	g.P99 = milliseconds(g.latencies.ValueAtQuantile(99))
	g.P999 = milliseconds(g.latencies.ValueAtQuantile(99.9))
	g.Max = milliseconds(g.latencies.Max())
	return *g
}

// Summarize returns the measurements of the run.
func (m *Meter) Summarize() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := Stats{
		Total:        m.total.summarize(),
		Worst10s:     1,
		SendDelayP50: milliseconds(m.sendDelays.ValueAtQuantile(50)),
		SendDelayP99: milliseconds(m.sendDelays.ValueAtQuantile(99)),
		UnsentOps:    m.unsent,
		TriesPerOp:   float64(m.tries), // divided by the number of ops below
	}
	for _, group := range m.categories {
		stats.Categories = append(stats.Categories, group.summarize())
	}
	for _, group := range m.tenants {
		stats.Tenants = append(stats.Tenants, group.summarize())
	}
	sentInTime := int64(0)
	for _, bar := range m.sendDelays.Distribution() {
		if bar.To <= inTimeSendDelay {
			sentInTime += bar.Count
		}
	}
	stats.SentWithin5ms = float64(sentInTime) / float64(max(m.sendDelays.TotalCount(), 1))
	// Only whole seconds within the experiment's length count for worst and recovered service.
	ops, end := 0, min(int(m.exp.Length.Std()/time.Second), len(m.seconds))
	for i, second := range m.seconds {
		ops += second.Ops
		second.P50 = milliseconds(second.latencies.ValueAtQuantile(50))
		second.P99 = milliseconds(second.latencies.ValueAtQuantile(99))
		if from := int(m.exp.WarmUp.Std() / time.Second); i >= from && i+worstWindow <= end {
			if service := serviceOf(m.seconds[i : i+worstWindow]); service < stats.Worst10s {
				stats.Worst10s, stats.Worst10sStart = service, i
			}
		}
	}
	stats.TriesPerOp /= float64(max(ops, 1))
	stats.Peers = m.peers.summarize()
	stats.SettleSeconds = settleSeconds(m.restartedAges[:], stats.Peers)
	if slices.ContainsFunc(m.restartedAges[:], func(a AgeBucket) bool { return a.Tries > 0 }) {
		for i := range m.restartedAges {
			m.restartedAges[i].FromSeconds = float64(i) * ageBucketWidth.Seconds()
			stats.RestartedByAge = append(stats.RestartedByAge, m.restartedAges[i].summarize())
		}
	}
	stats.RecoverySeconds = recoverySeconds(m.exp, m.seconds[:end])
	stats.Seconds = m.seconds
	return stats
}

// serviceOf returns the service over several seconds.
func serviceOf(seconds []*Second) float64 {
	requested, inTime := 0.0, 0.0
	for _, s := range seconds {
		requested, inTime = requested+s.BenefitRequested, inTime+s.BenefitInTime
	}
	return inTime / max(requested, minBenefit)
}

// recoverySeconds returns the time from the end of the last fault until service, over recoveryWindow seconds together, is within
// 2% of its level before the first fault. It returns 0 if there is no fault, or nothing measured before it, and -1 if service does
// not recover.
func recoverySeconds(exp *experiment.File, seconds []*Second) float64 {
	firstFault, faultsEnd := exp.Length.Std(), time.Duration(0)
	for _, f := range exp.Faults {
		firstFault, faultsEnd = min(firstFault, f.Start.Std()), max(faultsEnd, f.Start.Std()+f.Duration.Std())
	}
	from, to := int(exp.WarmUp.Std()/time.Second), min(int(firstFault/time.Second), len(seconds))
	if len(exp.Faults) == 0 || to <= from {
		return 0
	}
	before := serviceOf(seconds[from:to])
	for i := int((faultsEnd + time.Second - 1) / time.Second); i+recoveryWindow <= len(seconds); i++ {
		if serviceOf(seconds[i:i+recoveryWindow]) >= recoveredShare*before {
			return max(float64(i)-faultsEnd.Seconds(), 0)
		}
	}
	return -1
}

// RecentService returns the number of ops and the service of the last complete second before a time. It is used to show
// progress.
func (m *Meter) RecentService(at time.Duration) (ops int, service float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.second(max(at-time.Second, 0))
	return s.Ops, s.BenefitInTime / max(s.BenefitRequested, minBenefit)
}
