//go:build go1.25

package discovery_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing/synctest"
	"time"
)

const (
	// answerTime is how long the service takes for an answer.
	answerTime = 100 * time.Millisecond
	// slowRefusalTime is how long it takes for a refusal, where that is slow.
	slowRefusalTime = 1500 * time.Millisecond
)

// failure is how calls fail while the service is down.
type failure string

const (
	refusesDials    failure = "refuses connections"
	refusesCalls    failure = "answers 503"
	refusesLate     failure = "answers 503 late"
	resets          failure = "resets connections"
	isSilent        failure = "does not answer"
	stopsHalfWay    failure = "stops half way through its answer"
	answersNonsense failure = "answers what does not parse"
	sendsSuspect    failure = "sends lists that lack most caches"
	moves           failure = "does not answer, and comes back at another address"
	refusesAndMoves failure = "answers 503, and comes back at another address"
)

var failures = []failure{refusesDials, refusesCalls, refusesLate, resets, isSilent, stopsHalfWay, answersNonsense, sendsSuspect, moves, refusesAndMoves}

// service is a discovery service that is down for a while. A call that is open as it comes back is not answered any better for that.
type service struct {
	how failure

	mu       sync.Mutex
	down     bool
	version  int           // 1, and 2 once a cache drains
	changed  chan struct{} // closed as the service goes down or comes back
	calls    []time.Time
	accepted chan net.Conn
	closed   chan struct{}
}

func newService(how failure) *service {
	return &service{how: how, version: 1, changed: make(chan struct{}), accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept, Close and Addr implement net.Listener.
func (s *service) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *service) Close() error {
	close(s.closed)
	return nil
}

func (s *service) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects to the service.
func (s *service) dial(ctx context.Context) (net.Conn, error) {
	s.mu.Lock()
	refused := s.down && s.how == refusesDials
	if refused {
		s.calls = append(s.calls, time.Now())
	}
	s.mu.Unlock()
	if refused {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case s.accepted <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// setDown has the service go down, or come back with a cache that drains.
func (s *service) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		s.version = 2
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) state() (down bool, version int, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.version, s.changed
}

// ServeHTTP answers a call: at once if there is something new, otherwise once its wait is over.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	s.mu.Unlock()
	known, _ := strconv.Atoi(r.URL.Query().Get("index"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	waitOver := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		down, version, changed := s.state()
		if down {
			s.fail(w, r)
			return
		}
		isOver := known != version
		if !isOver {
			select {
			case <-waitOver:
				isOver = true
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
		if down, _, _ := s.state(); isOver && !down {
			sleep(r.Context(), answerTime)
			io.WriteString(w, document(version, known == 0))
			return
		}
	}
}

// fail ends a call as the service does while it is down.
func (s *service) fail(w http.ResponseWriter, r *http.Request) {
	switch s.how {
	case refusesCalls, refusesAndMoves:
		w.WriteHeader(http.StatusServiceUnavailable)
	case refusesLate:
		sleep(r.Context(), slowRefusalTime)
		w.WriteHeader(http.StatusServiceUnavailable)
	case refusesDials, resets:
		panic(http.ErrAbortHandler)
	case isSilent, moves:
		<-r.Context().Done()
	case stopsHalfWay:
		io.WriteString(w, `{"generation":2,"reset":false,"inst`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	case answersNonsense:
		io.WriteString(w, "not a list")
	case sendsSuspect:
		sleep(r.Context(), answerTime)
		io.WriteString(w, `{"generation":1,"reset":true,"instances":[`+instance("c0", "active")+`]}`)
	}
}

// sleep sleeps until the client has gone at the latest.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}

// instance returns a cache's entry.
func instance(id, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:6379","zone":"a","machineType":"box","lifecycle":%q,"weight":1}`, id, lifecycle)
}

// document returns the whole list, or the changes since version 1. A cache drains from version 2 on.
func document(version int, whole bool) string {
	entries := ""
	if version == 2 {
		entries = instance("c3", "leaving")
	}
	if whole && version == 1 {
		entries = instance("c3", "active")
	}
	if whole {
		entries += "," + instance("c0", "active") + "," + instance("c1", "active") + "," + instance("c2", "active")
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, whole, entries)
}

// serve serves a number of services until the function that it returns is called.
func serve(services map[string]*service) (stop func()) {
	var servers []*http.Server
	for _, s := range services {
		server := &http.Server{Handler: s}
		servers = append(servers, server)
		go server.Serve(s)
	}
	return func() {
		for _, server := range servers {
			server.Close()
		}
		synctest.Wait() // for the calls that end with their connections
	}
}
