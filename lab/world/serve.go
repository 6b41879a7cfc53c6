package world

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
)

// request is one command, taken apart.
type request struct {
	key, id  string
	op       uint64
	category experiment.Category
	write    bool
	place    *link
	answer   chan []byte
}

// take takes one whole command: the push is begun now.
func (c *Cache) take(k *link, cmd redcon.Command, answer chan []byte) {
	name := strings.ToUpper(string(cmd.Args[0]))
	switch {
	case name == "PING":
		answer <- []byte("+PONG\r\n")
		return
	case name == "INFO" && len(cmd.Args) == 2:
		answer <- redcon.AppendBulkString(nil, c.load())
		return
	case name == "CLIENT" || name == "SELECT":
		answer <- []byte("+OK\r\n")
		return
	case name == "CACHE.GET" && len(cmd.Args) == 4, name == "CACHE.SET" && len(cmd.Args) == 5:
	default:
		answer <- []byte("-SYNTAX\r\n")
		return
	}
	r := request{key: string(cmd.Args[1]), id: string(cmd.Args[2]), write: name == "CACHE.SET", place: k, answer: answer}
	r.op = Number(r.id)
	props := words(string(cmd.Args[3]))
	r.category = c.w.category(props["c"])
	work := c.w.work(r.category.Work.Std(), r.op, c.Number)
	k.mu.Lock()
	k.open[r.op] = true
	k.mu.Unlock()
	c.w.push(ledger.Record{At: c.w.sent(k.nc), Op: r.op, A: c.Number, B: k.number, C: uint32(work / time.Microsecond)}, props)
	way := c.w.delay(k.zone, c.Zone)
	if way > 0 {
		time.AfterFunc(way, func() { c.begin(r, work) })
	} else {
		c.begin(r, work)
	}
}

// begin has the command at the server.
func (c *Cache) begin(r request, work time.Duration) {
	_, refuse, _, lose, failing, vanished := c.Fault.get()
	switch {
	case vanished || c.w.draw(r.op, c.Number, "lose") < lose:
		c.w.Book.Append(ledger.Record{Kind: ledger.PushEnded, At: c.w.Now(), Op: r.op, A: c.Number, B: r.place.number, C: ledger.EndUnanswered})
		r.place.mu.Lock()
		delete(r.place.open, r.op) // it stays owed, on an open connection
		r.place.mu.Unlock()
		return
	case c.w.draw(r.op, c.Number, "refuse") < refuse:
		r.place.over(r.op, ledger.EndRefused, r.answer, "-BUSY\r\n")
		return
	case c.w.draw(r.op, c.Number, "fail") < failing:
		r.place.over(r.op, ledger.EndFailed, r.answer, "-ERR failed\r\n")
		return
	}
	if r.write && c.w.Exp.Caches.Mode == "aside" {
		r.place.over(r.op, ledger.EndMissed, r.answer, "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
		return
	}
	c.mu.Lock()
	store := c.store
	c.mu.Unlock()
	hit := !r.write && store.has(r.key)
	if !hit && c.w.Exp.Caches.Mode == "aside" {
		work /= 8 // looking is little work
	}
	j := &job{work: work}
	j.done = func() { c.served(r, j, store, hit) }
	r.place.mu.Lock()
	gone := r.place.gone
	r.place.jobs[j] = true
	r.place.mu.Unlock()
	if gone {
		return
	}
	if !c.station.offer(j) {
		r.place.mu.Lock()
		delete(r.place.jobs, j)
		r.place.mu.Unlock()
		r.place.over(r.op, ledger.EndRefused, r.answer, "-BUSY "+c.load()+"\r\n")
	}
}

// served has the work done.
func (c *Cache) served(r request, j *job, store *store, hit bool) {
	r.place.mu.Lock()
	delete(r.place.jobs, j)
	gone := r.place.gone
	r.place.mu.Unlock()
	switch {
	case hit:
		c.reply(r, "hit", ledger.EndAnswered)
	case r.write:
		c.w.effect(r, c.Number, c.Zone)
		c.w.Origin.store(r.key)
		store.drop(r.key)
		c.reply(r, "", ledger.EndAnswered)
	case c.w.Exp.Caches.Mode == "aside":
		if !gone {
			m, _ := c.w.missed.LoadOrStore(r.id, &missing{})
			m.(*missing).mu.Lock()
			m.(*missing).caches = append(m.(*missing).caches, c)
			m.(*missing).mu.Unlock()
			time.AfterFunc(r.category.TTL.Std(), func() { c.w.missed.Delete(r.id) })
		}
		r.place.over(r.op, ledger.EndMissed, r.answer, "*3\r\n$-1\r\n$4\r\nmiss\r\n$"+bulk(c.load())+"\r\n")
	default: // through: it fetches by itself
		if !c.w.Origin.fetch(r.op, func(ok bool) {
			if !ok {
				r.place.over(r.op, ledger.EndFailed, r.answer, "-ERR failed\r\n")
				return
			}
			store.put(r.key, r.category.Size)
			c.reply(r, "miss", ledger.EndAnswered)
		}) {
			r.place.over(r.op, ledger.EndFailed, r.answer, "-ERR failed\r\n")
		}
	}
}

// reply gives the value, or a write's receipt.
func (c *Cache) reply(r request, how string, end uint32) {
	_, _, spoil, _, _, _ := c.Fault.get()
	value := Value(r.key, r.id, r.category.Size)
	if r.write {
		value = Value(r.key, r.id, 1)
	}
	if c.w.draw(r.op, c.Number, "spoil") < spoil {
		r.place.over(r.op, end, r.answer, "*3\r\n$999999\r\n"+value[:min(len(value), 20)]+"\r\n")
		return
	}
	word := "$-1"
	if how != "" {
		word = "$" + bulk(how)
	}
	r.place.over(r.op, end, r.answer, "*3\r\n$"+bulk(value)+"\r\n"+word+"\r\n$"+bulk(c.load())+"\r\n")
}

func bulk(s string) string { return fmt.Sprintf("%d\r\n%s", len(s), s) }

// load is the load report, refreshed now and then only.
func (c *Cache) load() string {
	running, waiting := c.station.load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.reported) > c.w.Exp.Caches.ReportEvery.Std() {
		c.reported = time.Now()
		c.report = fmt.Sprintf("inflight=%d,queue=%d", running, waiting)
	}
	return c.report
}

// category finds one by its name; an unknown name is the first.
func (w *World) category(name string) experiment.Category {
	for _, c := range w.Exp.Categories {
		if c.Name == name {
			return c
		}
	}
	return w.Exp.Categories[0]
}

// effect carries a write out, but for a repeat of a deduplicated one that its group still remembers.
func (w *World) effect(r request, server uint32, zone int) {
	if r.category.Effect == "deduplicated" {
		group := r.id
		if r.category.DedupGroup == "zone" {
			group = fmt.Sprint(r.id, "/", zone)
		}
		if _, again := w.repeat.LoadOrStore(group, true); again {
			return
		}
		time.AfterFunc(r.category.DedupWindow.Std(), func() { w.repeat.Delete(group) })
	}
	w.Book.Append(ledger.Record{Kind: ledger.WriteApplied, At: w.Now(), Op: r.op, A: server})
}

// longestDeadline is the longest that a record holds, in milliseconds.
const longestDeadline = math.MaxUint32 / 1000

// push books a push, and the deadline that it passed.
func (w *World) push(r ledger.Record, props map[string]string) {
	r.Kind = ledger.PushReceived
	w.Book.Append(r)
	ms, err := strconv.ParseFloat(props["d"], 64)
	if err != nil || !(ms > 0) {
		ms = 0
	}
	r.Kind, r.C = ledger.DeadlineForwarded, uint32(min(ms, longestDeadline)*1000)
	w.Book.Append(r)
}
