// Package discovery holds the list of caches: the whole list, then a watch on what changes.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"minttray/internal/engine"
	"minttray/policy"
)

const (
	wait      = 5 * time.Second // for news; short, so that an agent that went silent is asked again soon
	patience  = time.Second     // past the wait
	backOff   = 50 * time.Millisecond
	backOffTo = time.Second
	longest   = 4 << 20 // a list
)

// Watch keeps a proxy's list up to date.
type Watch struct {
	Addr  string
	Names *Names
	Ask   bool // only while the module asks for it, which then also decides when to ask again
	Tell  func(policy.ListKind, []engine.Member)
	Log   zerolog.Logger

	on                     chan bool
	version, calls, faults atomic.Uint64
}

// New makes a watch; Run starts it.
func New(addr string, names *Names, ask bool, log zerolog.Logger) *Watch {
	return &Watch{Addr: addr, Names: names, Ask: ask, Log: log, on: make(chan bool, 64)}
}

// Watch switches the watch, where it goes by the module's word.
func (w *Watch) Watch(on bool) {
	select {
	case w.on <- on:
	default:
	}
}

// Known reads the list that the configuration holds.
func (w *Watch) Known(text []byte) ([]engine.Member, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	_, members, err := w.Names.decode(text)
	return members, err
}

// Run asks until ctx ends. A fault leaves the old list standing.
func (w *Watch) Run(ctx context.Context) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: patience}).DialContext, MaxConnsPerHost: 2}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	var version *uint64
	back, faults := backOff, 0
	on := !w.Ask
	for ctx.Err() == nil {
		for w.Ask && !on {
			select {
			case on = <-w.on:
			case <-ctx.Done():
				return
			}
		}
		w.calls.Add(1)
		next, err := w.ask(ctx, client, version)
		if err == nil {
			w.version.Store(*next)
			if version, back = next, backOff; faults > 0 {
				w.Log.Info().Int("faults", faults).Msg("discovery answers again")
				faults = 0
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.faults.Add(1)
		if faults++; faults == 1 {
			w.Log.Warn().Err(err).Msg("discovery does not answer; the old list stands")
		}
		var bad *badDocument
		if errors.As(err, &bad) {
			version = nil // what it meant to say is not known: the whole list
		}
		if w.Ask {
			on = false
			w.Tell(policy.ListFailed, nil)
			continue
		}
		select {
		case <-time.After(back):
		case <-ctx.Done():
		}
		back = min(2*back, backOffTo)
	}
}

// MarshalZerologObject writes the counters into a log line.
func (w *Watch) MarshalZerologObject(l *zerolog.Event) {
	l.Uint64("version", w.version.Load()).Uint64("calls", w.calls.Load()).Uint64("faults", w.faults.Load())
}

type badDocument struct{ error }

func (w *Watch) ask(ctx context.Context, client *http.Client, version *uint64) (next *uint64, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			w.Log.Error().Interface("panic", fault).Bytes("stack", debug.Stack()).Msg("panic on a list")
			err = &badDocument{errors.New("panic")}
		}
	}()
	u := url.URL{Scheme: "http", Host: w.Addr, Path: "/catalog/members"}
	limit := patience
	if version != nil {
		u.RawQuery = "index=" + strconv.FormatUint(*version, 10) + "&wait=" + strconv.Itoa(int(wait/time.Millisecond))
		limit += wait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, longest))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: %s", resp.Status)
	}
	doc, members, err := w.Names.decode(text)
	if err != nil {
		return nil, &badDocument{err}
	}
	switch {
	case doc.Reset || version == nil:
		if len(members) == 0 {
			w.Log.Warn().Msg("the list is empty")
		}
		w.Tell(policy.ListFull, members)
	case len(members) > 0:
		w.Tell(policy.ListDelta, members)
	}
	return doc.Generation, nil
}
