// Command 3 restarts a proxy as planned, by SIGTERM, while clients on slow lines read long values, and go on sending requests on their
// connections as these stay open. The case judges whether each value that its cache node has given in full reaches its client.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"minttray/review/rig"
)

const (
	cacheCount = 9
	readers    = 6
	longSize   = 4 << 20 // bytes of a long value
	lineRate   = 2 << 20 // bytes a second that a client reads
	lineBuffer = 64 << 10
	termAfter  = 200 * time.Millisecond // from the requests until SIGTERM
	sendEvery  = 300 * time.Millisecond // between two further requests on a connection
	// SIGKILL comes no sooner than the longest deadline of the settings, 2 s, and 0.7 s more after SIGTERM.
	killAfter  = 2*time.Second + 700*time.Millisecond
	stallLimit = 150 * time.Millisecond
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
	given  sync.Map // ids whose whole answer a cache node has written
	killed atomic.Bool
	whole  atomic.Int64
	cut    atomic.Int64
	absent atomic.Int64
}

// cacheNode answers with a value at once, a long one if the key says so.
func (w *world) cacheNode(c *net.TCPConn, cmd rig.Command) bool {
	key, id := cmd.Words[1], cmd.Words[2]
	size := 24
	if strings.HasPrefix(key, "long") {
		size = longSize
	}
	_, err := io.WriteString(c, rig.Hit(rig.Value(id, size)))
	if err == nil {
		w.given.Store(id, true)
	}
	w.record.Add("a cache node has written the answer of %d bytes to %s, error %v", size, id, err)
	return err == nil
}

// reader asks for a long value, reads it as fast as its line allows, and sends a further request now and then meanwhile.
func (w *world) reader(addr string, n int, asked *sync.WaitGroup) {
	c, err := rig.Dial(addr)
	if err != nil {
		w.absent.Add(1)
		asked.Done()
		return
	}
	defer c.Close()
	c.SetReadBuffer(lineBuffer)
	id := fmt.Sprintf("long-%d", n)
	_, err = io.WriteString(c, rig.Encode("CACHE.GET", fmt.Sprintf("long%d", n), id, "c=pickup-info,t=acme,d=2000"))
	sent := time.Now()
	asked.Done()
	w.record.Add("client asks for %s, error %v", id, err)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(sendEvery):
			}
			next := fmt.Sprintf("next-%d-%d", n, i)
			_, err := io.WriteString(c, rig.Encode("CACHE.GET", fmt.Sprintf("key%d", i), next, "c=pickup-info,t=acme,d=2000"))
			w.record.Add("client sends %s on the same connection, error %v", next, err)
			if err != nil {
				return
			}
		}
	}()
	c.SetReadDeadline(sent.Add(20 * time.Second))
	want := len(fmt.Sprintf("$%d\r\n", longSize)) + longSize + 2
	got, first := 0, time.Duration(0)
	part := make([]byte, 16<<10)
	for got < want && err == nil {
		var size int
		size, err = c.Read(part[:min(len(part), want-got)])
		if got == 0 && size > 0 {
			first = time.Since(sent)
			if part[0] != '$' {
				w.absent.Add(1)
				w.record.Add("client got %q for %s", part[:size], id)
				return
			}
		}
		got += size
		time.Sleep(time.Until(sent.Add(first + time.Duration(got)*time.Second/lineRate)))
	}
	_, given := w.given.Load(id)
	w.record.Add("client got %d of %d bytes of the answer to %s, the first after %v, the last after %v, error %v; the cache node has given all: %v; SIGKILL sent: %v",
		got, want, id, first.Round(time.Millisecond), time.Since(sent).Round(time.Millisecond), err, given, w.killed.Load())
	switch {
	case got == want:
		w.whole.Add(1)
	case given && !w.killed.Load():
		w.cut.Add(1)
		w.record.Add("LOST: the proxy has cut off what it was given in full for %s", id)
	default:
		w.absent.Add(1)
	}
}

func play(record *rig.Record) (status int, err error) {
	folder, err := os.MkdirTemp("", "review-3-")
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
	var running, asked sync.WaitGroup
	for n := range readers {
		running.Add(1)
		asked.Add(1)
		go func() {
			defer running.Done()
			w.reader(listen, n, &asked)
		}()
	}
	asked.Wait()
	time.Sleep(termAfter)
	if rig.Trouble() {
		record.Add("SIGTERM")
		if err := proxy.Signal(syscall.SIGTERM); err != nil {
			return rig.CantGo, err
		}
		go func() {
			if proxy.Wait(killAfter) {
				record.Add("the proxy has ended")
				return
			}
			w.killed.Store(true)
			record.Add("SIGKILL")
			proxy.Kill()
		}()
	}
	running.Wait()
	rig.CopyLog(record, folder, "n0")
	record.Say("long values: %d whole, %d cut off by the proxy, %d without a value or cut by SIGKILL; longest stall of this program %v",
		w.whole.Load(), w.cut.Load(), w.absent.Load(), stalls().Round(time.Millisecond))
	switch {
	case !rig.Trouble() && proxy.Ended():
		record.Say("the proxy has ended by itself")
		return rig.Broken, nil
	case stalls() > stallLimit:
		return rig.CantGo, fmt.Errorf("this program stood still for %v: the machine is too busy", stalls())
	case w.cut.Load() > 0:
		record.Say("BROKEN: no op is lost")
		return rig.Broken, nil
	case w.whole.Load() == 0:
		return rig.CantGo, errors.New("no long value came")
	}
	record.Say("held")
	return rig.Held, nil
}
