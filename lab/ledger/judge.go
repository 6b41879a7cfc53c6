package ledger

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	keep         = 3 * time.Second // an op is kept so long past its TTL, to see what still comes for it
	mostFindings = 20
	leftWithin   = 300 * time.Millisecond // from a client's leaving until nothing is sent on for it

	// What a passed deadline may have over what is left to the client: the operators' 150 ms, and some for the machine between the
	// client, the proxy and the server. It is no setting: with the wide slack of short experiments nothing would be judged.
	deadlineTolerance = 150*time.Millisecond + 50*time.Millisecond
)

type entry struct {
	op     uint64
	events []Record
	until  time.Duration
	sent   bool
}

type server struct {
	start    time.Duration
	capacity float64 // cores
	cold     bool
	work     []Record // of its cold time
}

type told struct {
	at    time.Duration
	state uint32
}

// Judge goes through a ledger's records. Its verdict hangs on times, not on the order of lines.
type Judge struct {
	terms   RuleParams
	open    map[uint64]*entry
	due     []*entry // in the order of their first record
	gone    map[uint32]Record
	told    map[[2]uint32][]told
	hands   map[[2]uint32][]told // by operators
	stalls  map[uint32][]told    // 1: it stands still
	blind   []told               // 1: one more way is broken
	servers map[uint32]*server
	now     time.Duration
	v       Verdict
}

// NewJudge makes one.
func NewJudge(t RuleParams) *Judge {
	return &Judge{terms: t, open: map[uint64]*entry{}, gone: map[uint32]Record{}, told: map[[2]uint32][]told{}, hands: map[[2]uint32][]told{},
		servers: map[uint32]*server{}, stalls: map[uint32][]told{}, v: Verdict{Answers: map[string]int{}, Violations: map[string]int{}}}
}

// Add takes the next record.
func (j *Judge) Add(r Record) {
	j.now = max(j.now, r.At)
	switch r.Kind {
	case StateAnnounced:
		k := [2]uint32{r.A, r.B}
		j.told[k] = append(j.told[k], told{r.At, r.C})
		slices.SortStableFunc(j.told[k], func(a, b told) int { return int(a.at - b.at) })
	case OperatorOverride:
		k := [2]uint32{r.A, r.B}
		j.hands[k] = append(j.hands[k], told{r.At, r.C})
		slices.SortStableFunc(j.hands[k], func(a, b told) int { return int(a.at - b.at) })
	case ProxyStalled:
		j.stalls[r.A] = append(j.stalls[r.A], told{r.At, r.C})
	case LinkFault:
		at := r.At
		if r.C == 0 { // what was out when the way broke is waited for
			at += j.longest()
		}
		j.blind = append(j.blind, told{at, r.C})
	case ServerStarted:
		j.warm(r.A)
		j.servers[r.A] = &server{start: r.At, capacity: float64(r.B) / 1000, cold: r.C == 1}
	case ProxyExited:
		j.gone[r.A] = r
	case RunFinished:
		j.v.Complete = true
	default:
		e := j.open[r.Op]
		if e == nil {
			e = &entry{op: r.Op}
			j.open[r.Op] = e
			j.due = append(j.due, e)
			j.v.MaxOpenOps = max(j.v.MaxOpenOps, len(j.open))
		}
		e.events = append(e.events, r)
		if r.Kind == OpSent {
			e.sent = true
			e.until = r.At + time.Duration(r.C)*time.Microsecond
		}
		e.until = max(e.until, r.At)
		if r.Kind == PushReceived {
			j.v.Pushes++
			if s := j.servers[r.A]; s != nil && s.cold && r.At-s.start < j.terms.WarmUp {
				s.work = append(s.work, r)
			}
		}
	}
	for len(j.due) > 0 && j.now > j.due[0].until+j.longest()+keep {
		j.close(j.due[0])
		j.due = j.due[1:]
	}
}

func (j *Judge) longest() (ttl time.Duration) {
	for _, c := range j.terms.Categories {
		ttl = max(ttl, c.TTL)
	}
	return ttl
}

// Finish gives the verdict.
func (j *Judge) Finish() *Verdict {
	for _, e := range j.due {
		j.close(e)
	}
	j.due = nil
	for id := range j.servers {
		j.warm(id)
	}
	return &j.v
}

func (j *Judge) find(rule string, e *entry, format string, args ...any) {
	j.v.Violations[rule]++
	if len(j.v.Findings) >= mostFindings {
		return
	}
	f := Finding{Rule: rule, Message: fmt.Sprintf(format, args...)}
	if e != nil {
		f.Op = fmt.Sprintf("%016x", e.op)
		for _, r := range e.events {
			f.History = append(f.History, r.String())
		}
	}
	j.v.Findings = append(j.v.Findings, f)
}

// stood tells whether a proxy's process stood still between two moments.
func (j *Judge) stood(proxy uint32, from, to time.Duration) bool {
	return overlap(j.stalls[proxy], from, to)
}

func overlap(events []told, from, to time.Duration) bool {
	return slices.ContainsFunc(spans(events), func(s [2]time.Duration) bool { return s[0] < to && s[1] > from })
}

// spans are the times in which one thing at least has begun and not ended; events come in any order.
func spans(events []told) (all [][2]time.Duration) {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b told) int { return int(a.at - b.at) })
	open := 0
	for _, e := range events {
		if e.state == 1 {
			if open++; open == 1 {
				all = append(all, [2]time.Duration{e.at, math.MaxInt64})
			}
		} else if open--; open == 0 {
			all[len(all)-1][1] = e.at
		}
	}
	return all
}
