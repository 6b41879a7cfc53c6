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

const mostOut = 20000 // ops that the lab has out at once; past it the lab is the one that is overloaded

// Load asks what was drawn, and books what comes of it.
type Load struct {
	exp   *experiment.File
	front *Balancer
	book  *ledger.Writer
	meter *measure.Meter
	start time.Time
	tail  sync.WaitGroup
	out   atomic.Int64
}

// NewGenerator makes one; start is when the run's clock began.
func NewGenerator(exp *experiment.File, front *Balancer, book *ledger.Writer, meter *measure.Meter, start time.Time) *Load {
	return &Load{exp: exp, front: front, book: book, meter: meter, start: start}
}

func (l *Load) now() time.Duration { return time.Since(l.start) }

// Run sends all ops, each when it is due after from, and returns when the last has ended. It never waits for an
// answer before the next op is sent.
func (l *Load) Run(from time.Duration, stop <-chan struct{}) {
	draw := New(l.exp)
	for {
		a, more := draw.Next()
		if !more {
			break
		}
		due := from + a.Due
		if wait := due - l.now(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-stop:
				l.tail.Wait()
				return
			}
		}
		if l.out.Load() >= mostOut {
			l.meter.Overload()
			continue
		}
		l.out.Add(1)
		l.tail.Add(1)
		go func() {
			defer l.tail.Done()
			defer l.out.Add(-1)
			l.ask(a, due)
		}()
	}
	l.tail.Wait()
}

// ask is one client's op, from its first try to its end.
func (l *Load) ask(a Arrival, due time.Duration) {
	c := l.exp.Categories[a.Category]
	l.meter.Late(l.now() - due)
	o := measure.Outcome{Due: a.Due, Category: a.Category, Tenant: a.Tenant}
	end := due + c.TTL.Std()
	ran, first := false, due
	for try := 0; try <= l.exp.Clients.Retries; try++ {
		now := l.now()
		wait := min(time.Duration(float64(c.TTL.Std())*a.Patience), end-now)
		if wait < time.Millisecond {
			break
		}
		leave := time.Duration(0)
		if try == 0 && a.Leaves > 0 {
			leave = time.Duration(float64(wait) * a.Leaves)
		}
		o.Tries++
		got := l.try(a, c, try, wait, leave)
		o.Span = l.now() - due
		switch got.how {
		case ledger.AnswerAcked:
			o.Acked = true
			l.meter.Take(o)
			return
		case left:
			o.Left = true
			l.meter.Take(o)
			return
		case ledger.AnswerNacked:
			o.Nacks++
		case unreached, ledger.AnswerIdleClosed:
			// Nothing was taken, so trying again is safe.
		default:
			ran = true
		}
		if ran && (c.Effect == "at-most-once" || c.Effect == "deduplicated" && (c.DedupGroup != "all" || l.now() > first+c.DedupWindow.Std())) {
			break
		}
		back := l.exp.Clients.RetryDelay.Std()
		if got.back > 0 && a.Heeds {
			back = min(got.back, l.exp.Rules.MaxRetryAfter.Std())
		}
		if l.now()+back >= end {
			break
		}
		time.Sleep(back)
	}
	o.Failed = true
	l.meter.Take(o)
}

// How a try ended, beside the ledger's answers.
const (
	left = 100 + iota
	unreached
	silence
)

type answer struct {
	how  uint32
	back time.Duration
}

// ID is a try's: ever new, and its number is known to the ledger.
func ID(n uint64, try int) uint64 { return Mix(n<<6 | uint64(try)) }

// try sends one try and waits for its answer, or for as long as its client waits.
func (l *Load) try(a Arrival, c experiment.Category, try int, wait, leave time.Duration) answer {
	p := l.front.pick(a.Zone, Mix(a.Pick+uint64(try)), a.Due)
	nc, err := l.front.dial(p, a.Zone, l)
	if err != nil {
		return answer{how: unreached}
	}
	id := ID(a.N, try)
	name := fmt.Sprintf("%016x", id)
	props := fmt.Sprintf("c=%s,t=%s,d=%d", c.Name, l.exp.Tenants[a.Tenant].Name, max(wait.Milliseconds(), 1))
	if l.exp.Clients.MarkRetries && try > 0 {
		props += ",r=1"
	}
	key := fmt.Sprintf("%016x", a.Key)
	text := command("CACHE.GET", key, name, props)
	if c.Write {
		text = command("CACHE.SET", key, name, props, strings.Repeat("v", c.Size))
	}
	got := nc.begin(id, name)
	nc.nc.SetWriteDeadline(time.Now().Add(wait))
	broken := l.front.broken(a.Zone, p)
	// The op counts as taken from its last byte on; booked ahead of the write, its answer can't be booked before it.
	at := l.now()
	if _, err := nc.nc.Write([]byte(text)); err != nil {
		nc.nc.Close()
		return answer{how: unreached}
	}
	age, again := p.Age()
	l.book.Append(ledger.Record{Kind: ledger.OpSent, At: at, Op: id, A: nc.life, B: uint32(a.Category), C: uint32(wait / time.Microsecond)})
	span := wait + l.exp.Rules.Slack.Std()
	if leave > 0 {
		span = leave
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case r := <-got:
		if late := l.now() - at; late > wait && (broken || l.front.broken(a.Zone, p)) { // in time, as far as its proxy can know
			l.book.Append(ledger.Record{Kind: ledger.ClientLeft, At: at + wait, Op: id})
		}
		l.meter.Try(age, again, c.Benefit, r.how == ledger.AnswerAcked && l.now()-at <= c.Target.Std())
		if r.how == ledger.AnswerAcked || r.how == ledger.AnswerNacked || r.how == ledger.AnswerDeadLettered {
			l.front.back(nc)
		}
		return r
	case <-timer.C:
	}
	if !nc.quit() { // its answer has come at this very moment
		return <-got
	}
	if broken || l.front.broken(a.Zone, p) { // what the proxy has answered, if it has heard of it, can't be known here
		l.book.Append(ledger.Record{Kind: ledger.ClientLeft, At: l.now(), Op: id})
		l.meter.Try(age, again, c.Benefit, false)
		return answer{how: silence}
	}
	if leave > 0 {
		l.book.Append(ledger.Record{Kind: ledger.ClientLeft, At: l.now(), Op: id, A: 1})
		return answer{how: left}
	}
	l.meter.Try(age, again, c.Benefit, false)
	return answer{how: silence}
}

func command(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}
