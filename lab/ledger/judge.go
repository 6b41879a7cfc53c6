package ledger

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// opRetention is how much longer than the longest TTL an op is held after opRecords.until, for records that come late.
	opRetention = 3 * time.Second
	// maxFindings bounds the findings that a verdict describes in detail.
	maxFindings = 20
	// clientLeftDelay is the time from a client's closing its connection after which, with RuleParams.Slack added, nothing may
	// be pushed for it.
	clientLeftDelay = 300 * time.Millisecond

	// deadlineTolerance is how far a forwarded deadline may exceed the time that the client has left: the 150 ms that
	// the operators' requirements allow, and 50 ms for delays of the machine between client, proxy and server. It is a
	// constant rather than a setting because with the large slack of short experiments no deadline would be checked.
	deadlineTolerance = 150*time.Millisecond + 50*time.Millisecond
)

// opRecords holds the records of one op until it is checked.
type opRecords struct {
	op      uint64
	records []Record
	until   time.Duration // the end of the client's wait, or the time of the last record if that is later
	sent    bool          // there is an OpSent record
}

// server is the state of a server since its last start.
type server struct {
	startedAt  time.Duration
	capacity   float64 // cores
	cold       bool
	coldPushes []Record // pushes received during warm-up
}

// stateChange is a change of a state at a time.
type stateChange struct {
	at    time.Duration
	state uint32 // a State constant in announcements by discovery; otherwise 1: on, 0: off
}

// interval is a span of time.
type interval struct {
	start time.Duration
	end   time.Duration // math.MaxInt64 if it has not ended
}

// proxyServer identifies a server as seen by a proxy process.
type proxyServer struct {
	proxy  uint32
	server uint32
}

// Judge checks the records of a ledger. The records of an op, and changes of states, are put in order of time, so they may come
// out of order by less than opRetention. ServerStarted must come before the pushes to that server.
type Judge struct {
	params     RuleParams
	open       map[uint64]*opRecords
	queue      []*opRecords // open ops, in the order of their first record
	exits      map[uint32]Record
	announced  map[proxyServer][]stateChange // by discovery
	overrides  map[proxyServer][]stateChange // by operators: 1 if the server is detached
	stalls     map[uint32][]stateChange      // by proxy process: 1 if it is stopped
	linkFaults []stateChange                 // 1 at the start of a fault, 0 at its end
	servers    map[uint32]*server
	now        time.Duration // time of the latest record
	verdict    Verdict
}

// NewJudge returns a Judge that checks rules with parameters p.
func NewJudge(p RuleParams) *Judge {
	return &Judge{
		params:    p,
		open:      map[uint64]*opRecords{},
		exits:     map[uint32]Record{},
		announced: map[proxyServer][]stateChange{},
		overrides: map[proxyServer][]stateChange{},
		servers:   map[uint32]*server{},
		stalls:    map[uint32][]stateChange{},
		verdict: Verdict{
			Answers:    map[string]int{},
			Violations: map[string]int{},
		},
	}
}

// compareTimes orders state changes by time.
func compareTimes(a, b stateChange) int { return int(a.at - b.at) }

// Add processes the next record, and checks the ops that are complete by its time.
func (j *Judge) Add(r Record) {
	j.now = max(j.now, r.At)
	switch r.Kind {
	case StateAnnounced:
		key := proxyServer{proxy: r.A, server: r.B}
		j.announced[key] = append(j.announced[key], stateChange{r.At, r.C})
		slices.SortStableFunc(j.announced[key], compareTimes)
	case OperatorOverride:
		key := proxyServer{proxy: r.A, server: r.B}
		j.overrides[key] = append(j.overrides[key], stateChange{r.At, r.C})
		slices.SortStableFunc(j.overrides[key], compareTimes)
	case ProxyStalled:
		j.stalls[r.A] = append(j.stalls[r.A], stateChange{r.At, r.C})
	case LinkFault:
		at := r.At
		if r.C == 0 { // the proxy may still wait for a push that the fault cut off
			at += j.maxTTL()
		}
		j.linkFaults = append(j.linkFaults, stateChange{at, r.C})
	case ServerStarted:
		j.checkColdStart(r.A)
		j.servers[r.A] = &server{startedAt: r.At, capacity: float64(r.B) / 1000, cold: r.C == 1}
	case ProxyExited:
		j.exits[r.A] = r
	case RunFinished:
		j.verdict.Complete = true
	default:
		e := j.open[r.Op]
		if e == nil {
			e = &opRecords{op: r.Op}
			j.open[r.Op] = e
			j.queue = append(j.queue, e)
			j.verdict.MaxOpenOps = max(j.verdict.MaxOpenOps, len(j.open))
		}
		e.records = append(e.records, r)
		if r.Kind == OpSent {
			e.sent = true
			e.until = r.At + time.Duration(r.C)*time.Microsecond
		}
		e.until = max(e.until, r.At)
		if r.Kind == PushReceived {
			j.verdict.Pushes++
			if s := j.servers[r.A]; s != nil && s.cold && r.At-s.startedAt < j.params.WarmUp {
				s.coldPushes = append(s.coldPushes, r)
			}
		}
	}
	for len(j.queue) > 0 && j.now > j.queue[0].until+j.maxTTL()+opRetention {
		j.checkOp(j.queue[0])
		j.queue = j.queue[1:]
	}
}

// maxTTL returns the longest TTL of all categories.
func (j *Judge) maxTTL() (ttl time.Duration) {
	for _, c := range j.params.Categories {
		ttl = max(ttl, c.TTL)
	}
	return ttl
}

// Finish checks the remaining ops and returns the verdict.
func (j *Judge) Finish() *Verdict {
	for _, e := range j.queue {
		j.checkOp(e)
	}
	j.queue = nil
	for id := range j.servers {
		j.checkColdStart(id)
	}
	return &j.verdict
}

// report counts a violation of a rule, and describes it unless maxFindings are described already. e may be nil.
func (j *Judge) report(rule string, e *opRecords, format string, args ...any) {
	j.verdict.Violations[rule]++
	if len(j.verdict.Findings) >= maxFindings {
		return
	}
	f := Finding{Rule: rule, Message: fmt.Sprintf(format, args...)}
	if e != nil {
		f.Op = fmt.Sprintf("%016x", e.op)
		for _, r := range e.records {
			f.History = append(f.History, r.String())
		}
	}
	j.verdict.Findings = append(j.verdict.Findings, f)
}

// stalledBetween reports whether a proxy process was stopped at any time between two moments.
func (j *Judge) stalledBetween(proxy uint32, from, to time.Duration) bool {
	return activeBetween(j.stalls[proxy], from, to)
}

// activeBetween reports whether any interval that the changes describe overlaps the time between two moments.
func activeBetween(changes []stateChange, from, to time.Duration) bool {
	return slices.ContainsFunc(intervals(changes), func(i interval) bool { return i.start < to && i.end > from })
}

// intervals returns the intervals that changes to state 1 start and changes to state 0 end. Overlapping ones are merged. The
// changes may come in any order.
func intervals(changes []stateChange) (result []interval) {
	changes = slices.Clone(changes)
	slices.SortStableFunc(changes, compareTimes)
	active := 0
	for _, c := range changes {
		if c.state == 1 {
			if active++; active == 1 {
				result = append(result, interval{c.at, math.MaxInt64})
			}
		} else if active--; active == 0 {
			result[len(result)-1].end = c.at
		}
	}
	return result
}
