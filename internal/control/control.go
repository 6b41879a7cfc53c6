// Package control serves the operators' HTTP/1.1 control port, with one call per connection. It makes no decisions: the handlers carry
// out the changes.
package control

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/lifecycle"
	"minttray/internal/state"
)

const (
	maxPendingConns = 32              // connections that have not sent a complete call
	readTimeout     = 5 * time.Second // for a call to arrive completely
	maxBodyBytes    = 1 << 10
	responseTimeout = 2 * time.Second // for the caller to read its response
)

// Errors that handlers return. Their texts are sent to the caller.
var (
	ErrEnding    = lifecycle.ErrEnding                                              // the process is shutting down and can't carry out the call
	ErrUnknownID = errors.New("no cache has this id")                               // the id of a cache or the name of a site is unknown
	ErrTimeout   = errors.New("not done in time; what it has changed is not known") // the call may have been carried out in part
	ErrLastCache = errors.New("no cache in use would be left")                      // the call would detach the last caches in use
)

// Handlers carry out the calls.
type Handlers struct {
	// Ready reports whether the proxy accepts clients.
	Ready func() bool
	// WriteMetrics writes the metrics as text.
	WriteMetrics func(io.Writer)
	// DetachCache detaches the cache with the given id, or attaches it again if detach is false.
	DetachCache func(id string, detach bool) error
	// SetLameDuck turns clients away, or accepts them again.
	SetLameDuck func(lameDuck bool) error
	// DetachSite detaches all caches of a site one after another, spread over the given time (0 to state.MaxSiteDuration), or attaches
	// them again.
	DetachSite func(name string, detach bool, over time.Duration) error
}

// Server answers calls on the control port.
type Server struct {
	Handlers
	Log zerolog.Logger

	mu      sync.Mutex
	server  *http.Server
	pending []net.Conn // connections that have not sent a complete call, oldest first
}

// Serve answers calls on l until Close.
func (s *Server) Serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			http.Error(w, "no clients are taken", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /_vars", func(w http.ResponseWriter, _ *http.Request) {
		var text bytes.Buffer
		s.WriteMetrics(&text)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(text.Bytes())
	})
	for path, detach := range map[string]bool{"detach": true, "attach": false} {
		mux.HandleFunc("POST /_cache-nodes/"+path, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			id := strings.TrimSpace(string(body))
			if id == "" {
				http.Error(w, "the body holds no id", http.StatusBadRequest)
				return
			}
			s.writeResult(w, path+" "+id, s.DetachCache(id, detach))
		})
	}
	for path, detach := range map[string]bool{"detach": true, "attach": false} {
		mux.HandleFunc("POST /_sites/"+path, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			words := strings.Fields(string(body))
			over, err := time.Duration(0), error(nil)
			if len(words) == 2 {
				over, err = time.ParseDuration(words[1])
			}
			if len(words) < 1 || len(words) > 2 || err != nil || over < 0 || over > state.MaxSiteDuration {
				http.Error(w, "the body holds no site, or no span of at most an hour behind it, such as \"30s\"", http.StatusBadRequest)
				return
			}
			s.writeResult(w, "site "+path+" "+words[0]+" "+over.String(), s.DetachSite(words[0], detach, over))
		})
	}
	for path, lameDuck := range map[string]bool{"on": true, "off": false} {
		mux.HandleFunc("POST /_lameduck/"+path, func(w http.ResponseWriter, _ *http.Request) {
			s.writeResult(w, "lameduck "+path, s.SetLameDuck(lameDuck))
		})
	}
	// The connection stops being pending only when the body has arrived; bodies are short.
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if c, ok := r.Context().Value(connContextKey{}).(net.Conn); ok {
			s.removePending(c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		mux.ServeHTTP(w, r)
	})
	server := &http.Server{
		Handler:        handler,
		ReadTimeout:    readTimeout,
		WriteTimeout:   readTimeout + responseTimeout,
		MaxHeaderBytes: 8 << 10,
		ConnState:      s.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
		ErrorLog: log.New(io.Discard, "", 0),
	}
	server.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	server.Serve(l)
}

// writeResult logs a call and writes its result.
func (s *Server) writeResult(w http.ResponseWriter, call string, err error) {
	line := s.Log.Info()
	if err != nil {
		line = s.Log.Warn().Err(err)
	}
	line.Str("call", call).Msg("control call")
	switch {
	case err == nil:
		io.WriteString(w, "ok\n")
	case errors.Is(err, ErrUnknownID):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, ErrEnding), errors.Is(err, ErrLastCache):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// connContextKey is the context key of a request's net.Conn.
type connContextKey struct{}

// trackConn limits the connections that have not sent a complete call, so that they can't keep other callers out: it closes the oldest
// one when there are too many.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		s.removePending(c)
		return
	}
	if state != http.StateNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending = append(s.pending, c); len(s.pending) > maxPendingConns {
		s.pending[0].Close()
		s.pending = s.pending[1:]
	}
}

// removePending removes a connection whose call has arrived, or that is closed, from the pending ones.
func (s *Server) removePending(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.pending, c); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		s.server.Close()
	}
}
