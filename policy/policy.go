// Package policy makes all decisions of one minttray proxy. Call New with settings, a seed and a Host, then
// one method for each thing that happens; the module acts by calling the Host from inside them.
// The design (docs/design.md) decides the ordinary path: round-mapping over ranked caches, salted candidates
// and the twice-mean pass. Beside it stand six mechanisms at most:
//  1. seats: a cache keeps its bucket while others come and go; slow and small ones get fewer keys;
//  2. hot keys: a key over a cache's fair share is spread over as many candidates as it would fill;
//  3. cold budget: what a young cache may be pushed in any window, as a ratio to what the fleet answers;
//  4. health: a cache that can't be reached or fails far more than the median, rests; slow ways, peers' word;
//  5. limits: learned, to caches and origin; paces below one push, given back by trial; what probes tell;
//  6. shortage: as all caches together fall short, pushes are refused; ops of small benefit yield first.
package policy

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"minttray/decide/chance"
	"minttray/decide/circle"
	"minttray/decide/evidence"
	"minttray/decide/fleet"
	"minttray/decide/members"
	"minttray/decide/pace"
	"minttray/decide/shortage"
	"minttray/decide/site"
	"minttray/decide/slowstart"
)

const (
	slack, spareSeats     = 4, 256              // s0 of the design; seats to it, at least: a fleet grows
	candidates, doubts    = 3, 2                // caches a key may go to; pushes for which one is passed over
	quarters              = evidence.WindowSlots   // four of the cold window, and the one begun
	missWork              = 1.0 / 3             // of an answer's work
	firstLimit            = 12                  // in flight to a cache from all proxies, nothing learned yet
	leastTokens, mostNews = 4, 32 * 8           // a share split among many still fills; bytes in a message
	strainUp, strainDown  = 1.0 / 16, 1.0 / 128 // what a failure adds to strain, what an answer takes off it
	calm                  = 1.0 / 10            // strain that chance alone may bring
	againShare, mostAgain = 1.0 / 4, 16         // of answers: tries that may come again; at once
	extraWorth            = 1.0 / 256           // of what ops bring: most for looking around; a copy's worth
	leastChance           = 1.0 / 8             // of an answer in time: with less, an op is given up at once
	fullLength            = 8                   // one push of so many is waited for in full all the same

	tokenTick, tokenWatch, tokenOp, tokenProbe = 0, 1, 2, 1 << 32 // and up: the op's id; the cache's
)

type cache struct {
	Entry
	listed, open, shared bool                       // shared: the origin or its shadow
	out                  int                        // own pushes in flight
	evidence.Record                                 // pushes there, what came of them, its learned limit
	size                 float64                    // weight, by its kind's speed
	cutAt, sentAt, near  Time                       // limit last fell; last push; least that an answer takes
	rest, restUntil      Time                       // the last rest, 0 once it has answered; not ready before
	by                   evidence.OutcomeCounts[*Category] // answers and failures
	span                 evidence.LatencyHistogram             // how long its answers take, in ticks
	doubt                fleet.Suspicion[Time]          // passed over while another candidate is beyond it
	shun                 float64                    // chance of that by what peers say, fading
	slow, asking         bool                       // by its last report; a probe is out
	held                 []*op                      // until that is back
	wait, heard          Time                       // of an op there, by its last probe; when that came

	ranked      bool                // it is in the list of caches, and in the sums over it
	failurePart evidence.MedianBin // where those count its failures
	walk        uint64              // the last walk for a request's candidates that came to it
}

type op struct {
	id, probes         uint32 // probes: asked for it
	key                uint64
	cat                *Category
	write, done        bool
	queued             bool    // for the origin
	lane, beyond, heat float64 // share of a limit for it; benefit lost beyond a share; its key's share
	aim, due           Time    // until then its answer has full benefit, or is waited for; and a push is begun
	tenant             *tenant
	pushes, most, n    int // it may have by the settings, and for its benefit, and has had
	out                []push
	tried              []*cache
	ran                *push // the first push that may have run
}

type zone = evidence.PathLatency[Time] // to a location of caches

type push struct {
	n     int
	to    *cache
	at    Time
	share float64 // that the gate let through then

	fetches, full, cut bool // its key may not be kept; it waits as long as answers may take; less than it could
}

type tenant struct {
	tokens, rate float64
	again        evidence.RetryBudget // tries that come again
}

type Balancer struct {
	Settings
	Counts        Counts
	host          Host
	rnd           chance.PCG
	visits        members.Visits // of entries of the next three
	caches        members.Map[uint32, *cache]
	ranked, seats members.List[*cache] // listed, by start time, then id; by bucket, nil: free
	seated        members.List[*cache] // those of the buckets that are not free, in their order
	seatedOwn     members.List[*cache] // and of them the own zone's
	ownCaches     int                  // in the own zone
	candidates    candidateWalk        // of the request in hand

	// Sums over the ranked caches.
	sums     slowstart.Sums[Time]
	failures failureShares
	out      int // pushes in flight there

	staleSums         bool // they are made anew at the next tick
	tickTurn, avoided int  // which caches it looks at, and how many of them that are out it has seen

	reseat         bool // sizes have changed: seats are dealt anew at the next tick
	circle         circle.Circle
	origin, shadow *cache // shadow: the origin, as pushes that may fetch show it
	news           []byte // of kept keys, for the peers
	ops            map[uint32]*op
	queue          []*op // for the origin
	tenants        []*tenant
	kinds          []*Category // all that there were
	turn           int
	asking         fleet.Backoff[Time] // for the list
	all            cache               // what all caches did, taken together
	gate           shortage.Gate       // shut as far as the fleet is short as a whole
	ladder         site.LoadShedder           // which ops are refused first then
	back           pace.Recovery           // to the pace that the origin took before it was short
	zones          map[int]*zone
	sites          fleet.SiteHealth[Time] // lost, or cut off
	near           bool              // caches of the own zone come first
	learned                          // that a process which follows may go by

	row, gap                        float64 // halved by each failed fetch in a row; usual span between pushes
	benefit, heaviest, sizes, first float64 // the highest; size; their sum; limit with nothing learned
	strain, windowDraw              float64 // 0 to 1: how short the fleet is; drawn for each window of slow starts
	worth, copies                   float64 // of what an op brings: most for news; price of 8 bytes to all

	waited, silent float64 // pushes waited for in full, and those without an answer, fading

	target, shortest, last, rolled, failed Time // latency: usual, least; a push, a roll, a sign of shortage
}

// New starts a proxy; a list of kind ListCached is expected next.
func New(s Settings, seed uint64, h Host) *Balancer {
	b := &Balancer{host: h, rnd: chance.PCG{State: seed}, ops: map[uint32]*op{},
		zones: map[int]*zone{}, learned: nothing(), rolled: h.Now(), last: h.Now(), row: 1}
	b.caches = members.NewMap[uint32, *cache](&b.visits)
	for _, list := range []*members.List[*cache]{&b.ranked, &b.seats, &b.seated, &b.seatedOwn} {
		*list = members.NewList[*cache](&b.visits)
	}
	b.sites.Local = s.Zone
	if b.Retune(s); !s.Aside {
		b.shadow = &cache{shared: true}
	}
	h.Timer(tokenTick, 4*s.Tick)
	if s.AskList {
		h.Timer(tokenWatch, b.between(fleet.StartSlot(s.Index, s.Proxies, s.AskEvery/2)))
	}
	return b
}

// Retune takes new settings. Categories and tenants keep their numbers, new ones come behind, those no longer
// asked for are marked: open ops keep the rules that they came under, and what was learned stays.
func (b *Balancer) Retune(s Settings) {
	b.Settings, b.first, b.benefit, b.shortest = s, max(firstLimit/float64(s.Proxies), 1), 0, math.MaxInt64
	sum, n := Time(0), Time(0)
	for i, c := range s.Categories {
		if i == len(b.kinds) {
			b.kinds = append(b.kinds, &s.Categories[i])
		}
		if !c.Dropped {
			b.benefit, b.shortest, sum, n = max(b.benefit, c.Benefit), min(b.shortest, c.Target), sum+c.Target, n+1
		}
	}
	b.target, b.benefit = sum/max(n, 1), max(b.benefit, math.SmallestNonzeroFloat64)
	for i, quota := range append(slices.Clip(s.Quotas), math.Inf(1)) { // the last: who has no share
		rate := quota / float64(s.Proxies)
		if i == len(b.tenants) {
			b.tenants = append(b.tenants, &tenant{tokens: max(rate, leastTokens/2)})
			b.tenants[i].again.Deposit(mostAgain, mostAgain)
		}
		b.tenants[i].rate = rate
	}
	// Where nines count, the last ops unserved weigh more than their number: so much halfway to full credit.
	b.worth = extraWorth * (1 + s.NinesPart/max(s.FullAtNines, 1)*math.Pow(10, s.FullAtNines/2)/math.Ln10)
	b.copies = s.PeerPrice * float64(s.Proxies-1) * 8 / mostNews
}

// ListArrived takes the whole list, changes to it, or word that a call to the list failed.
func (b *Balancer) ListArrived(kind ListKind, entries []Entry) {
	if kind == ListFailed {
		b.host.Timer(tokenWatch, b.between(0, b.asking.RecordFailure(b.AskEvery/2, 2*b.AskEvery)))
		return
	}
	b.asking.Reset()
	for _, c := range b.caches.All() {
		c.listed, c.ranked = c.listed && kind == ListDelta, false
	}
	for _, e := range entries {
		c := cmp.Or(b.caches.Get(e.ID), &cache{Record: evidence.Record{Limit: b.first}, heard: math.MinInt64 / 2})
		b.caches.Put(e.ID, c)
		if e.Start > c.Start {
			c.restUntil, c.rest, c.Bad, c.doubt = 0, 0, 0, fleet.Suspicion[Time]{} // a new process: not its failures
		}
		if e.Start = max(e.Start, c.Start); c.Excluded && !e.Excluded {
			e.Start = b.host.Now() // operators restart what they take out, and the list need not tell
		}
		b.zones[e.Zone] = cmp.Or(b.zones[e.Zone], &zone{})
		b.speeds[e.Kind] = cmp.Or(b.speeds[e.Kind], &evidence.Speed{})
		if c.Entry, c.listed = e, e.State != Gone; !c.listed {
			b.host.CloseIdle(e.ID)
		}
	}
	b.ranked.Reset(0)
	b.origin = nil
	for _, c := range b.caches.All() {
		if c.listed && c.Kind != b.OriginKind {
			b.ranked.Append(c)
			c.ranked = true
		} else if c.listed && (b.origin == nil || c.ID < b.origin.ID) { // the lowest id, whatever the map's order
			b.origin, c.shared = c, true
		}
	}
	b.ranked.Sort(func(all []*cache) {
		slices.SortFunc(all, func(x, y *cache) int { return cmp.Or(cmp.Compare(x.Start, y.Start), cmp.Compare(x.ID, y.ID)) })
	})
	if b.shadow != nil && b.shadow.cutAt == 0 {
		b.shadow.Limit = b.first * float64(b.ranked.Len()) / 2
	}
	if b.origin != nil && b.origin.cutAt == 0 {
		b.origin.Limit = float64(max(b.ranked.Len(), firstLimit)) / float64(b.Proxies)
	}
	b.seat()
	b.pump()
}

// seat gives each ranked cache a bucket. Plain ranks shift whenever a cache leaves, and most keys with them;
// so they only say who is first to choose of many seats: all proxies agree, and a restart gets its seat back.
func (b *Balancer) seat() {
	b.reseat = false
	m := max(b.seats.Len(), slack*spareSeats)
	for m < 2*b.ranked.Len() {
		m *= 2
	}
	own, fresh := 0.0, b.heaviest == 0
	b.circle, b.heaviest, b.sizes = circle.New(slack, m), 0, 0
	b.seats.Reset(m)
	for _, c := range b.ranked.All() {
		if c.size = c.Weight * math.Exp2(-b.speeds[c.Kind].OctavesSlower); b.RoughWeights {
			c.size /= math.Sqrt(c.Weight) // they count cores, not what these do: halfway to equal till that is seen
		}
		b.heaviest, b.sizes = max(b.heaviest, c.size), b.sizes+c.size
		if c.Zone == b.Zone {
			own += c.size
		}
		b.seats.Put(circle.AssignBucket(uint64(c.ID), m, func(at int) bool { return b.seats.At(at) == nil }), c)
	}
	b.ownCaches = 0
	b.seated.Reset(0)
	b.seatedOwn.Reset(0)
	for _, c := range b.seats.All() {
		if c == nil {
			continue
		}
		if b.seated.Append(c); c.Zone == b.Zone {
			b.ownCaches++
			b.seatedOwn.Append(c)
		}
	}
	b.resetSums()
	// Danger: a zone with few caches can't take what its proxies are asked for. Decided once: it moves keys.
	if fresh {
		b.near = b.CrossPrice*own > extraWorth*math.Pow(float64(b.Zones-1), 2)*b.sizes && b.Zones > 1
	}
}

// OpArrived takes an op; left is how long the client waits for this try; again: it is marked as a later one.
func (b *Balancer) OpArrived(id uint32, key uint64, category, account int, write, again bool, left Time) {
	now, category, account := b.host.Now(), min(category, len(b.kinds)-1), min(account, len(b.tenants)-1)
	cat, t := b.kinds[category], b.tenants[account]
	o := &op{id: id, key: key, cat: cat, tenant: t, write: write, aim: now + left - b.Tick, pushes: b.MostPushes}
	b.ops[id] = o
	// Each tenant's clients wait as they do: one whose waits turn short must not make the others' look wrong.
	try, spent := b.tries[[2]int{category, account}], Time(0)
	if b.MarksRetry && !again {
		try.Set(left)
	} else if b.MarksRetry && !try.Matches(left, cat.TTL/64) || !b.MarksRetry && !try.ObserveFirstTry(left, cat.TTL/64) {
		spent = max(cat.TTL-left, 0) // a last try, with all that is left of the TTL
	}
	if cat.Tardy == 0 && cat.Effect == Redeliverable {
		o.aim = min(now+cat.Target-spent-2*b.Tick, o.aim)
	}
	b.tries[[2]int{category, account}] = try
	if o.due = o.aim; cat.Tardy == 0 {
		o.due = min(o.aim, now+cat.Target)
	}
	o.most, o.lane = min(2+int(cat.Benefit/b.benefit+0.5), b.MostPushes), 1-0.2*(1-cat.Benefit/b.benefit)
	if t.tokens--; t.tokens < 0 {
		t.tokens, o.beyond = t.tokens+1, 1-b.BeyondBenefit
	}
	b.ladder.Observe(category, o.beyond > 0, cat.Benefit*(1-o.beyond))
	// Tries beyond the budget, and ops that hardly any answer reaches in time, take only what others leave.
	over, chance := again && !t.again.TryWithdraw(), 1.0
	if b.all.span.HasEnoughSamples() {
		chance = b.all.span.ShareWithin(b.ticks(o.aim - now))
	}
	if o.lane *= min(2*chance, 1); over {
		o.lane, b.Counts.RetriesOverBudget = o.lane/2, b.Counts.RetriesOverBudget+1
	}
	if key == 0 {
		o.key = uint64(b.rnd.Next())<<32 | uint64(b.rnd.Next())
	}
	// With room at the origin for a copy more a key is hot in doubt, but of many proxies each sees too little.
	o.heat = b.hot.Observe(o.key, b.origin != nil && b.origin.Limit >= 0.5 && b.Proxies <= firstLimit)
	if o.aim <= now || chance < leastChance {
		b.Counts.DeadlineTooShort++
		b.giveUp(o, NoChance)
	} else if over && b.strain > calm {
		b.giveUp(o, PastBudget)
	} else if share := b.gate.AdmittedShare(); share < 1 &&
		b.rnd.Float64() > b.ladder.AdmitShare(category, o.beyond > 0, share) {
		b.gate.ObserveRefusal()
		b.giveUp(o, FleetShort)
	} else if b.Aside && write {
		b.toOrigin(o)
	} else {
		b.toCache(o)
	}
}

// way is how much longer than usual the way to a cache's zone takes, less what the own zone's answers do.
func (b *Balancer) way(c *cache) Time {
	z, own := b.zones[c.Zone], cmp.Or(b.zones[b.Zone], &zone{})
	if way := z.Excess() - max(own.Excess(), 0); c.Zone != b.Zone && way >= b.shortest/4 {
		return way
	}
	return 0
}

// far tells whether the way there alone leaves an op no time; one of some goes all the same, to see.
func (b *Balancer) far(o *op, c *cache, now Time) bool {
	way := b.way(c)
	return way > 0 && way+b.usually(&b.all) > min(o.aim-now, o.cat.Target) && b.rnd.Next()%(8*fullLength) > 0
}

// crowded is how long an op would wait at a cache by its last probe, 0 where that is short, old or unknown.
func (b *Balancer) crowded(c *cache, now Time) Time {
	if c.wait <= b.shortest/4 || now-c.heard > 2*b.shortest {
		return 0
	}
	return c.wait
}

// ask holds an op while its cache is probed: where each proxy sees little of a cache, only its own fresh word
// tells of a queue that all fill together. Probes have a price: one is drawn for as many ops as are worth it.
func (b *Balancer) ask(o *op, c *cache, now Time) bool {
	if !b.Probing || o.probes > candidates || now-c.heard <= b.shortest/4 || o.aim-now < b.shortest/4 ||
		!c.asking && b.crowded(c, now) == 0 && b.rnd.Float64() > b.worth/b.ProbePrice {
		return false
	}
	o.probes, c.held = o.probes+1, append(c.held, o)
	if !c.asking {
		c.asking = true
		b.host.Probe(c.ID)
		b.host.Timer(tokenProbe+uint64(c.ID), b.shortest/16)
	}
	return true
}

// Probed takes a cache's word of how many ops wait there and how many it does in a second; told: it gave it.
func (b *Balancer) Probed(id uint32, told bool, waiting, rate float64) {
	c := b.caches.Get(id)
	if c == nil {
		return
	}
	held := c.held
	c.asking, c.held, c.heard = false, nil, b.host.Now()
	if c.wait = b.shortest / 3; told { // one that told nothing, maybe as it waits itself, bars no op for good
		c.wait = Time(min(10000*waiting/max(rate, 1), 1e6))
	}
	for _, o := range held {
		if !o.done {
			b.toCache(o)
		}
	}
}

func (b *Balancer) toCache(o *op) {
	c, now := b.route(o), b.host.Now()
	switch {
	case c == nil && b.Aside && o.n == 0 && !o.write:
		b.toOrigin(o)
	case c == nil:
		b.giveUp(o, NoCache)
	case b.ask(o, c, now):
	// The word lags, and under strain a queue is worked off slower than it says.
	case float64(b.crowded(c, now)) > float64(o.aim-now)*max(0.5-b.strain, 0.2):
		b.giveUp(o, NoChance)
	case !b.room(c, o):
		b.giveUp(o, NoRoom)
	case b.mayFetch(o) && !b.room(b.shadow, o):
		b.giveUp(o, OriginShort)
	default:
		b.push(o, c)
	}
}

// room tells whether a cache's learned limit lets one more push in. Where even one push from every proxy is
// too much, a limit under one paces: caches that go on with work that nobody waits for would stay jammed.
func (b *Balancer) room(c *cache, o *op) bool {
	limit, now := c.Limit, b.host.Now()
	if c != b.origin { // what has no room there would be held in the queue with nothing out
		limit *= o.lane * (1 - min(max((b.strain-calm)/(1-o.beyond)-0.25, 0), 1))
	}
	return float64(c.out) < limit && now >= c.restUntil &&
		(limit >= 1 || float64(now-c.sentAt) > float64(b.shortest)/4*(1/limit-1))
}

// mayFetch tells whether a cache may have to ask the origin: only such ops wait while that is slow.
func (b *Balancer) mayFetch(o *op) bool { return b.shadow != nil && (o.write || !b.kept.Contains(o.key)) }

// elsewhere asks a copy in another zone before an op is given up for want of an origin beyond a slow way, or
// one not heard of. An origin that is short is no reason: what missed here mostly misses there.
func (b *Balancer) elsewhere(o *op, why GiveUpReason) {
	now, z := b.host.Now(), b.zones[b.origin.Zone]
	if b.near && !o.write && o.n > 0 && o.n < o.pushes && (b.way(b.origin) > 0 || now > z.LastAnswer+4*b.shortest) {
		if c := b.route(o); c != nil && !b.far(o, c, now) {
			b.toCache(o)
			return
		}
	}
	b.giveUp(o, why)
}

func (b *Balancer) toOrigin(o *op) {
	if b.origin == nil {
		b.giveUp(o, NoCache)
		return
	}
	span := float64(b.usually(b.origin))
	wait := float64(b.way(b.origin)) + span*(1+float64(len(b.queue))/b.origin.Limit/(1-0.75*o.beyond))
	if now := b.host.Now(); now+Time(wait) > o.aim && len(b.queue) > 0 || now < b.origin.restUntil {
		b.elsewhere(o, OriginShort)
		return
	}
	b.host.Timer(tokenOp+uint64(o.id), o.due-b.host.Now()) // held until then at most
	at := len(b.queue)
	for at > 0 && b.queue[at-1].lane-b.queue[at-1].beyond < o.lane-o.beyond {
		at--
	}
	b.queue = slices.Insert(b.queue, at, o)
	o.queued = true
	b.pump()
}

func (b *Balancer) pump() {
	for len(b.queue) > 0 && b.origin != nil && b.room(b.origin, b.queue[0]) {
		o := b.queue[0]
		b.queue = b.queue[1:]
		o.queued = false
		if now := b.host.Now(); now < o.due && b.allowed(o, b.origin, now) && b.origin.span.AnswerProbability(
			b.ticks(o.aim-now-b.way(b.origin)), b.ticks(b.target)) >= 2*leastChance {
			b.push(o, b.origin) // with less time left, it would be asked in vain
		} else {
			b.elsewhere(o, TooLate)
		}
	}
}

func (b *Balancer) between(lo, hi Time) Time { return chance.Between(&b.rnd, lo, hi) }

func (b *Balancer) ticks(t Time) float64 { return float64(t) / float64(b.Tick) }

// usually is the median of a cache's answer times.
func (b *Balancer) usually(c *cache) Time { return Time(c.span.Quantile(0.5) * float64(b.Tick)) }

func (b *Balancer) push(o *op, c *cache) {
	now, fetches := b.host.Now(), b.mayFetch(o)
	until := b.until(o, c, now)
	full := until == o.aim && 2*(until-now) >= o.cat.Target
	o.out = append(o.out, push{o.n, c, now, b.gate.AdmittedShare(), fetches, full, until < o.aim})
	if fetches {
		b.shadow.out++
	}
	if c != b.origin {
		o.tried = append(o.tried, c)
	}
	o.n, c.sentAt, c.open = o.n+1, now, true
	b.inFlight(c, 1)
	c.Sent[0]++
	b.gap, b.last = b.gap+(float64(now-b.last)-b.gap)/32, now
	b.host.Push(o.id, c.ID, until)
}

// inFlight books that a push to a cache begins, or has ended.
func (b *Balancer) inFlight(c *cache, change int) {
	if c.out += change; c.ranked {
		b.out += change
	}
}

// until is how long a push is waited for: where answers get lost, so that another cache can still answer.
func (b *Balancer) until(o *op, c *cache, now Time) Time {
	if c == b.origin || b.mayFetch(o) || o.cat.Effect != Redeliverable || o.n+2 > o.most || b.strain >= calm ||
		b.rnd.Next()%fullLength == 0 {
		return o.aim
	}
	if span := evidence.HedgeDelay(&b.all.span, b.silent/max(b.waited, 1), b.ticks(o.aim-now)); span > 0 {
		return min(now+max(Time(span*float64(b.Tick)), b.Tick)+b.way(c), o.aim)
	}
	return o.aim
}

// PushEnded takes a push's one outcome; missed: the cache had to fetch; terminal: nothing more is owed.
func (b *Balancer) PushEnded(id uint32, n int, how Outcome, missed, terminal bool, taken Time) {
	o := cmp.Or(b.ops[id], &op{})
	i := slices.IndexFunc(o.out, func(p push) bool { return p.n == n })
	if i < 0 {
		return
	}
	p := o.out[i]
	c, blamed := p.to, p.to
	o.out = slices.Delete(o.out, i, i+1)
	if !how.NotExecuted() && (o.ran == nil || p.at < o.ran.at) {
		o.ran = &p
	}
	if b.inFlight(c, -1); p.fetches {
		b.shadow.out--
	}
	now, good := b.host.Now(), 0.0
	// Danger: what crosses a slow way comes late from caches and origin that are well: nothing is learned of it.
	z := b.zones[c.Zone]
	answered := how == Acked && !missed || how == Miss
	if c != b.origin && answered {
		z.ObserveAnswer(taken, now)
	}
	if c != b.origin && (answered || how == TimedOut) {
		z.ObserveLowerBound(min(taken, o.cat.Target)) // unanswered, it would have come later
	}
	taken = max(taken-b.way(c), b.Tick)
	load, ill := b.proof(o, p, how, missed, taken)
	if how == Acked || how == Miss {
		good, c.rest = 1, 0
		b.strain -= b.strain * strainDown
		if p.full {
			c.span.Add(b.ticks(taken))
			if c != b.origin {
				b.all.span.Add(b.ticks(taken))
			}
		}
	} else if c == b.origin && how == TimedOut && p.full {
		c.span.Add(4 * b.ticks(taken)) // when it would have come is not known: far later
	} else if c != b.origin && load > 0 {
		b.strain += (1 - b.strain) * strainUp * load
		b.failed = now
	}
	if c != b.origin && (how == ConnectFailed || how == TimedOut && ill >= 0.5) {
		b.sites.RecordFailure(c.Zone, now, 4*b.shortest)
	} else if c != b.origin && how != TimedOut && how != Cancelled && how != NotSent {
		b.sites.RecordAnswer(c.Zone, now)
	}
	if c != b.origin && (how == ConnectFailed || how != ConnectionLost && ill >= 0.25) {
		b.suspect(c)
		// Danger: each of hundreds of proxies finds a bad or crowded cache out by itself, for an op each. Only its
		// own zone gives word, and not of connections: the way, or making new ones, may be at fault.
		if b.Peers && how == TimedOut && c.Zone == b.Zone && b.rnd.Float64()*b.copies < leastChance {
			word := binary.LittleEndian.AppendUint64(nil, uint64(c.ID))
			b.host.SendToPeers(word)
			b.PeerMessageReceived(word)
		}
	} else if how == Acked && !c.slow {
		c.doubt.Clear()
	}
	if c != b.origin && (how == Acked && !missed || how == TimedOut && ill >= 0.5) && b.share(c, now) >= 1 {
		b.reseat = evidence.UpdateSpeeds(b.speeds, c.Kind, b.ticks(taken)) || b.reseat
	}
	b.judged(c, good, ill)
	c.by.Add(o.cat, good, ill)
	b.all.by.Add(o.cat, good, ill)
	if p.full && c != b.origin && (good > 0 || how == TimedOut) {
		b.waited, b.silent = b.waited+1, b.silent+ill
	}
	if how == Miss {
		b.answered(c, missWork) // Danger: counted in full, where most miss, cold caches were sent too many that hit
	} else if how == Acked {
		b.answered(c, 1)
		o.tenant.again.Deposit(againShare, mostAgain)
		// To hundreds few are worth it; one that looks like an id would be taken for a failing cache.
		if b.shadow != nil && b.kept.Add(o.key) && len(b.news) < mostNews &&
			b.rnd.Float64()*b.copies < b.worth && o.key > math.MaxUint32 {
			b.news = binary.LittleEndian.AppendUint64(b.news, o.key)
		}
	}
	// A failed fetch is the origin's fault; but a sick cache's time-outs must not shut the origin for all keys.
	if b.shadow != nil && (missed || p.fetches && how == TimedOut && !b.sick(c)) {
		blamed = b.shadow
	}
	if c != b.origin && answered {
		b.gate.ObservePush(1/max(c.Sent.Sum(), 1), float64(taken)/float64(o.cat.Target), p.share)
	} else if c != b.origin && blamed == c { // a fetch is the origin's; to be turned away is quick
		b.gate.ObservePush(load/max(c.Sent.Sum(), 1), 1, p.share)
	}
	// One measure for all: the tightest category's would cut a cache for work that is naturally longer.
	b.target += (o.cat.Target - b.target) / 64
	b.learn(blamed, how, taken, b.target/3, load)
	if p.fetches && how == Acked && !missed { // kept after all: the shadow must not learn from failures alone
		b.learn(b.shadow, how, taken, b.target/3, load)
	}
	switch {
	case terminal || o.done:
		b.finish(o)
	case len(o.out) > 0:
	case how == Miss && b.Aside && o.n < o.pushes:
		b.toOrigin(o)
	// Under strain a further push mostly meets another full queue, and costs a connection there.
	case missed && how == Errored || now >= o.due || float64(o.n) >= float64(o.most)*(1-b.strain) ||
		o.ran != nil && o.cat.Effect == AtMostOnce:
		b.giveUp(o, NoMorePushes)
	case c == b.origin:
		b.toOrigin(o)
	default:
		b.toCache(o)
	}
	if c == b.origin {
		b.pump()
	}
}

// Reported takes a cache's own word of how long its ops take, which shows what all proxies send it.
func (b *Balancer) Reported(id uint32, pace Time) {
	if c := b.caches.Get(id); c != nil && c != b.origin {
		if c.slow = b.paces.ObserveSlow(c.Kind, float64(pace)); c.slow {
			b.suspect(c)
		}
	}
}

// proof is what a push's end says of load and its cache's health, from 0 to 1 each: one cut short by its op
// just "not by then", a lost answer or quick error nothing of a queue, a broken connection nothing of load.
func (b *Balancer) proof(o *op, p push, how Outcome, missed bool, taken Time) (load, ill float64) {
	usual, fleet := &p.to.span, &b.all.span
	if p.to.shared {
		fleet = usual
	} else if !usual.HasEnoughSamples() {
		usual = fleet
	}
	span, target := b.ticks(taken), b.ticks(o.cat.Target)
	switch {
	case how == Rejected || how == Errored && (missed || p.to.shared):
		return 1, 0
	case how == ConnectionLost:
		return 0, 1
	case how == Errored:
		return evidence.TimeoutWeight(usual, span, target), 1
	case how != TimedOut || b.Aside && b.way(p.to) > 0: // a slow way loses as well
		return 0, 0
	}
	load, ill = evidence.TimeoutWeight(usual, span, target), evidence.TimeoutWeight(fleet, span, target)
	if !p.to.shared {
		load *= 1 - 0.95*evidence.LossProbability(usual, p.to.Good, p.to.Bad, target)
	}
	if p.cut { // it was given up when it was as likely to be slow as to be lost
		ill /= 2
		b.Counts.ShortenedPushes++
	}
	if load < 0.5 {
		b.Counts.InconclusiveTimeouts++
	}
	return load, ill
}

// learn books an outcome to its cache: limit, health, cold budget.
func (b *Balancer) learn(c *cache, how Outcome, taken, inTime Time, load float64) {
	now := b.host.Now()
	switch how {
	case Acked, Miss:
		if usual := b.usually(c); c == b.origin {
			b.row, c.near = 1, min(cmp.Or(c.near, usual), usual)
			c.near += (usual - c.near) / 256
			if taken <= c.near*3/2 { // as ever: it may be free again, and few answers come here to tell
				c.Limit = b.back.ObserveQuick(c.Limit)
			}
		} else if !c.shared && b.Aside { // a miss is all way; taken for work, far caches would shrink to a push
			taken -= b.zones[c.Zone].Baseline
		}
		if taken > inTime && c == b.origin && c.Limit < 1 {
			b.cut(c, now, 0.8)
		} else if taken > inTime {
			b.cut(c, now, 0.95)
		} else if float64(c.out+1) >= c.Limit/2 && (c.shared || c.Limit < 1 || taken < inTime/3) {
			grow := c.Limit / 4
			if c.shared && (c.Limit >= 1 || c.cutAt == 0) {
				grow = c.Limit
			}
			c.Limit += min(1/c.Limit, grow)
		}
	case Rejected:
		b.cut(c, now, 0.8)
	case TimedOut, Errored, ConnectionLost:
		if c == b.origin && load > 0 { // work that nobody waits for jams it: each failure in a row cuts deeper
			b.cut(c, now, 1-(1-0.7*b.row)*load)
			b.row *= 1 - load/2
		} else if load > 0 {
			b.cut(c, now, 1-0.3*load)
		}
		if !c.shared && b.sick(c) {
			b.suspend(c, now)
		}
	case ConnectFailed:
		if c == b.origin { // Danger: taken for short, one beyond a cut way would be left at its least pace after.
			c.rest = 0 // and there is no other to ask meanwhile
		} else {
			b.cut(c, now, 0.7)
		}
		b.suspend(c, now)
	}
}

func (b *Balancer) cut(c *cache, now Time, by float64) {
	if now >= c.cutAt+b.shortest/4 {
		if c == b.origin && b.back.ObserveCut(&c.Limit, by < 0.9) { // its jump was wrong, not the pace ahead of that
			c.cutAt, b.row = now, 1
			return
		}
		if by < 0.9 { // a failure, not one slow answer: start from what is in use
			c.Limit = min(c.Limit, float64(c.out+1))
		}
		c.Limit, c.cutAt = max(c.Limit*by, min(1.0/16, 2/float64(b.Proxies))), now
	}
}

// PeerMessageReceived takes keys that are kept, as a new proxy would fear a fetch for most, and ids of failing caches.
func (b *Balancer) PeerMessageReceived(news []byte) {
	for ; len(news) >= 8; news = news[8:] {
		key := binary.LittleEndian.Uint64(news) // up to 32 bits: a cache's id
		if c := b.caches.Get(uint32(key)); c != nil && key <= math.MaxUint32 {
			c.shun += (1 - c.shun) / 4
		} else if b.shadow != nil && key > math.MaxUint32 {
			b.kept.Add(key)
		}
	}
}

// StreamBegan: the answer is with the client; its outcome will be terminal.
func (b *Balancer) StreamBegan(id uint32) { cmp.Or(b.ops[id], &op{}).most = 0 }

func (b *Balancer) ClientLeft(id uint32) {
	if o := b.ops[id]; o != nil {
		b.finish(o)
	}
}

// HandBack answers an op at once, as the process ends: whatever is out there, this proxy can't wait for it.
func (b *Balancer) HandBack(id uint32) {
	if o := b.ops[id]; o != nil && !o.done {
		b.giveUp(o, Ending)
	}
}

// giveUp answers at once: a nack where a retry is surely safe, else a dead letter.
func (b *Balancer) giveUp(o *op, why GiveUpReason) {
	b.Counts.GivenUp[why]++
	if o.cat.Effect == Redeliverable || len(o.out) == 0 && (o.ran == nil ||
		o.cat.Effect == Deduplicated && o.cat.Group == GroupAll) {
		back := b.between(o.cat.Target/8, o.cat.Target/4)
		if b.host.Now()+back >= o.aim {
			back = b.MaxRetryAfter
		}
		b.host.Nack(o.id, min(back, b.MaxRetryAfter))
	} else {
		b.host.DeadLetter(o.id)
	}
	b.finish(o)
}

func (b *Balancer) finish(o *op) {
	for _, p := range o.out {
		if !o.done && b.Cancelling {
			b.host.Cancel(o.id, p.n)
		}
	}
	if o.done = true; len(o.out) == 0 {
		delete(b.ops, o.id)
	}
	if o.queued {
		b.queue = slices.DeleteFunc(b.queue, func(q *op) bool { return q == o })
		o.queued = false
	}
}

// TimerDue takes back a token; timers can't be unset, so a stale one does nothing.
func (b *Balancer) TimerDue(token uint64) {
	c, o := b.caches.Get(uint32(token-tokenProbe)), b.ops[uint32(token-tokenOp)]
	if token == tokenTick {
		b.tick()
	} else if token == tokenWatch {
		b.host.Watch(true)
	} else if token >= tokenProbe && c != nil && c.asking {
		b.Probed(c.ID, false, 0, 0)
	} else if token < tokenProbe && o != nil && !o.done && len(o.out) == 0 && b.host.Now() >= o.due {
		b.giveUp(o, TooLate)
	}
}
