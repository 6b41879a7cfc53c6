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

// request is one parsed command.
type request struct {
	key      string
	id       string // ID of the op, as sent
	op       uint64 // the same as a number
	category experiment.Category
	write    bool
	conn     *conn
	answer   chan []byte
}

// lookupWorkDivisor divides the work of a hit to give the work of a lookup that misses in mode "aside".
const lookupWorkDivisor = 8

// handleCommand handles one complete command. A CACHE.GET or CACHE.SET is recorded as a push that the server received.
func (c *Cache) handleCommand(cn *conn, cmd redcon.Command, answer chan []byte) {
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
	req := request{key: string(cmd.Args[1]), id: string(cmd.Args[2]), write: name == "CACHE.SET", conn: cn, answer: answer}
	req.op = OpNumber(req.id)
	props := parseProps(string(cmd.Args[3]))
	req.category = c.world.category(props["c"])
	work := c.world.drawWork(req.category.Work.Std(), req.op, c.Number)
	cn.mu.Lock()
	cn.openPushes[req.op] = true
	cn.mu.Unlock()
	c.world.recordPush(ledger.Record{
		At: c.world.sentAt(cn.netConn),
		Op: req.op,
		A:  c.Number,
		B:  cn.number,
		C:  uint32(work / time.Microsecond),
	}, props)
	delay := c.world.zoneDelay(cn.zone, c.Zone)
	if delay > 0 {
		time.AfterFunc(delay, func() { c.startRequest(req, work) })
	} else {
		c.startRequest(req, work)
	}
}

// startRequest applies the injected faults to a request that has arrived, and queues its work.
func (c *Cache) startRequest(req request, work time.Duration) {
	_, refuse, _, dropAnswer, fail, unresponsive := c.Faults.snapshot()
	switch {
	case unresponsive || c.world.random(req.op, c.Number, "lose") < dropAnswer:
		c.world.Ledger.Append(ledger.Record{
			Kind: ledger.PushEnded,
			At:   c.world.Now(),
			Op:   req.op,
			A:    c.Number,
			B:    req.conn.number,
			C:    ledger.EndUnanswered,
		})
		req.conn.mu.Lock()
		delete(req.conn.openPushes, req.op) // the connection stays open, but this request is never answered
		req.conn.mu.Unlock()
		return
	case c.world.random(req.op, c.Number, "refuse") < refuse:
		req.conn.endPush(req.op, ledger.EndRefused, req.answer, "-BUSY\r\n")
		return
	case c.world.random(req.op, c.Number, "fail") < fail:
		req.conn.endPush(req.op, ledger.EndFailed, req.answer, "-ERR failed\r\n")
		return
	}
	if req.write && c.world.Experiment.Caches.Mode == "aside" {
		req.conn.endPush(req.op, ledger.EndMissed, req.answer, "*3\r\n$-1\r\n$-1\r\n$-1\r\n")
		return
	}
	c.mu.Lock()
	store := c.store
	c.mu.Unlock()
	hit := !req.write && store.has(req.key)
	if !hit && c.world.Experiment.Caches.Mode == "aside" {
		work /= lookupWorkDivisor
	}
	j := &job{work: work}
	j.done = func() { c.completeRequest(req, j, store, hit) }
	req.conn.mu.Lock()
	closed := req.conn.closed
	req.conn.jobs[j] = true
	req.conn.mu.Unlock()
	if closed {
		return
	}
	if !c.queue.offer(j) {
		req.conn.mu.Lock()
		delete(req.conn.jobs, j)
		req.conn.mu.Unlock()
		req.conn.endPush(req.op, ledger.EndRefused, req.answer, "-BUSY "+c.currentLoadReport()+"\r\n")
	}
}

// completeRequest answers a request whose work is done.
func (c *Cache) completeRequest(req request, j *job, store *valueStore, hit bool) {
	req.conn.mu.Lock()
	delete(req.conn.jobs, j)
	closed := req.conn.closed
	req.conn.mu.Unlock()
	switch {
	case hit:
		c.sendValue(req, "hit", ledger.EndAnswered)
	case req.write:
		c.world.applyWrite(req, c.Number, c.Zone)
		c.world.Origin.invalidateCopies(req.key)
		store.remove(req.key)
		c.sendValue(req, "", ledger.EndAnswered)
	case c.world.Experiment.Caches.Mode == "aside":
		if !closed {
			entry, _ := c.world.originMisses.LoadOrStore(req.id, &missedCaches{})
			entry.(*missedCaches).mu.Lock()
			entry.(*missedCaches).caches = append(entry.(*missedCaches).caches, c)
			entry.(*missedCaches).mu.Unlock()
			time.AfterFunc(req.category.TTL.Std(), func() { c.world.originMisses.Delete(req.id) })
		}
		req.conn.endPush(req.op, ledger.EndMissed, req.answer, "*3\r\n$-1\r\n$4\r\nmiss\r\n$"+bulk(c.currentLoadReport())+"\r\n")
	default: // mode "through": the cache fetches from the origin
		if !c.world.Origin.fetch(req.op, func(ok bool) {
			if !ok {
				req.conn.endPush(req.op, ledger.EndFailed, req.answer, "-ERR failed\r\n")
				return
			}
			store.put(req.key, req.category.Size)
			c.sendValue(req, "miss", ledger.EndAnswered)
		}) {
			req.conn.endPush(req.op, ledger.EndFailed, req.answer, "-ERR failed\r\n")
		}
	}
}

// sendValue answers with the value of a read, or with a short value that confirms a write. hitOrMiss is the cache's status in the answer;
// empty: none. end is the ledger's End constant for the push.
func (c *Cache) sendValue(req request, hitOrMiss string, end uint32) {
	_, _, corrupt, _, _, _ := c.Faults.snapshot()
	value := Value(req.key, req.id, req.category.Size)
	if req.write {
		value = Value(req.key, req.id, 1)
	}
	if c.world.random(req.op, c.Number, "spoil") < corrupt {
		req.conn.endPush(req.op, end, req.answer, "*3\r\n$999999\r\n"+value[:min(len(value), 20)]+"\r\n")
		return
	}
	status := "$-1"
	if hitOrMiss != "" {
		status = "$" + bulk(hitOrMiss)
	}
	req.conn.endPush(req.op, end, req.answer, "*3\r\n$"+bulk(value)+"\r\n"+status+"\r\n$"+bulk(c.currentLoadReport())+"\r\n")
}

// bulk formats a RESP bulk string without its "$" and its final line end.
func bulk(s string) string { return fmt.Sprintf("%d\r\n%s", len(s), s) }

// currentLoadReport returns the text of the load report, which is refreshed at most once per reporting interval.
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

// category returns the category of a name, or the first one for an unknown name.
func (w *World) category(name string) experiment.Category {
	for _, c := range w.Experiment.Categories {
		if c.Name == name {
			return c
		}
	}
	return w.Experiment.Categories[0]
}

// applyWrite records a write as applied, unless it repeats a deduplicated write within its deduplication window.
func (w *World) applyWrite(req request, server uint32, zone int) {
	if req.category.Effect == "deduplicated" {
		scope := req.id
		if req.category.DedupGroup == "zone" {
			scope = fmt.Sprint(req.id, "/", zone)
		}
		if _, duplicate := w.appliedWrites.LoadOrStore(scope, true); duplicate {
			return
		}
		time.AfterFunc(req.category.DedupWindow.Std(), func() { w.appliedWrites.Delete(scope) })
	}
	w.Ledger.Append(ledger.Record{Kind: ledger.WriteApplied, At: w.Now(), Op: req.op, A: server})
}

// maxDeadlineMS is the longest deadline that a ledger record can hold: it holds microseconds in 32 bits.
const maxDeadlineMS = math.MaxUint32 / 1000

// recordPush records a received push and the deadline that the proxy forwarded with it; 0 for a missing or invalid deadline.
func (w *World) recordPush(record ledger.Record, props map[string]string) {
	record.Kind = ledger.PushReceived
	w.Ledger.Append(record)
	deadlineMS, err := strconv.ParseFloat(props["d"], 64)
	if err != nil || !(deadlineMS > 0) {
		deadlineMS = 0
	}
	record.Kind, record.C = ledger.DeadlineForwarded, uint32(min(deadlineMS, maxDeadlineMS)*1000)
	w.Ledger.Append(record)
}
