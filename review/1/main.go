// Command 1 asks one proxy for long values, which the cache nodes write slowly and in small pieces, beside short requests of other
// clients, and judges by the clients' clocks whether each short request got its answer within its time and half a second.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"minttray/review/rig"
)

const (
	cacheCount   = 9
	longClients  = 24
	longSize     = 4 << 20                // bytes of a long value
	longTime     = 6 * time.Second        // that a slow cache node takes to write it
	pieceTime    = 20 * time.Millisecond  // between two pieces
	shortClients = 60                     // each with one request at a time
	shortPause   = 250 * time.Millisecond // between an answer and the next request
	shortWait    = 600 * time.Millisecond // how long the client of a short request waits: d
	runTime      = 11 * time.Second
	// A final answer may come half a second after the request's time, and each limit is 50 ms longer on sockets.
	lostAfter = shortWait + 500*time.Millisecond + 50*time.Millisecond
	// stallLimit is the lateness of this program's own clock at which the run proves nothing.
	stallLimit = 150 * time.Millisecond
)

func main() {
	folder := os.Args[1]
	record, err := rig.OpenRecord(folder)
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
	record    *rig.Record
	forwarded sync.Map // ids that a cache node has got
	lost      atomic.Int64
	answered  atomic.Int64
	refused   atomic.Int64
	unread    atomic.Int64
	foreign   atomic.Int64
}

// cacheNode answers a short request after 5 ms, and a long one with a long value, slowly if the run has its disruption.
func (w *world) cacheNode(c *net.TCPConn, cmd rig.Command) bool {
	key, id := cmd.Words[1], cmd.Words[2]
	w.forwarded.Store(id, true)
	if !strings.HasPrefix(key, "long") {
		time.Sleep(5 * time.Millisecond)
		_, err := io.WriteString(c, rig.Hit(rig.Value(id, 24)))
		return err == nil
	}
	answer := rig.Hit(rig.Value(id, longSize))
	if rig.Trouble() {
		pieces := int(longTime / pieceTime)
		for begun, i := time.Now(), 0; i < pieces; i++ {
			from, to := len(answer)*i/pieces, len(answer)*(i+1)/pieces
			if _, err := io.WriteString(c, answer[from:to]); err != nil {
				return false
			}
			time.Sleep(time.Until(begun.Add(time.Duration(i+1) * pieceTime)))
		}
	} else if _, err := io.WriteString(c, answer); err != nil {
		return false
	}
	w.record.Add("cache node has written the long value of %s", id)
	return true
}

// longClient asks for a long value and reads it at once as it comes.
func (w *world) longClient(addr string, n int) {
	c, err := rig.Dial(addr)
	if err != nil {
		return
	}
	defer c.Close()
	id := fmt.Sprintf("long-%02d", n)
	w.record.Add("client asks for the long value %s", id)
	sent := time.Now()
	io.WriteString(c, rig.Encode("CACHE.GET", fmt.Sprintf("long%02d", n), id, "c=pickup-info,t=acme,d=2000"))
	reply, err := rig.ReadReply(c.Reader)
	w.record.Add("client got %d bytes for %s, error %v, after %v", len(reply), id, err, time.Since(sent).Round(time.Millisecond))
}

// shortClient sends one request after another until the run ends.
func (w *world) shortClient(addr string, n int, until time.Time) {
	var c *rig.Client
	for i := 0; time.Now().Before(until); i++ {
		if c == nil {
			var err error
			if c, err = rig.Dial(addr); err != nil {
				c = nil
				time.Sleep(shortPause)
				continue
			}
		}
		id := fmt.Sprintf("short-%02d-%04d", n, i)
		_, err := io.WriteString(c, rig.Encode("CACHE.GET", fmt.Sprintf("key%d", (i*37+n)%400), id, "c=stock-check,t=acme,d=600"))
		sent := time.Now()
		c.SetReadDeadline(sent.Add(8 * time.Second))
		reply := ""
		if err == nil {
			reply, err = rig.ReadReply(c.Reader)
		}
		took := time.Since(sent)
		_, forwarded := w.forwarded.Load(id)
		switch {
		case err != nil && !forwarded && took < lostAfter:
			w.unread.Add(1) // the proxy has ended a resting connection: the client may send the request again
		case err != nil:
			w.lost.Add(1)
			w.record.Add("LOST: %s has no answer after %v: %v (at a cache node: %v)", id, took.Round(time.Millisecond), err, forwarded)
		case took > lostAfter:
			w.lost.Add(1)
			w.record.Add("LOST: %s was answered %q only after %v", id, reply[:min(len(reply), 20)], took.Round(time.Millisecond))
		case strings.HasPrefix(reply, "$"+id):
			w.answered.Add(1)
		case strings.HasPrefix(reply, "$"):
			w.foreign.Add(1)
			w.record.Add("FOREIGN: %s got %q", id, reply[:min(len(reply), 20)])
		default:
			w.refused.Add(1)
			w.record.Add("%s was answered %q after %v", id, reply, took.Round(time.Millisecond))
		}
		if err != nil {
			c.Close()
			c = nil
		}
		time.Sleep(shortPause)
	}
	if c != nil {
		c.Close()
	}
}

func play(record *rig.Record) (status int, err error) {
	folder, err := os.MkdirTemp("", "review-1-")
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
	discovery, err := rig.NewDiscovery(list)
	if err != nil {
		return rig.CantGo, err
	}
	listen, err := rig.FreeAddr()
	if err != nil {
		return rig.CantGo, err
	}
	classes := []rig.Object{rig.Class("rx-lookup", "read_like", 600, 1200), rig.Class("stock-check", "read_like", 250, 600),
		rig.Class("med-history", "read_like", 600, 1500), rig.Class("pickup-info", "read_like", 500, 2000)}
	proxy, err := rig.Start(folder, rig.Launch{Name: "n0", Listen: listen, Discovery: discovery.Addr(), MemoryMB: 192, Sockets: 1024, Cores: 1,
		Known: discovery.Document(), Settings: rig.Settings(3, 0, classes)})
	if err != nil {
		return rig.CantGo, err
	}
	defer proxy.Kill()
	stalls := rig.WatchStalls()
	begun := time.Now()
	until := begun.Add(runTime)
	var running sync.WaitGroup
	for n := range shortClients {
		running.Add(1)
		go func() {
			defer running.Done()
			w.shortClient(listen, n, until)
		}()
	}
	time.Sleep(time.Second)
	for n := range longClients {
		running.Add(1)
		go func() {
			defer running.Done()
			w.longClient(listen, n)
		}()
	}
	for used := proxy.CPU(); time.Now().Before(until); {
		time.Sleep(time.Second)
		now := proxy.CPU()
		record.Add("the proxy has used %v of processor time in this second; short requests so far: %d served, %d refused or failed, %d lost",
			now-used, w.answered.Load(), w.refused.Load(), w.lost.Load())
		used = now
	}
	running.Wait()
	rig.CopyLog(record, folder, "n0")
	record.Say("short requests: %d served, %d refused or failed in time, %d sent again, %d lost, %d with a foreign value; longest stall of this program %v",
		w.answered.Load(), w.refused.Load(), w.unread.Load(), w.lost.Load(), w.foreign.Load(), stalls().Round(time.Millisecond))
	switch {
	case proxy.Ended():
		record.Say("the proxy has ended by itself")
		return rig.Broken, nil
	case stalls() > stallLimit:
		return rig.CantGo, fmt.Errorf("this program stood still for %v: the machine is too busy", stalls())
	case w.lost.Load()+w.foreign.Load() > 0:
		record.Say("BROKEN: no op is lost")
		return rig.Broken, nil
	case w.answered.Load() == 0:
		return rig.CantGo, fmt.Errorf("no short request was served")
	}
	record.Say("held")
	return rig.Held, nil
}
