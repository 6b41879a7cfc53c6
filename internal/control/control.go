// Package control answers the operators' calls, HTTP/1.1 and one to a connection. It decides nothing: what a call changes
// is the business of those that it is handed to.
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
	mostHalf  = 32              // connections without a whole call
	wholeCall = 5 * time.Second // for a call to come
	longestID = 1 << 10
	slowest   = 2 * time.Second // for a caller to read its answer
)

// ErrUnknownID is the answer to an id that nobody has, ErrTimeout to a call that could not be followed in time, ErrEnding to one
// that this process can't follow any more.
var (
	ErrEnding  = lifecycle.ErrEnding
	ErrUnknownID = errors.New("no cache has this id")
	ErrTimeout    = errors.New("not done in time; what it has changed is not known")
	ErrLastCache    = errors.New("no cache in use would be left")
)

// Handlers is what can be called.
type Handlers struct {
	Ready    func() bool
	WriteMetrics  func(io.Writer)
	DetachCache      func(id string, out bool) error // a cache
	SetLameDuck func(away bool) error
	DetachSite     func(name string, out bool, over time.Duration) error // all caches of a site, one after another over a span
}

// Server answers calls.
type Server struct {
	Handlers
	Log zerolog.Logger

	server *http.Server
	mu     sync.Mutex
	half   []net.Conn // without a whole call, the oldest first
}

// Serve answers on l until Close.
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
	for path, out := range map[string]bool{"detach": true, "attach": false} {
		mux.HandleFunc("POST /_cache-nodes/"+path, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			id := strings.TrimSpace(string(body))
			if id == "" {
				http.Error(w, "the body holds no id", http.StatusBadRequest)
				return
			}
			s.answer(w, path+" "+id, s.DetachCache(id, out))
		})
	}
	for path, out := range map[string]bool{"detach": true, "attach": false} {
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
			s.answer(w, "site "+path+" "+words[0]+" "+over.String(), s.DetachSite(words[0], out, over))
		})
	}
	for path, away := range map[string]bool{"on": true, "off": false} {
		mux.HandleFunc("POST /_lameduck/"+path, func(w http.ResponseWriter, _ *http.Request) {
			s.answer(w, "lameduck "+path, s.SetLameDuck(away))
		})
	}
	// Bodies are ids, or none: a call is whole, and taken for one, once its body is here.
	call := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, longestID))
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			s.whole(c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		mux.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: call, ReadTimeout: wholeCall, WriteTimeout: wholeCall + slowest, MaxHeaderBytes: 8 << 10,
		ConnState:   s.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }, ErrorLog: log.New(io.Discard, "", 0)}
	server.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	server.Serve(l)
}

func (s *Server) answer(w http.ResponseWriter, what string, err error) {
	line := s.Log.Info()
	if err != nil {
		line = s.Log.Warn().Err(err)
	}
	line.Str("call", what).Msg("operator's call")
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

type connKey struct{}

// state keeps those that hold a connection with no whole call from keeping others out: the oldest makes way.
func (s *Server) state(c net.Conn, is http.ConnState) {
	if is == http.StateClosed {
		s.whole(c)
		return
	}
	if is != http.StateNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.half = append(s.half, c); len(s.half) > mostHalf {
		s.half[0].Close()
		s.half = s.half[1:]
	}
}

// whole takes a connection off those that owe a call: it has come, or never will.
func (s *Server) whole(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.half, c); i >= 0 {
		s.half = slices.Delete(s.half, i, i+1)
	}
}

// Close ends the listener and all calls.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		s.server.Close()
	}
}
