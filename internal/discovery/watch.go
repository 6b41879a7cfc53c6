// Package discovery holds the list of caches: the whole list, then a watch on what changes.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/roster"
	"minttray/internal/engine"
	"minttray/policy"
)

const (
	wait     = 5 * time.Second // for news, of a service that all proxies share
	patience = time.Second     // past the wait
	inTurn   = 3 * time.Second // where calls wait in turn at a service that all proxies share
	overdue  = 2 * time.Second // past the wait there: by then news counts as told, whether or not it came
	backOff  = 50 * time.Millisecond

	// An agent on the proxy's own machine answers at once and at no cost. Danger: what it gets as it comes back counts as told
	// just then, and a drain's grace may be over before a long call to the silent agent is.
	pushed    = time.Second            // the wait of a call
	soon      = 20 * time.Millisecond  // the wait of one behind a fault
	atOnce    = 230 * time.Millisecond // past the wait, there and for the first list
	backOffAt = 100 * time.Millisecond // between two such calls, at most
	inFull    = 16                     // one of so many is given its whole patience, lest a slow agent is never heard

	longest     = 4 << 20 // a list: thousands of entries, of up to a kilobyte each where they come indented
	longestHead = 16 << 10
)

// Watch keeps a proxy's list up to date.
type Watch struct {
	Names *Names
	Ask   bool // only while the module asks for it, which then also decides when to ask again
	OnUpdate  func(policy.ListKind, []engine.Member)
	Log   zerolog.Logger
	Guard roster.Guard[time.Duration] // whole lists that it holds are asked for again

	OriginKind int // the kind that is no cache: a list that names it alone names none

	began time.Time
	used  map[string]bool // caches in use by the last word; the goroutine's own

	known                         *uint64 // version of the list that the proxy starts with
	on                            chan bool
	version, calls, faults, moves atomic.Uint64
	held                          atomic.Uint64 // lists in doubt

	mu   sync.Mutex
	addr string
	call context.CancelFunc // ends the call in hand
}

// New makes a watch; Run starts it.
func New(addr string, names *Names, ask bool, log zerolog.Logger) *Watch {
	return &Watch{addr: addr, Names: names, Ask: ask, Log: log, began: time.Now(), OriginKind: -1, used: map[string]bool{}, on: make(chan bool, 64), call: func() {}}
}

// SetAddress goes on at another address. The call in hand ends at once: the old agent may be silent by now, and what it
// still says counts no more. The list stands until the new one has told its own.
func (w *Watch) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.moves.Add(1)
	w.call()
}

// begin gives the address to ask next, and a context that ends when that is no longer the address.
func (w *Watch) begin(ctx context.Context) (string, context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.call = context.WithCancel(ctx)
	return w.addr, ctx, w.call
}

// Watch switches the watch, where it goes by the module's word.
func (w *Watch) Watch(on bool) {
	select {
	case w.on <- on:
	default:
	}
}

// LoadKnown reads the list that the configuration holds.
func (w *Watch) LoadKnown(text []byte) ([]engine.Member, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	doc, members, err := w.Names.decode(text)
	w.known = doc.Generation
	w.note(true, members)
	return members, err
}

// Run asks until ctx ends. A fault leaves the old list standing.
func (w *Watch) Run(ctx context.Context) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: patience}).DialContext, MaxConnsPerHost: 2,
		MaxResponseHeaderBytes: longestHead, DisableCompression: true}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	var version *uint64
	var asked string // the address that version is of: versions of two agents need not compare
	back, faults := backOff, 0
	on := !w.Ask
	reopen := false // the watch has just fallen silent
	for ctx.Err() == nil {
		for w.Ask && !on {
			select {
			case on = <-w.on:
			case <-ctx.Done():
				return
			}
		}
		addr, call, done := w.begin(ctx)
		if addr != asked {
			// Where all proxies ask one service, the whole list costs it a line for each cache: what has changed since
			// the list that this one starts with is less, and comes all the same.
			if version = nil; w.Ask && asked == "" {
				version = w.known
			}
			asked, back = addr, backOff
			transport.CloseIdleConnections()
		}
		w.calls.Add(1)
		next, err := w.ask(call, client, addr, version, reopen || !w.Ask && (version == nil || faults > 0), faults%inFull == inFull-1)
		moved := call.Err() != nil
		if err == nil {
			done()
			w.version.Store(*next)
			if version, back, reopen = next, backOff, false; faults > 0 {
				if w.Ask { // the service is well: what decides when to ask hears so, also if there was no news
					w.OnUpdate(policy.ListDelta, nil)
				}
				w.Log.Info().Int("faults", faults).Msg("discovery answers again")
				faults = 0
			}
			continue
		}
		if moved {
			continue
		}
		if errors.Is(err, errHeld) {
			version, back = nil, backOff
			select {
			case <-time.After(w.Guard.ConfirmAfter / 2):
			case <-call.Done():
			}
			done()
			continue
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
			done()
			// Danger: a watch that has fallen silent has to be opened anew, and what it missed counts as told by now: the wait
			// between calls that failed would take the drains' grace. Only once: a service that answers none is asked less.
			if silent := errors.Is(err, context.DeadlineExceeded) && version != nil; silent && !reopen {
				reopen = true
				continue
			}
			on, reopen = false, false
			w.OnUpdate(policy.ListFailed, nil)
			continue
		}
		select {
		case <-time.After(back):
		case <-call.Done(): // the new address is not kept waiting for the old one's faults
		}
		done()
		back = min(2*back, backOffAt)
	}
}

// MarshalZerologObject writes the counters into a log line.
func (w *Watch) MarshalZerologObject(l *zerolog.Event) {
	l.Uint64("version", w.version.Load()).Uint64("calls", w.calls.Load()).Uint64("faults", w.faults.Load()).
		Uint64("moves", w.moves.Load()).Uint64("held", w.held.Load()).Uint64("strange_names", w.Names.strange.Load())
}

type badDocument struct{ error }

var errHeld = errors.New("the list is in doubt")

// inDoubt tells whether a whole list is not to be believed yet.
func (w *Watch) inDoubt(members []engine.Member) bool {
	told, named := map[string]bool{}, 0
	for _, m := range members {
		if told[m.Name] = true; m.State == policy.Ready && m.Kind != w.OriginKind {
			named++
		}
	}
	lacks := 0
	for name := range w.used {
		if !told[name] {
			lacks++
		}
	}
	was := w.Guard.Holding()
	held := w.Guard.Evaluate(time.Since(w.began), len(w.used), lacks, named) == roster.Hold
	if held && !was {
		w.held.Add(1)
		w.Log.Warn().Int("lacks", lacks).Int("of", len(w.used)).Msg("the list lacks too many caches at once; they stay, and it is asked for again")
	}
	return held
}

// note books which caches are in use.
func (w *Watch) note(whole bool, members []engine.Member) {
	if whole {
		clear(w.used)
	}
	for _, m := range members {
		if delete(w.used, m.Name); m.State == policy.Ready && m.Kind != w.OriginKind {
			w.used[m.Name] = true
		}
	}
}

// ask makes one call; quick: it is the first or behind a fault, at an agent that should answer at once; inFull: with patience all the same.
func (w *Watch) ask(ctx context.Context, client *http.Client, addr string, version *uint64, quick, inFull bool) (next *uint64, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			w.Log.Error().Interface("panic", fault).Bytes("stack", debug.Stack()).Msg("panic on a list")
			err = &badDocument{errors.New("panic")}
		}
	}()
	u := url.URL{Scheme: "http", Host: addr, Path: "/catalog/members"}
	limit := patience
	if w.Ask { // a call given up before its turn is work in vain there, and its repetition more of it
		limit = inTurn
	}
	wait := wait
	switch {
	case w.Ask && quick:
		wait = soon
	case w.Ask && version != nil:
		limit = overdue
	case quick && inFull:
		wait = soon
	case quick:
		limit, wait = atOnce, soon
	case !w.Ask:
		wait = pushed
	}
	if version != nil {
		u.RawQuery = "index=" + strconv.FormatUint(*version, 10) + "&wait=" + strconv.Itoa(int(wait/time.Millisecond))
		limit += wait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !w.Ask {
		// net/http sends a call that broke once more by itself: as a long one, to an agent that may be silent by now.
		tries := 0
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: func(string) {
			if tries++; tries > 1 {
				cancel()
			}
		}})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, longest+1))
	if err != nil {
		return nil, err
	}
	if len(text) > longest {
		return nil, fmt.Errorf("discovery: a list of over %d bytes", longest)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: %s", resp.Status)
	}
	doc, members, err := w.Names.decode(text)
	if err != nil {
		return nil, &badDocument{err}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr {
		return nil, errors.New("moved meanwhile") // the old agent's word must not come after the move
	}
	whole := doc.Reset || version == nil
	if whole && w.inDoubt(members) {
		if len(members) > 0 {
			w.note(false, members)
			w.OnUpdate(policy.ListDelta, members)
		}
		return nil, errHeld
	}
	w.Names.forget(doc) // not of a list in doubt: what stays keeps its number
	w.note(whole, members)
	switch {
	case whole:
		if len(members) == 0 {
			w.Log.Warn().Msg("the list is empty")
		}
		w.OnUpdate(policy.ListFull, members)
	case len(members) > 0:
		w.OnUpdate(policy.ListDelta, members)
	}
	return doc.Generation, nil
}
