package world

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"minttray/lab/ledger"
)

// Origin is what all caches are filled from. It speaks HTTP/1.1, can take far less than all ops, slows down as work
// waits, and goes on with work that nobody waits for.
type Origin struct {
	Faults  Faults
	Fetches atomic.Int64

	world  *World
	addrs  []string // by the door of who connects
	server *http.Server
	queue  *workQueue
}

func newOrigin(w *World) (*Origin, error) {
	o := &Origin{world: w}
	settings := w.Experiment.Origin
	o.queue = &workQueue{cores: settings.Cores, queueLimit: settings.QueueLimit}
	o.queue.speed = func(waiting int) float64 {
		slow, _, _, _, _, _ := o.Faults.snapshot()
		return 1 / max(slow, 1) / (1 + settings.QueueSlowdown*float64(waiting)/float64(settings.Cores))
	}
	o.server = &http.Server{Handler: http.HandlerFunc(o.serve), ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	for n, d := range w.proxyGroups() {
		l, err := w.listen(w.originHost(n)+":0", d, w.OriginEndpoint())
		if err != nil {
			o.close()
			return nil, err
		}
		o.addrs = append(o.addrs, l.Addr().String())
		go o.server.Serve(l)
	}
	return o, nil
}

func (o *Origin) close() { o.server.Close() }

type connContextKey struct{}

// Stop lets it take nothing for a span: what comes waits.
func (o *Origin) Pause(span time.Duration) { o.queue.pauseUntil(time.Now().Add(span)) }

// store notes that a key was written: copies elsewhere are void.
func (o *Origin) invalidateCopies(key string) {
	for _, c := range o.world.Caches() {
		c.mu.Lock()
		s := c.store
		c.mu.Unlock()
		s.remove(key)
	}
}

// fetch is a cache's own, in the mode through.
func (o *Origin) fetch(op uint64, done func(ok bool)) bool {
	o.Fetches.Add(1)
	return o.queue.offer(&job{work: o.world.drawWork(o.world.Experiment.Origin.Work.Std(), op, 0), done: func() { done(true) }})
}

func (o *Origin) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" || r.URL.Path == "/_load" {
		fmt.Fprint(out, "queue=0")
		return
	}
	key, id := r.URL.Path[1:], r.Header.Get("X-Trace-Id")
	op := OpNumber(id)
	_, err := io.ReadAll(http.MaxBytesReader(out, r.Body, 64<<10))
	if err != nil {
		out.Header().Set("X-Never-Ran", "1")
		http.Error(out, err.Error(), http.StatusServiceUnavailable)
		return
	}
	write := r.Method == http.MethodPut
	props := parseProps(r.Header.Get("X-Props"))
	category := o.world.category(props["c"])
	o.Fetches.Add(1)
	sent := o.world.Now()
	if c, ok := r.Context().Value(connContextKey{}).(net.Conn); ok {
		sent = o.world.sentAt(c)
	}
	number := o.world.nextConnNumber() // one push is out on a connection at a time: a number for each tells them apart
	work := o.world.drawWork(o.world.Experiment.Origin.Work.Std(), op, 0)
	o.world.recordPush(ledger.Record{At: sent, Op: op, B: number, C: uint32(work / time.Microsecond)}, props)
	endPush := func(outcome uint32) {
		o.world.Ledger.Append(ledger.Record{Kind: ledger.PushEnded, At: o.world.Now(), Op: op, B: number, C: outcome})
	}
	done := make(chan struct{})
	_, _, _, lose, failing, vanished := o.Faults.snapshot()
	if o.world.random(op, 0, "fail") < failing {
		endPush(ledger.EndFailed)
		http.Error(out, "failed", http.StatusInternalServerError)
		return
	}
	if !o.queue.offer(&job{work: work, done: func() { close(done) }}) {
		endPush(ledger.EndRefused)
		out.Header().Set("X-Never-Ran", "1")
		http.Error(out, "full", http.StatusServiceUnavailable)
		return
	}
	if vanished || o.world.random(op, 0, "lose") < lose {
		<-r.Context().Done()
		endPush(ledger.EndConnLost)
		return
	}
	select {
	case <-done:
	case <-r.Context().Done(): // the work goes on
		endPush(ledger.EndConnLost)
		return
	}
	if write {
		o.world.applyWrite(request{id: id, op: op, category: category, write: true}, 0, 0)
		o.invalidateCopies(key)
		endPush(ledger.EndAnswered)
		writeValue(out, Value(key, id, 1))
		return
	}
	if m, ok := o.world.originMisses.LoadAndDelete(id); ok && r.Context().Err() == nil {
		m.(*missedCaches).mu.Lock()
		for i, c := range m.(*missedCaches).caches {
			if i < 2 && c.Alive() {
				c.store.put(key, category.Size)
			}
		}
		m.(*missedCaches).mu.Unlock()
	}
	endPush(ledger.EndAnswered)
	writeValue(out, Value(key, id, category.Size))
}

func writeValue(out http.ResponseWriter, value string) {
	out.Header().Set("Content-Length", strconv.Itoa(len(value)))
	io.WriteString(out, value)
}
