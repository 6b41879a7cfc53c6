// Command toy plays all that a proxy needs around it, on loopback: two caches, the origin, and discovery. It keeps
// everything in memory and is for trying minttray out only.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

const (
	originAddr    = "127.0.0.1:7003"
	discoveryAddr = "127.0.0.1:7004"
)

var cacheAddrs = []string{"127.0.0.1:7001", "127.0.0.1:7002"}

// world is what the servers share, as real ones would over a network of their own.
type world struct {
	mu     sync.Mutex
	kept   []map[string]string // by cache
	missed map[string]int      // by op id: the cache that lacked its key
	truth  map[string]string   // the origin's
}

func main() {
	w := &world{missed: map[string]int{}, truth: map[string]string{}}
	for n, addr := range cacheAddrs {
		w.kept = append(w.kept, map[string]string{})
		go func() {
			log.Fatal(redcon.ListenAndServe(addr, func(c redcon.Conn, cmd redcon.Command) { w.cache(n, c, cmd) },
				func(redcon.Conn) bool { return true }, nil))
		}()
	}
	go func() { log.Fatal(http.ListenAndServe(originAddr, http.HandlerFunc(w.origin))) }()
	log.Println("caches at", cacheAddrs, "origin at", originAddr, "discovery at", discoveryAddr)
	log.Fatal(http.ListenAndServe(discoveryAddr, http.HandlerFunc(discovery)))
}

// cache answers CACHE.GET with the value, how it went, and a load report.
func (w *world) cache(n int, c redcon.Conn, cmd redcon.Command) {
	switch name := string(cmd.Args[0]); {
	case name == "PING":
		c.WriteString("PONG")
	case name == "CACHE.GET" && len(cmd.Args) == 4:
		key, id := string(cmd.Args[1]), string(cmd.Args[2])
		w.mu.Lock()
		value, hit := w.kept[n][key]
		if !hit {
			w.missed[id] = n
		}
		w.mu.Unlock()
		log.Printf("cache %d: get %s, hit %v, %s", n, key, hit, cmd.Args[3])
		c.WriteArray(3)
		if hit {
			c.WriteBulkString(value)
		} else {
			c.WriteNull()
		}
		c.WriteNull()
		c.WriteBulkString("queue=0")
	default:
		c.WriteError("ERR unknown command")
	}
}

// origin answers slowly; what it read is then stored where it was missed, and a write drops the copies.
func (w *world) origin(out http.ResponseWriter, r *http.Request) {
	key := r.URL.Path[1:]
	body, err := io.ReadAll(http.MaxBytesReader(out, r.Body, 64<<10))
	if err != nil {
		out.Header().Set("X-Never-Ran", "1")
		http.Error(out, err.Error(), http.StatusServiceUnavailable)
		return
	}
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	log.Printf("origin: %s %s for %s", r.Method, key, r.Header.Get("X-Trace-Id"))
	if r.Method == http.MethodPut {
		w.truth[key] = string(body)
		for _, kept := range w.kept {
			delete(kept, key)
		}
		fmt.Fprintf(out, "stored %d bytes", len(body))
		return
	}
	value, ok := w.truth[key]
	if !ok {
		value = "nobody has written " + key + " yet"
	}
	id := r.Header.Get("X-Trace-Id")
	if n, ok := w.missed[id]; ok {
		w.kept[n][key] = value
		delete(w.missed, id)
	}
	io.WriteString(out, value)
}

// discovery has one list, which never changes: a watch on it ends when its wait is over.
func discovery(out http.ResponseWriter, r *http.Request) {
	type entry struct {
		ID        string  `json:"instanceId"`
		Addr      string  `json:"hostPort"`
		Zone      string  `json:"zone"`
		Kind      string  `json:"machineType"`
		Lifecycle string  `json:"lifecycle"`
		Weight    float64 `json:"weight"`
	}
	entries := []entry{}
	if r.URL.Query().Get("index") == "" {
		for n, addr := range cacheAddrs {
			entries = append(entries, entry{fmt.Sprint("cache-", n), addr, "here", "toy-cache", "active", 1})
		}
		entries = append(entries, entry{"origin", originAddr, "here", "toy-origin", "active", 1})
	} else if wait, err := strconv.Atoi(r.URL.Query().Get("wait")); err == nil {
		select {
		case <-time.After(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	json.NewEncoder(out).Encode(map[string]any{"generation": 1, "reset": r.URL.Query().Get("index") == "", "instances": entries})
}
