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
	Fault   Faults
	Fetches atomic.Int64

	w       *World
	addrs   []string // by the door of who connects
	server  *http.Server
	station *station
}

func newOrigin(w *World) (*Origin, error) {
	o := &Origin{w: w}
	x := w.Exp.Origin
	o.station = &station{cores: x.Cores, room: x.Queue}
	o.station.speed = func(waiting int) float64 {
		slow, _, _, _, _, _ := o.Fault.get()
		return 1 / max(slow, 1) / (1 + x.Thrash*float64(waiting)/float64(x.Cores))
	}
	o.server = &http.Server{Handler: http.HandlerFunc(o.serve), ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	for n, d := range w.doors() {
		l, err := w.listen(w.originHost(n)+":0", d, w.OriginEnd())
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

type connKey struct{}

// Stop lets it take nothing for a span: what comes waits.
func (o *Origin) Stop(span time.Duration) { o.station.hold(time.Now().Add(span)) }

// store notes that a key was written: copies elsewhere are void.
func (o *Origin) store(key string) {
	for _, c := range o.w.Caches() {
		c.mu.Lock()
		s := c.store
		c.mu.Unlock()
		s.drop(key)
	}
}

// fetch is a cache's own, in the mode through.
func (o *Origin) fetch(op uint64, done func(ok bool)) bool {
	o.Fetches.Add(1)
	return o.station.offer(&job{work: o.w.work(o.w.Exp.Origin.Work.Std(), op, 0), done: func() { done(true) }})
}

func (o *Origin) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" || r.URL.Path == "/_load" {
		fmt.Fprint(out, "queue=0")
		return
	}
	key, id := r.URL.Path[1:], r.Header.Get("X-Trace-Id")
	op := Number(id)
	_, err := io.ReadAll(http.MaxBytesReader(out, r.Body, 64<<10))
	if err != nil {
		out.Header().Set("X-Never-Ran", "1")
		http.Error(out, err.Error(), http.StatusServiceUnavailable)
		return
	}
	write := r.Method == http.MethodPut
	props := words(r.Header.Get("X-Props"))
	category := o.w.category(props["c"])
	o.Fetches.Add(1)
	sent := o.w.Now()
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		sent = o.w.sent(c)
	}
	number := o.w.conn() // one push is out on a connection at a time: a number for each tells them apart
	work := o.w.work(o.w.Exp.Origin.Work.Std(), op, 0)
	o.w.push(ledger.Record{At: sent, Op: op, B: number, C: uint32(work / time.Microsecond)}, props)
	over := func(how uint32) {
		o.w.Book.Append(ledger.Record{Kind: ledger.PushEnded, At: o.w.Now(), Op: op, B: number, C: how})
	}
	done := make(chan struct{})
	_, _, _, lose, failing, vanished := o.Fault.get()
	if o.w.draw(op, 0, "fail") < failing {
		over(ledger.EndFailed)
		http.Error(out, "failed", http.StatusInternalServerError)
		return
	}
	if !o.station.offer(&job{work: work, done: func() { close(done) }}) {
		over(ledger.EndRefused)
		out.Header().Set("X-Never-Ran", "1")
		http.Error(out, "full", http.StatusServiceUnavailable)
		return
	}
	if vanished || o.w.draw(op, 0, "lose") < lose {
		<-r.Context().Done()
		over(ledger.EndConnLost)
		return
	}
	select {
	case <-done:
	case <-r.Context().Done(): // the work goes on
		over(ledger.EndConnLost)
		return
	}
	if write {
		o.w.effect(request{id: id, op: op, category: category, write: true}, 0, 0)
		o.store(key)
		over(ledger.EndAnswered)
		reply(out, Value(key, id, 1))
		return
	}
	if m, ok := o.w.missed.LoadAndDelete(id); ok && r.Context().Err() == nil {
		m.(*missing).mu.Lock()
		for i, c := range m.(*missing).caches {
			if i < 2 && c.Alive() {
				c.store.put(key, category.Size)
			}
		}
		m.(*missing).mu.Unlock()
	}
	over(ledger.EndAnswered)
	reply(out, Value(key, id, category.Size))
}

func reply(out http.ResponseWriter, value string) {
	out.Header().Set("Content-Length", strconv.Itoa(len(value)))
	io.WriteString(out, value)
}
