// Command 2 sends several requests at once on a client's connection, the first of them for a long value. The cache node resets its
// connection in the middle of that value. The case judges whether each of the requests behind it gets a final answer.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"minttray/review/rig"
)

const (
	cacheCount = 9
	rounds     = 24
	cutEvery   = 4       // one long value in so many is cut
	longSize   = 1 << 20 // bytes of a long value
	cutAt      = 300_000 // bytes of the answer that a cut value comes to
	cutAfter   = 150 * time.Millisecond
	wait       = 1500 * time.Millisecond // how long the client waits: d
	// A final answer may come half a second after the request's time, and each limit is 50 ms longer on sockets.
	lostAfter = wait + 500*time.Millisecond + 50*time.Millisecond
)

func main() {
	record, err := rig.OpenRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.CantGo)
	}
	status, err := play(record)
	if err != nil {
		record.Say("the case could not run: %v", err)
		status = rig.CantGo
	}
	os.Exit(status)
}

// world is what the goroutines of a run share.
type world struct {
	record *rig.Record
	ran    sync.Map // by request id: the server that has run it and written its whole answer
}

// cacheNode answers a request for a long value with it, and cuts those whose key says so if the run has its disruption.
func (w *world) cacheNode(c *net.TCPConn, cmd rig.Command) bool {
	key, id := cmd.Words[1], cmd.Words[2]
	if !strings.HasPrefix(key, "long") {
		time.Sleep(5 * time.Millisecond)
		if _, err := io.WriteString(c, rig.Hit(rig.Value(id, 24))); err != nil {
			return false
		}
		w.ran.Store(id, "a cache node")
		w.record.Add("a cache node has answered %s", id)
		return true
	}
	answer := rig.Hit(rig.Value(id, longSize))
	if rig.Trouble() && strings.HasPrefix(key, "long-cut") {
		io.WriteString(c, answer[:cutAt])
		time.Sleep(cutAfter)
		w.record.Add("a cache node resets its connection after %d bytes of the answer to %s", cutAt, id)
		c.SetLinger(0)
		return false
	}
	if _, err := io.WriteString(c, answer[:cutAt]); err != nil {
		return false
	}
	time.Sleep(cutAfter)
	_, err := io.WriteString(c, answer[cutAt:])
	w.record.Add("a cache node has written all of the answer to %s, error %v", id, err)
	return err == nil
}

// origin carries out a write and answers with its receipt.
func (w *world) origin(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	io.Copy(io.Discard, r.Body)
	time.Sleep(20 * time.Millisecond)
	w.ran.Store(id, "the origin")
	w.record.Add("the origin has run the %s of %s and answers", r.Method, id)
	io.WriteString(out, rig.Value(id, 24))
}

// round plays one connection and returns the ids of the requests that were lost.
func (w *world) round(addr string, n int) (lost []string, err error) {
	c, err := rig.Dial(addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	kind := "long-whole"
	if n%cutEvery == 0 {
		kind = "long-cut"
	}
	ids := []string{}
	for i := range 4 {
		ids = append(ids, fmt.Sprintf("r%02d-%d", n, i))
	}
	text := rig.Encode("CACHE.GET", fmt.Sprintf("%s-%02d", kind, n), ids[0], "c=tile-read,t=acme,d=1500") +
		rig.Encode("CACHE.SET", fmt.Sprintf("pack-%02d", n), ids[1], "c=pack-purchase,t=acme,d=1500", "one pack for "+ids[1]) +
		rig.Encode("CACHE.GET", fmt.Sprintf("tile-%02d", n), ids[2], "c=tile-read,t=acme,d=1500") +
		rig.Encode("CACHE.GET", fmt.Sprintf("tile-%02d", n+100), ids[3], "c=tile-read,t=acme,d=1500")
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	sent := time.Now()
	w.record.Add("client sends %s (%s), %s (pack-purchase), %s and %s (tile-read) on one connection", ids[0], kind, ids[1], ids[2], ids[3])
	last := sent // when the answer before came: the wait for it does not count
	for i, id := range ids {
		due := sent.Add(lostAfter)
		if late := last.Add(500 * time.Millisecond); late.After(due) {
			due = late
		}
		c.SetReadDeadline(due)
		reply, err := rig.ReadReply(c.Reader)
		last = time.Now()
		if err == nil {
			w.record.Add("client got %q (%d bytes) for %s", reply[:min(len(reply), 24)], len(reply), id)
			continue
		}
		w.record.Add("client got no whole answer for %s after %v: %s %v", id, last.Sub(sent).Round(time.Millisecond), reply, err)
		if i == 0 {
			continue // begun and not finished: it has failed, and the client can tell
		}
		// A request that the proxy has not read may be sent again, so only one that a server has run counts.
		if server, ran := w.ran.Load(id); ran {
			w.record.Add("LOST: %s was run and answered by %s, and its client got no answer", id, server)
			lost = append(lost, id)
		}
	}
	return lost, nil
}

func play(record *rig.Record) (status int, err error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return rig.CantGo, err
	}
	defer os.RemoveAll(folder)
	w := &world{record: record}
	var list []rig.Instance
	for i := range cacheCount {
		cache, err := rig.NewCache(fmt.Sprintf("s-%d", i), w.cacheNode)
		if err != nil {
			return rig.CantGo, err
		}
		list = append(list, rig.Node(cache.ID, cache.Addr(), "std"))
	}
	origin, err := rig.NewOrigin(w.origin)
	if err != nil {
		return rig.CantGo, err
	}
	list = append(list, rig.Node("map-store", origin.Addr(), "origin"))
	discovery, err := rig.NewDiscovery(list)
	if err != nil {
		return rig.CantGo, err
	}
	listen, err := rig.FreeAddr()
	if err != nil {
		return rig.CantGo, err
	}
	classes := []rig.Object{rig.Class("tile-read", "read_like", 600, 1500), rig.Class("pack-purchase", "non_idempotent", 2500, 6000)}
	proxy, err := rig.Start(folder, rig.Launch{Name: "n0", Listen: listen, Discovery: discovery.Addr(), MemoryMB: 192, Sockets: 1024, Cores: 1,
		Known: discovery.Document(), Settings: rig.Settings(4, 0, classes)})
	if err != nil {
		return rig.CantGo, err
	}
	defer proxy.Kill()
	var lost []string
	for n := range rounds {
		inRound, err := w.round(listen, n)
		if err != nil {
			return rig.CantGo, err
		}
		lost = append(lost, inRound...)
		time.Sleep(100 * time.Millisecond)
	}
	rig.CopyLog(record, folder, "n0")
	if proxy.Ended() {
		record.Say("the proxy has ended by itself")
		return rig.Broken, nil
	}
	record.Say("%d connections, %d requests behind a long value; run and never answered: %d %v", rounds, 3*rounds, len(lost), lost)
	if len(lost) > 0 {
		record.Say("BROKEN: no op is lost")
		return rig.Broken, nil
	}
	record.Say("held")
	return rig.Held, nil
}
