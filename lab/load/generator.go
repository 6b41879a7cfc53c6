package load

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/measure"
)

// maxOpenOps is the largest number of ops in progress. If it is reached, the lab itself is overloaded and skips ops.
const maxOpenOps = 20000

// minTryWait is the shortest wait of a try: with less than this left of its time, a client starts none.
const minTryWait = time.Millisecond

// triesPerOpBits is the number of bits of a try's ID that hold the number of the try.
const triesPerOpBits = 6

// Generator sends the ops of an experiment, and records what becomes of them.
type Generator struct {
	exp      *experiment.File
	balancer *Balancer
	ledger   *ledger.Writer
	meter    *measure.Meter
	start    time.Time // of the run's clock
	running  sync.WaitGroup
	open     atomic.Int64 // ops in progress
}

// NewGenerator returns a generator for an experiment. start is the time at which the run's clock began.
func NewGenerator(exp *experiment.File, balancer *Balancer, records *ledger.Writer, meter *measure.Meter, start time.Time) *Generator {
	return &Generator{exp: exp, balancer: balancer, ledger: records, meter: meter, start: start}
}

// now returns the time on the run's clock.
func (g *Generator) now() time.Duration { return time.Since(g.start) }

// Run sends each op when it is due, counted from loadStart on the run's clock. It does not wait for an answer before it sends
// the next op. It returns when all ops have ended. Once stop is closed, it ends the next time that it waits for an op to be
// due: while it is behind, it does not check stop.
func (g *Generator) Run(loadStart time.Duration, stop <-chan struct{}) {
	arrivals := NewArrivals(g.exp)
	for {
		arrival, more := arrivals.Next()
		if !more {
			break
		}
		due := loadStart + arrival.Due
		if wait := due - g.now(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-stop:
				g.running.Wait()
				return
			}
		}
		if g.open.Load() >= maxOpenOps {
			g.meter.RecordUnsent()
			continue
		}
		g.open.Add(1)
		g.running.Add(1)
		go func() {
			defer g.running.Done()
			defer g.open.Add(-1)
			g.runOp(arrival, due)
		}()
	}
	g.running.Wait()
}

// runOp carries out one op, with its retries.
func (g *Generator) runOp(arrival Arrival, due time.Duration) {
	category := g.exp.Categories[arrival.Category]
	g.meter.RecordSendDelay(g.now() - due)
	outcome := measure.Outcome{Due: arrival.Due, Category: arrival.Category, Tenant: arrival.Tenant}
	end := due + category.TTL.Std()
	// The deduplication window is counted from dedupStart, the earliest time at which the first try can have been sent.
	mayHaveRun, dedupStart := false, due
	for try := 0; try <= g.exp.Clients.Retries; try++ {
		now := g.now()
		wait := min(time.Duration(float64(category.TTL.Std())*arrival.TryTimeoutShare), end-now)
		if wait < minTryWait {
			break
		}
		leaveAfter := time.Duration(0)
		if try == 0 && arrival.LeaveShare > 0 {
			leaveAfter = time.Duration(float64(wait) * arrival.LeaveShare)
		}
		outcome.Tries++
		got := g.runTry(arrival, category, try, wait, leaveAfter)
		outcome.Latency = g.now() - due
		switch got.result {
		case ledger.AnswerAcked:
			outcome.Acked = true
			g.meter.RecordOutcome(outcome)
			return
		case resultLeft:
			outcome.Left = true
			g.meter.RecordOutcome(outcome)
			return
		case ledger.AnswerNacked:
			outcome.Nacks++
		case resultUnreached, ledger.AnswerIdleClosed:
			// The proxy did not read the op, so a retry is safe.
		default:
			mayHaveRun = true
		}
		if mayHaveRun && (category.Effect == "at-most-once" || category.Effect == "deduplicated" && (category.DedupGroup != "all" || g.now() > dedupStart+category.DedupWindow.Std())) {
			break
		}
		retryAfter := g.exp.Clients.RetryDelay.Std()
		if got.retryAfter > 0 && arrival.HonorsRetryAfter {
			retryAfter = min(got.retryAfter, g.exp.Rules.MaxRetryAfter.Std())
		}
		if g.now()+retryAfter >= end {
			break
		}
		time.Sleep(retryAfter)
	}
	outcome.Failed = true
	g.meter.RecordOutcome(outcome)
}

// Results of a try that are not answers. They must differ from the ledger's Answer constants.
const (
	resultLeft      = 100 + iota // the client left by itself
	resultUnreached              // the op did not reach a proxy
	resultTimeout                // no answer within the client's wait
)

// tryResult is the result of a try, with or without an answer.
type tryResult struct {
	result     uint32 // one of the ledger's Answer constants or of the results above
	retryAfter time.Duration
}

// tryID returns the ID of a try of the op with number seq. No two tries have the same ID. In the ledger each try is an op of its
// own, with this ID.
func tryID(seq uint64, try int) uint64 { return Mix64(seq<<triesPerOpBits | uint64(try)) }

// runTry sends one try, and waits for its answer or until the client stops waiting. If leaveAfter is above 0, the client
// leaves after that time.
func (g *Generator) runTry(arrival Arrival, category experiment.Category, try int, wait, leaveAfter time.Duration) tryResult {
	proxy := g.balancer.pick(arrival.Zone, Mix64(arrival.ProxyChoice+uint64(try)), arrival.Due)
	c, err := g.balancer.acquire(proxy, arrival.Zone, g)
	if err != nil {
		return tryResult{result: resultUnreached}
	}
	id := tryID(arrival.Seq, try)
	// The servers begin a value with the text that they are sent, so a value made for another try is detected.
	valuePrefix := fmt.Sprintf("%016x", id)
	props := fmt.Sprintf("c=%s,t=%s,d=%d", category.Name, g.exp.Tenants[arrival.Tenant].Name, max(wait.Milliseconds(), 1))
	if g.exp.Clients.MarkRetries && try > 0 {
		props += ",r=1"
	}
	key := fmt.Sprintf("%016x", arrival.Key)
	request := command("CACHE.GET", key, valuePrefix, props)
	if category.Write {
		request = command("CACHE.SET", key, valuePrefix, props, strings.Repeat("v", category.Size))
	}
	answers := c.begin(id, valuePrefix)
	c.netConn.SetWriteDeadline(time.Now().Add(wait))
	linkFaulty := g.balancer.linkFaulty(arrival.Zone, proxy)
	// OpSent is recorded once the whole op is written, but with the time before the write, so that no answer has an earlier
	// time than its op.
	sentAt := g.now()
	if _, err := c.netConn.Write([]byte(request)); err != nil {
		c.netConn.Close()
		return tryResult{result: resultUnreached}
	}
	processAge, restarted := proxy.ProcessAge()
	g.ledger.Append(ledger.Record{Kind: ledger.OpSent, At: sentAt, Op: id, A: c.incarnation, B: uint32(arrival.Category), C: uint32(wait / time.Microsecond)})
	timeout := wait + g.exp.Rules.Slack.Std()
	if leaveAfter > 0 {
		timeout = leaveAfter
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case got := <-answers:
		if latency := g.now() - sentAt; latency > wait && (linkFaulty || g.balancer.linkFaulty(arrival.Zone, proxy)) {
			// The proxy may have answered in time: the link may have delayed the answer. ClientLeft with A 0 excuses the delay.
			g.ledger.Append(ledger.Record{Kind: ledger.ClientLeft, At: sentAt + wait, Op: id})
		}
		g.meter.RecordTry(processAge, restarted, category.Benefit, got.result == ledger.AnswerAcked && g.now()-sentAt <= category.Target.Std())
		if got.result == ledger.AnswerAcked || got.result == ledger.AnswerNacked || got.result == ledger.AnswerDeadLettered {
			g.balancer.release(c)
		}
		return got
	case <-timer.C:
	}
	if !c.abort() { // the answer came just now
		return <-answers
	}
	if linkFaulty || g.balancer.linkFaulty(arrival.Zone, proxy) {
		// It is unknown whether the proxy received the op, and what it answered: A of ClientLeft stays 0.
		g.ledger.Append(ledger.Record{Kind: ledger.ClientLeft, At: g.now(), Op: id})
		g.meter.RecordTry(processAge, restarted, category.Benefit, false)
		return tryResult{result: resultTimeout}
	}
	if leaveAfter > 0 {
		g.ledger.Append(ledger.Record{Kind: ledger.ClientLeft, At: g.now(), Op: id, A: 1})
		return tryResult{result: resultLeft}
	}
	g.meter.RecordTry(processAge, restarted, category.Benefit, false)
	return tryResult{result: resultTimeout}
}

// command encodes a command as a RESP array of bulk strings.
func command(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}
