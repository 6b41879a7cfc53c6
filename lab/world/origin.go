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

// Origin is the stand-in for the origin, from which all caches are filled. It speaks HTTP/1.1. Its capacity is far below the whole
// load, it slows down as its queue grows, and it finishes work whose client has left.
type Origin struct {
	Faults  Faults
	Fetches atomic.Int64 // requests received, of proxies and of caches

	world  *World
	addrs  []string // by proxy group
	server *http.Server
	queue  *workQueue
}

// newOrigin starts the origin, with one listener for each proxy group.
func newOrigin(w *World) (*Origin, error) {
	o := &Origin{world: w}
	settings := w.Experiment.Origin
	o.queue = &workQueue{cores: settings.Cores, queueLimit: settings.QueueLimit}
	o.queue.speed = func(waiting int) float64 {
		slow, _, _, _, _, _ := o.Faults.snapshot()
		return 1 / max(slow, 1) / (1 + settings.QueueSlowdown*float64(waiting)/float64(settings.Cores))
	}
	o.server = &http.Server{
		Handler:           http.HandlerFunc(o.serve),
		ReadHeaderTimeout: headerTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	for group, g := range w.proxyGroups() {
		l, err := w.listen(w.originHost(group)+":0", g, w.OriginEndpoint())
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

const (
	headerTimeout     = 10 * time.Second // for the header of an HTTP request
	maxBodyBytes      = 64 << 10         // of a request to the origin
	maxFilledPerFetch = 2                // caches that store the value of one fetch by a proxy
)

// connContextKey is the context key of a request's net.Conn.
type connContextKey struct{}

// Pause stops the origin from starting work for a duration, and returns at once. Requests wait in its queue.
func (o *Origin) Pause(duration time.Duration) { o.queue.pauseUntil(time.Now().Add(duration)) }

// invalidateCopies removes a key that was written from all caches.
func (o *Origin) invalidateCopies(key string) {
	for _, c := range o.world.Caches() {
		c.mu.Lock()
		s := c.store
		c.mu.Unlock()
		s.remove(key)
	}
}

// fetch queues a fetch by a cache in mode "through". It returns false if the queue is full; done is not called then.
func (o *Origin) fetch(op uint64, done func(ok bool)) bool {
	o.Fetches.Add(1)
	return o.queue.offer(&job{work: o.world.drawWork(o.world.Experiment.Origin.Work.Std(), op, 0), done: func() { done(true) }})
}

// serve handles a request of a proxy, and records it as a push to server 0. Health checks and load requests get an empty queue as answer
// and are not recorded.
func (o *Origin) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" || r.URL.Path == "/_load" {
		fmt.Fprint(out, "queue=0")
		return
	}
	key, id := r.URL.Path[1:], r.Header.Get("X-Trace-Id")
	op := OpNumber(id)
	_, err := io.ReadAll(http.MaxBytesReader(out, r.Body, maxBodyBytes))
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
	number := o.world.nextConnNumber() // one for each push: an HTTP/1.1 connection carries one request at a time
	work := o.world.drawWork(o.world.Experiment.Origin.Work.Std(), op, 0)
	o.world.recordPush(ledger.Record{At: sent, Op: op, B: number, C: uint32(work / time.Microsecond)}, props)
	endPush := func(outcome uint32) {
		o.world.Ledger.Append(ledger.Record{Kind: ledger.PushEnded, At: o.world.Now(), Op: op, B: number, C: outcome})
	}
	done := make(chan struct{})
	_, _, _, dropAnswer, fail, unresponsive := o.Faults.snapshot()
	if o.world.random(op, 0, "fail") < fail {
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
	if unresponsive || o.world.random(op, 0, "lose") < dropAnswer {
		<-r.Context().Done()
		endPush(ledger.EndConnLost)
		return
	}
	select {
	case <-done:
	case <-r.Context().Done(): // the queue still finishes the work
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
	if value, ok := o.world.originMisses.LoadAndDelete(id); ok && r.Context().Err() == nil {
		value.(*missedCaches).mu.Lock()
		for i, c := range value.(*missedCaches).caches {
			if i < maxFilledPerFetch && c.Alive() {
				c.store.put(key, category.Size)
			}
		}
		value.(*missedCaches).mu.Unlock()
	}
	endPush(ledger.EndAnswered)
	writeValue(out, Value(key, id, category.Size))
}

// writeValue answers a request with a value.
func writeValue(out http.ResponseWriter, value string) {
	out.Header().Set("Content-Length", strconv.Itoa(len(value)))
	io.WriteString(out, value)
}
