package rig2

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of discovery's list.
type Instance struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

// Agent is discovery: it answers with the whole list, or with what has changed since a version as soon as there is something. While it is
// down it refuses all calls, open watches too.
type Agent struct {
	Addr string

	mu       sync.Mutex
	list     map[string]Instance
	changed  map[string]uint64 // version of the last change by id
	version  uint64
	refusing bool
	wakeup   chan struct{} // closed at each change
	listener net.Listener
	record   *Record
}

// StartAgent starts discovery with a list.
func (c *Case) StartAgent(list []Instance) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), list: map[string]Instance{}, changed: map[string]uint64{}, version: 1, wakeup: make(chan struct{}), listener: l, record: c.Record}
	for _, in := range list {
		a.list[in.ID], a.changed[in.ID] = in, 1
	}
	go http.Serve(l, a)
	return a, nil
}

// Set changes an entry.
func (a *Agent) Set(ids []string, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, id := range ids {
		in := a.list[id]
		in.State = state
		a.list[id], a.changed[id] = in, a.version
	}
	a.record.Log("discovery: version %d: %v are %s", a.version, ids, state)
	a.wake()
}

// SetDown has discovery refuse all calls, or answer again.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusing = down
	a.record.Log("discovery: down %v", down)
	a.wake()
}

func (a *Agent) wake() {
	close(a.wakeup)
	a.wakeup = make(chan struct{})
}

// Known returns the whole list as discovery writes it.
func (a *Agent) Known() JSON {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answer(0)
}

// answer returns what has changed since a version; since 0 it is the whole list. The mutex is held.
func (a *Agent) answer(since uint64) JSON {
	instances := []Instance{}
	for id, in := range a.list {
		if a.changed[id] > since {
			instances = append(instances, in)
		}
	}
	return JSON{"generation": a.version, "reset": since == 0, "instances": instances}
}

// ServeHTTP answers a call.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 60000))*time.Millisecond)
	defer cancel()
	a.record.Log("discovery: call %s from %s", r.URL.RequestURI(), r.RemoteAddr)
	for {
		a.mu.Lock()
		if a.refusing {
			a.mu.Unlock()
			a.record.Log("discovery: call of %s refused", r.RemoteAddr)
			http.Error(w, "discovery can't be reached", http.StatusServiceUnavailable)
			return
		}
		if since == 0 || since != a.version || ctx.Err() != nil {
			text, _ := json.Marshal(a.answer(since))
			a.record.Log("discovery: version %d written to %s, which had %d", a.version, r.RemoteAddr, since)
			a.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.Write(text)
			return
		}
		wakeup := a.wakeup
		a.mu.Unlock()
		select {
		case <-wakeup:
		case <-ctx.Done():
			if r.Context().Err() != nil {
				return
			}
		}
	}
}
