// Package discovery keeps the list of caches up to date: it fetches the whole list, then watches for changes.
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

	"minttray/decide/listwatch"
	"minttray/decide/roster"
	"minttray/internal/engine"
	"minttray/policy"
)

// minWatchInterval is the shortest time from the start of a watch that tells nothing new to the next one. A service that does not
// delay its responses would otherwise be called without a pause.
const minWatchInterval = 10 * time.Millisecond

const (
	maxListBytes   = 4 << 20 // thousands of entries of up to 1 KiB each if the document is indented
	maxHeaderBytes = 16 << 10
)

// maxPendingWatchRequests is how many requests of Watch can wait for Run; further ones are dropped.
const maxPendingWatchRequests = 64

// Watcher keeps a proxy's list of caches up to date.
type Watcher struct {
	// NameTable numbers the entries.
	NameTable *NameTable
	// OnDemand is set for a service that all proxies share. Calls then start with Watch(true) and continue until one fails.
	OnDemand bool
	// OnUpdate receives each list and each change.
	OnUpdate func(policy.ListKind, []engine.Member)
	Log      zerolog.Logger
	// Guard checks each whole list. Of a list that it does not accept, only the entries are applied, as changes: caches that the list
	// lacks are kept, and the list is fetched again.
	Guard roster.Guard[time.Duration]
	// DialContext opens connections to the service; nil: as net.Dialer does, within dialTimeout.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// OriginKind is the machine type of the origin, which does not count as a cache.
	OriginKind int

	startedAt     time.Time
	inUse         map[string]bool // names of the caches in use by the last list; used by Run's goroutine only
	knownVersion  *uint64         // version of the list that the proxy starts with; nil: none
	watchRequests chan bool

	version, calls, failures, addressChanges, suspectLists, emptyWatches atomic.Uint64

	mu         sync.Mutex
	addr       string
	cancelCall context.CancelFunc // cancels the call in progress
}

// New returns a watcher; Run starts it.
func New(addr string, names *NameTable, onDemand bool, log zerolog.Logger) *Watcher {
	return &Watcher{
		addr:          addr,
		NameTable:     names,
		OnDemand:      onDemand,
		Log:           log,
		startedAt:     time.Now(),
		OriginKind:    -1,
		inUse:         map[string]bool{},
		watchRequests: make(chan bool, maxPendingWatchRequests),
		cancelCall:    func() {},
	}
}

// SetAddress switches to another address. It cancels the call in progress, since the old agent may be silent by now, and its response
// is ignored. The list remains valid until the new agent has delivered its own.
func (w *Watcher) SetAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.addressChanges.Add(1)
	w.cancelCall()
}

// beginCall returns the address for the next call, and a context that is cancelled when the address changes.
func (w *Watcher) beginCall(ctx context.Context) (string, context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.cancelCall = context.WithCancel(ctx)
	return w.addr, ctx, w.cancelCall
}

// Watch(true) starts calls if OnDemand is set; they continue until one fails. A request that comes while calls are being made is read only
// after the next failure, so Watch(false) does not stop them. Without OnDemand, Watch has no effect.
func (w *Watcher) Watch(on bool) {
	select {
	case w.watchRequests <- on:
	default:
	}
}

// LoadKnown decodes the list that is saved in the configuration, with which the proxy starts.
func (w *Watcher) LoadKnown(text []byte) ([]engine.Member, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	doc, members, err := w.NameTable.decode(text)
	w.knownVersion = doc.Version
	w.trackInUse(true, members)
	return members, err
}

// newTransport returns the transport for the calls.
func (w *Watcher) newTransport() *http.Transport {
	dial := w.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{DialContext: dial, MaxConnsPerHost: 2, MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true}
}

// awaitWatchRequest waits for a call of Watch(true), and reports whether there was one before ctx ended.
func (w *Watcher) awaitWatchRequest(ctx context.Context) bool {
	for {
		select {
		case on := <-w.watchRequests:
			if on {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}

// Run calls the service until ctx ends. A failure leaves the last list valid.
func (w *Watcher) Run(ctx context.Context) {
	transport := w.newTransport()
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	var version *uint64
	var versionAddr string // the address that version comes from: versions of two agents are not comparable
	calls := listwatch.Calls[time.Duration]{Timing: w.timing()}
	backoff := initialBackoff
	calling := !w.OnDemand
	for ctx.Err() == nil {
		if !calling && !w.awaitWatchRequest(ctx) {
			return
		}
		calling = true
		addr, call, done := w.beginCall(ctx)
		if addr != versionAddr {
			// From a shared service, the whole list is one line per cache for each proxy. The changes since the list that this proxy
			// starts with are fewer lines, and sufficient.
			if version = nil; w.OnDemand && versionAddr == "" {
				version = w.knownVersion
			}
			versionAddr, backoff = addr, initialBackoff
			calls.AddressChanged()
			transport.CloseIdleConnections()
		}
		w.calls.Add(1)
		startedAt := time.Now()
		next, err := w.fetch(call, client, addr, version, calls.Next(version != nil))
		callCancelled := call.Err() != nil // the address changed, or ctx has ended
		if err == nil {
			if version != nil && *next == *version {
				w.paceEmptyWatch(call, startedAt)
			}
			done()
			w.version.Store(*next)
			version, backoff = next, initialBackoff
			if failures := calls.Answered(); failures > 0 {
				if w.OnDemand { // tells the module, which decides on the next call, that the service has recovered even if nothing changed
					w.OnUpdate(policy.ListDelta, nil)
				}
				w.Log.Info().Int("faults", failures).Msg("discovery responds again")
			}
			continue
		}
		if callCancelled {
			continue
		}
		if errors.Is(err, errSuspectList) {
			version, backoff = nil, initialBackoff
			sleep(call, w.Guard.ConfirmAfter/2)
			done()
			continue
		}
		w.failures.Add(1)
		wasFullWatch := calls.Failed()
		if calls.Failures() == 1 {
			w.Log.Warn().Err(err).Msg("discovery call failed; keeping the last list")
		}
		var invalidDocument *invalidDocumentError
		if errors.As(err, &invalidDocument) {
			version = nil // its changes are unknown, so the next call fetches the whole list
		}
		if w.OnDemand {
			done()
			// The service regards the changes that a timed-out watch has missed as delivered by now. Drains among them may have begun, and the
			// pause between failed calls would use up their grace period. The watch is therefore reopened at once, but only once, so that
			// a service that does not respond gets fewer calls.
			if wasFullWatch && version != nil && errors.Is(err, context.DeadlineExceeded) {
				continue
			}
			calling = false
			w.OnUpdate(policy.ListFailed, nil)
			continue
		}
		sleep(call, backoff) // a new address does not wait for the back-off of the old one
		done()
		backoff = min(2*backoff, maxBackoff)
	}
}

// paceEmptyWatch waits until minWatchInterval after the start of a watch that has told nothing new, and counts a watch for which it has
// to wait.
func (w *Watcher) paceEmptyWatch(call context.Context, startedAt time.Time) {
	pause := time.Until(startedAt.Add(minWatchInterval))
	if pause <= 0 {
		return
	}
	w.emptyWatches.Add(1)
	sleep(call, pause)
}

// EmptyWatches returns how many watches told nothing new and were answered sooner than minWatchInterval. A service that delays its
// responses as asked leaves it at 0.
func (w *Watcher) EmptyWatches() uint64 { return w.emptyWatches.Load() }

// MarshalZerologObject writes the counters into a log line.
func (w *Watcher) MarshalZerologObject(l *zerolog.Event) {
	l.Uint64("version", w.version.Load()).Uint64("calls", w.calls.Load()).Uint64("faults", w.failures.Load()).
		Uint64("moves", w.addressChanges.Load()).Uint64("held", w.suspectLists.Load()).Uint64("strange_names", w.NameTable.unknownNames.Load())
}

// invalidDocumentError means that the service sent a document that can't be used.
type invalidDocumentError struct{ error }

// errSuspectList means that the guard does not accept a whole list until later lists confirm it.
var errSuspectList = errors.New("list lacks too many caches and is not confirmed yet")

// checkSuspect has the guard evaluate a whole list, and reports whether the list must not be accepted yet. It counts and logs the
// first list of such a series.
func (w *Watcher) checkSuspect(members []engine.Member) bool {
	listed := map[string]bool{}
	ready := 0
	for _, m := range members {
		if listed[m.Name] = true; m.State == policy.Ready && m.Kind != w.OriginKind {
			ready++
		}
	}
	missing := 0
	for name := range w.inUse {
		if !listed[name] {
			missing++
		}
	}
	wasSuspect := w.Guard.Holding()
	suspect := w.Guard.Evaluate(time.Since(w.startedAt), len(w.inUse), missing, ready) == roster.Hold
	if suspect && !wasSuspect {
		w.suspectLists.Add(1)
		w.Log.Warn().Int("lacks", missing).Int("of", len(w.inUse)).Msg("list lacks too many caches at once; keeping the missing caches and fetching the list again")
	}
	return suspect
}

// trackInUse records which caches are in use after a whole list, or after changes.
func (w *Watcher) trackInUse(whole bool, members []engine.Member) {
	if whole {
		clear(w.inUse)
	}
	for _, m := range members {
		if delete(w.inUse, m.Name); m.State == policy.Ready && m.Kind != w.OriginKind {
			w.inUse[m.Name] = true
		}
	}
}

// fetch makes one call and delivers its list or changes. version is the version of the known list; nil requests the whole list.
func (w *Watcher) fetch(ctx context.Context, client *http.Client, addr string, version *uint64, timing listwatch.Call[time.Duration]) (next *uint64, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			w.Log.Error().Interface("panic", recovered).Bytes("stack", debug.Stack()).Msg("panic while processing a discovery response")
			err = &invalidDocumentError{errors.New("panic")}
		}
	}()
	text, err := w.get(ctx, client, addr, version, timing)
	if err != nil {
		return nil, err
	}
	return w.deliver(addr, version == nil, text)
}

// get makes one call and returns the document of its response.
func (w *Watcher) get(ctx context.Context, client *http.Client, addr string, version *uint64, timing listwatch.Call[time.Duration]) (text []byte, err error) {
	u := url.URL{Scheme: "http", Host: addr, Path: "/catalog/members"}
	if version != nil {
		u.RawQuery = "index=" + strconv.FormatUint(*version, 10) + "&wait=" + strconv.Itoa(int(timing.Wait/time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(ctx, timing.Timeout)
	defer cancel()
	if !w.OnDemand {
		// net/http resends a call whose connection broke. That call would have the long wait, to an agent that may be silent by now.
		connections := 0
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: func(string) {
			if connections++; connections > 1 {
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
	text, err = io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxListBytes {
		return nil, fmt.Errorf("discovery: list exceeds %d bytes", maxListBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: %s", resp.Status)
	}
	return text, nil
}

// deliver delivers the list or the changes of a document that came from an address, and returns its version.
func (w *Watcher) deliver(addr string, wholeRequested bool, text []byte) (version *uint64, err error) {
	doc, members, err := w.NameTable.decode(text)
	if err != nil {
		return nil, &invalidDocumentError{err}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr { // a response of the old agent must not be delivered after the change
		return nil, fmt.Errorf("discovery: address changed from %s to %s during the call", addr, w.addr)
	}
	whole := doc.Reset || wholeRequested
	if whole && w.checkSuspect(members) {
		if len(members) > 0 {
			w.trackInUse(false, members)
			w.OnUpdate(policy.ListDelta, members)
		}
		return nil, errSuspectList
	}
	w.NameTable.forgetGone(doc) // not for a suspect list: caches that stay keep their numbers
	w.trackInUse(whole, members)
	switch {
	case whole:
		if len(members) == 0 {
			w.Log.Warn().Msg("discovery list is empty")
		}
		w.OnUpdate(policy.ListFull, members)
	case len(members) > 0:
		w.OnUpdate(policy.ListDelta, members)
	}
	return doc.Version, nil
}
