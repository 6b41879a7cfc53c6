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
	conn     *conn
	answer   chan []byte
}

// take takes one whole command: the push is begun now.
func (c *Cache) handleCommand(k *conn, cmd redcon.Command, answer chan []byte) {
	name := strings.ToUpper(string(cmd.Args[0]))
	switch {
	case name == "PING":
		answer <- []byte("+PONG\r\n")
		return
	case name == "INFO" && len(cmd.Args) == 2:
		answer <- redcon.AppendBulkString(nil, c.currentLoadReport())
		return
	case name == "CLIENT" || name == "SELECT":
		answer <- []byte("+OK\r\n")
		return
	case name == "CACHE.GET" && len(cmd.Args) == 4, name == "CACHE.SET" && len(cmd.Args) == 5:
	default:
		answer <- []byte("-SYNTAX\r\n")
		return
	}
	req := request{key: string(cmd.Args[1]), id: string(cmd.Args[2]), write: name == "CACHE.SET", conn: k, answer: answer}
	req.op = OpNumber(req.id)
	props := parseProps(string(cmd.Args[3]))
	req.category = c.world.category(props["c"])
	work := c.world.drawWork(req.category.Work.Std(), req.op, c.Number)
	k.mu.Lock()
	k.openPushes[req.op] = true
	k.mu.Unlock()
	c.world.recordPush(ledger.Record{At: c.world.sentAt(k.netConn), Op: req.op, A: c.Number, B: k.number, C: uint32(work / time.Microsecond)}, props)
	way := c.world.zoneDelay(k.zone, c.Zone)
	if way > 0 {
		time.AfterFunc(way, func() { c.startRequest(req, work) })
	} else {
		c.startRequest(req, work)
	}
}

// begin has the command at the server.
func (c *Cache) startRequest(r request, work time.Duration) {
	_, refuse, _, lose, failing, vanished := c.Faults.snapshot()
	switch {
	case vanished || c.world.random(r.op, c.Number, "lose") < lose:
		c.world.Ledger.Append(ledger.Record{Kind: ledger.PushEnded, At: c.world.Now(), Op: r.op, A: c.Number, B: r.conn.number, C: ledger.EndUnanswered})
		r.conn.mu.Lock()
		delete(r.conn.openPushes, r.op) // it stays owed, on an open connection
		r.conn.mu.Unlock()
		return
	case c.world.random(r.op, c.Number, "refuse") < refuse:
		r.conn.endPush(r.op, ledger.EndRefused, r.answer, "-BUSY\r\n")
		return
	case c.world.random(r.op, c.Number, "fail") < failing:
		r.conn.endPush(r.op, ledger.EndFailed, r.answer, "-ERR failed\r\n")
		return
	}
	if r.write && c.world.Experiment.Caches.Mode == "aside" {
		r.conn.endPush(r.op, ledger.EndMissed, r.answer, "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
		return
	}
	c.mu.Lock()
	store := c.store
	c.mu.Unlock()
	hit := !r.write && store.has(r.key)
	if !hit && c.world.Experiment.Caches.Mode == "aside" {
		work /= 8 // looking is little work
	}
	j := &job{work: work}
	j.done = func() { c.completeRequest(r, j, store, hit) }
	r.conn.mu.Lock()
	gone := r.conn.closed
	r.conn.pendingJobs[j] = true
	r.conn.mu.Unlock()
	if gone {
		return
	}
	if !c.queue.offer(j) {
		r.conn.mu.Lock()
		delete(r.conn.pendingJobs, j)
		r.conn.mu.Unlock()
		r.conn.endPush(r.op, ledger.EndRefused, r.answer, "-BUSY "+c.currentLoadReport()+"\r\n")
	}
}

// served has the work done.
func (c *Cache) completeRequest(r request, j *job, store *valueStore, hit bool) {
	r.conn.mu.Lock()
	delete(r.conn.pendingJobs, j)
	gone := r.conn.closed
	r.conn.mu.Unlock()
	switch {
	case hit:
		c.sendValue(r, "hit", ledger.EndAnswered)
	case r.write:
		c.world.applyWrite(r, c.Number, c.Zone)
		c.world.Origin.invalidateCopies(r.key)
		store.remove(r.key)
		c.sendValue(r, "", ledger.EndAnswered)
	case c.world.Experiment.Caches.Mode == "aside":
		if !gone {
			m, _ := c.world.originMisses.LoadOrStore(r.id, &missedCaches{})
			m.(*missedCaches).mu.Lock()
			m.(*missedCaches).caches = append(m.(*missedCaches).caches, c)
			m.(*missedCaches).mu.Unlock()
			time.AfterFunc(r.category.TTL.Std(), func() { c.world.originMisses.Delete(r.id) })
		}
		r.conn.endPush(r.op, ledger.EndMissed, r.answer, "*3\r\n$-1\r\n$4\r\nmiss\r\n$"+bulk(c.currentLoadReport())+"\r\n")
	default: // through: it fetches by itself
		if !c.world.Origin.fetch(r.op, func(ok bool) {
			if !ok {
				r.conn.endPush(r.op, ledger.EndFailed, r.answer, "-ERR failed\r\n")
				return
			}
			store.put(r.key, r.category.Size)
			c.sendValue(r, "miss", ledger.EndAnswered)
		}) {
			r.conn.endPush(r.op, ledger.EndFailed, r.answer, "-ERR failed\r\n")
		}
	}
}

// reply gives the value, or a write's receipt.
func (c *Cache) sendValue(r request, hitOrMiss string, end uint32) {
	_, _, spoil, _, _, _ := c.Faults.snapshot()
	value := Value(r.key, r.id, r.category.Size)
	if r.write {
		value = Value(r.key, r.id, 1)
	}
	if c.world.random(r.op, c.Number, "spoil") < spoil {
		r.conn.endPush(r.op, end, r.answer, "*3\r\n$999999\r\n"+value[:min(len(value), 20)]+"\r\n")
		return
	}
	status := "$-1"
	if hitOrMiss != "" {
		status = "$" + bulk(hitOrMiss)
	}
	r.conn.endPush(r.op, end, r.answer, "*3\r\n$"+bulk(value)+"\r\n"+status+"\r\n$"+bulk(c.currentLoadReport())+"\r\n")
}

func bulk(s string) string { return fmt.Sprintf("%d\r\n%s", len(s), s) }

// load is the load report, refreshed now and then only.
func (c *Cache) currentLoadReport() string {
	running, waiting := c.queue.load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.reportedAt) > c.world.Experiment.Caches.ReportEvery.Std() {
		c.reportedAt = time.Now()
		c.loadReport = fmt.Sprintf("inflight=%d,queue=%d", running, waiting)
	}
	return c.loadReport
}

// category finds one by its name; an unknown name is the first.
func (w *World) category(name string) experiment.Category {
	for _, c := range w.Experiment.Categories {
		if c.Name == name {
			return c
		}
	}
	return w.Experiment.Categories[0]
}

// effect carries a write out, but for a repeat of a deduplicated one that its group still remembers.
func (w *World) applyWrite(r request, server uint32, zone int) {
	if r.category.Effect == "deduplicated" {
		group := r.id
		if r.category.DedupGroup == "zone" {
			group = fmt.Sprint(r.id, "/", zone)
		}
		if _, duplicate := w.appliedWrites.LoadOrStore(group, true); duplicate {
			return
		}
		time.AfterFunc(r.category.DedupWindow.Std(), func() { w.appliedWrites.Delete(group) })
	}
	w.Ledger.Append(ledger.Record{Kind: ledger.WriteApplied, At: w.Now(), Op: r.op, A: server})
}

// longestDeadline is the longest that a record holds, in milliseconds.
const maxDeadlineMS = math.MaxUint32 / 1000

// push books a push, and the deadline that it passed.
func (w *World) recordPush(r ledger.Record, props map[string]string) {
	r.Kind = ledger.PushReceived
	w.Ledger.Append(r)
	ms, err := strconv.ParseFloat(props["d"], 64)
	if err != nil || !(ms > 0) {
		ms = 0
	}
	r.Kind, r.C = ledger.DeadlineForwarded, uint32(min(ms, maxDeadlineMS)*1000)
	w.Ledger.Append(r)
}
