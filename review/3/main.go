// Command 3 starts a new version of a proxy beside the old one, as operators do, while clients have at-most-once writes open. A bad client
// sends each of these a second time under the same id on a connection of its own. The case judges whether the bad client gets an error and
// whether each write runs once.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"minttray/review/rig"
)

const (
	cacheCount = 9
	writers    = 8
	work       = 250 * time.Millisecond // that a write takes at the origin
	copyAfter  = 60 * time.Millisecond  // from a write until the bad client sends it again
	errorOwed  = 3 * time.Second        // within which a bad client is owed an error or a close
	killAfter  = 3*time.Second + 700*time.Millisecond
	// The rules are judged with the client's clock: a copy counts if its last byte was written before the first write was answered.
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

	mu   sync.Mutex
	runs map[string]int // by request id: how often the origin has run it
}

// cacheNode answers reads at once.
func (w *world) cacheNode(c *net.TCPConn, cmd rig.Command) bool {
	_, err := io.WriteString(c, rig.Hit(rig.Value(cmd.Words[2], 24)))
	return err == nil
}

// origin carries out a write and answers with its receipt.
func (w *world) origin(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	w.record.Add("the origin runs %s of %s, its run number %d", r.Method, id, n)
	time.Sleep(work)
	io.WriteString(out, rig.Value(id, 24))
}

// purchase is a write of a usual client and its copy from a bad one.
type purchase struct {
	id, text     string
	client       *rig.Client
	answered     time.Time
	reply        string
	err          error
	copied       time.Time
	copyReply    string
	copyErr      error
	copyAnswered time.Time
}

// send sends the write on the client's own connection and waits for its answer.
func (p *purchase) send(record *rig.Record) {
	record.Add("client sends the purchase %s on the connection that it has", p.id)
	if _, p.err = io.WriteString(p.client, p.text); p.err == nil {
		p.client.SetReadDeadline(time.Now().Add(6 * time.Second))
		p.reply, p.err = rig.ReadReply(p.client.Reader)
	}
	p.answered = time.Now()
	record.Add("client got %q for %s, error %v", p.reply, p.id, p.err)
}

// sendCopy sends the write once more, as a bad client does, on a new connection.
func (p *purchase) sendCopy(record *rig.Record, addr string) {
	var bad *rig.Client
	if bad, p.copyErr = rig.Dial(addr); p.copyErr != nil {
		return
	}
	defer bad.Close()
	if _, p.copyErr = io.WriteString(bad, p.text); p.copyErr != nil {
		return
	}
	p.copied = time.Now()
	record.Add("bad client sends the id of the open request %s on a new connection", p.id)
	bad.SetReadDeadline(p.copied.Add(errorOwed))
	p.copyReply, p.copyErr = rig.ReadReply(bad.Reader)
	p.copyAnswered = time.Now()
	record.Add("bad client got %q for %s, error %v", p.copyReply, p.id, p.copyErr)
}

func play(record *rig.Record) (status int, err error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return rig.CantGo, err
	}
	defer os.RemoveAll(folder)
	w := &world{record: record, runs: map[string]int{}}
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
	launch := rig.Launch{Name: "n0", Listen: listen, Discovery: discovery.Addr(), MemoryMB: 192, Sockets: 1024, Cores: 1,
		Known: discovery.Document(), Settings: rig.Settings(4, 0, classes)}
	if launch.Control, err = rig.FreeAddr(); err != nil {
		return rig.CantGo, err
	}
	old, err := rig.Start(folder, launch)
	if err != nil {
		return rig.CantGo, err
	}
	defer old.Kill()
	purchases := make([]*purchase, writers)
	for i := range purchases {
		p := &purchase{id: fmt.Sprintf("purchase-%d", i)}
		p.text = rig.Encode("CACHE.SET", fmt.Sprintf("pack-%d", i), p.id, "c=pack-purchase,t=acme,d=4000", "one pack for "+p.id)
		if p.client, err = rig.Dial(listen); err != nil {
			return rig.CantGo, err
		}
		defer p.client.Close()
		io.WriteString(p.client, rig.Encode("PING"))
		if line, err := rig.ReadReply(p.client.Reader); err != nil || line != "+PONG" {
			return rig.CantGo, fmt.Errorf("PING was answered %q, %v", line, err)
		}
		purchases[i] = p
	}
	if rig.Trouble() {
		record.Add("run is started again beside the process that serves")
		if launch.Control, err = rig.FreeAddr(); err != nil {
			return rig.CantGo, err
		}
		next, err := rig.Start(folder, launch)
		if err != nil {
			return rig.CantGo, err
		}
		defer next.Kill()
		record.Add("the new process says yes")
	}
	var running sync.WaitGroup
	for _, p := range purchases {
		running.Add(2)
		go func() {
			defer running.Done()
			p.send(record)
		}()
		go func() {
			defer running.Done()
			time.Sleep(copyAfter)
			p.sendCopy(record, listen)
		}()
	}
	if rig.Trouble() {
		time.Sleep(2 * copyAfter)
		record.Add("the old process gets SIGTERM")
		if err := old.Signal(syscall.SIGTERM); err != nil {
			return rig.CantGo, err
		}
		if !old.Wait(killAfter) {
			record.Add("the old process gets SIGKILL")
			old.Kill()
		}
	}
	running.Wait()
	rig.CopyLog(record, folder, "n0")
	twice, served, unanswered, tested := 0, 0, 0, 0
	for _, p := range purchases {
		if p.reply == "" {
			unanswered++
		}
		if p.copied.IsZero() || !p.copied.Before(p.answered) || !strings.HasPrefix(p.reply, "$"+p.id) {
			continue // the copy did not meet an open request that was served
		}
		tested++
		w.mu.Lock()
		n := w.runs[p.id]
		w.mu.Unlock()
		if n > 1 {
			twice++
			record.Add("TWICE: the at-most-once write %s has run %d times", p.id, n)
		}
		if strings.HasPrefix(p.copyReply, "$") {
			served++
			record.Add("SERVED: the bad client got a value under the id of the open request %s", p.id)
		}
	}
	record.Say("open at-most-once writes whose id a bad client sent: %d; run twice: %d; bad clients served with a value: %d; writes without an answer: %d",
		tested, twice, served, unanswered)
	switch {
	case twice+served > 0:
		record.Say("BROKEN: no effect happens twice, and a bad client is not served with a value")
		return rig.Broken, nil
	case !rig.Trouble() && old.Ended():
		record.Say("the proxy has ended by itself")
		return rig.Broken, nil
	case tested == 0:
		return rig.CantGo, errors.New("no copy met an open request")
	}
	record.Say("held")
	return rig.Held, nil
}
