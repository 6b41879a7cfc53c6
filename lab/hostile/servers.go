package hostile

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	cacheCount       = 9
	cacheAnswerDelay = 2 * time.Millisecond
	originDelay      = 5 * time.Millisecond
	shortValueSize   = 24       // bytes
	largeValueSize   = 60 << 10 // bytes
	longValueSize    = 1 << 20  // bytes
	maxCommandWords  = 16
	// longValuePieces is the number of writes in which a cache sends a long value slowly, one each longValuePieceInterval.
	longValuePieces        = 40
	longValuePieceInterval = 50 * time.Millisecond
)

// Prefixes of keys that select how the stand-ins answer.
const (
	largeKeyPrefix = "large" // a value of largeValueSize
	longKeyPrefix  = "long"  // a value of longValueSize, written slowly
	slowKeyPrefix  = "slow"  // the origin reads a write's value slowly
)

// servers are the stand-ins for everything that a proxy talks to: caches, the origin and the discovery agent.
type servers struct {
	listeners []net.Listener
	agent     string // address
	instances []map[string]any
}

// startServers starts all stand-ins on loopback.
func startServers() (*servers, error) {
	s := &servers{}
	for i := range cacheCount {
		l, err := s.listen()
		if err != nil {
			return nil, err
		}
		go acceptAll(l, serveCache)
		s.addInstance(fmt.Sprintf("cache-%d", i), l, "std")
	}
	origin, err := s.listen()
	if err != nil {
		return nil, err
	}
	go http.Serve(origin, http.HandlerFunc(serveOrigin))
	s.addInstance("origin", origin, "origin")
	agent, err := s.listen()
	if err != nil {
		return nil, err
	}
	s.agent = agent.Addr().String()
	go http.Serve(agent, http.HandlerFunc(s.serveList))
	return s, nil
}

func (s *servers) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.close()
		return nil, err
	}
	s.listeners = append(s.listeners, l)
	return l, nil
}

func (s *servers) addInstance(id string, l net.Listener, kind string) {
	s.instances = append(s.instances, map[string]any{"instanceId": id, "hostPort": l.Addr().String(), "zone": "a",
		"machineType": kind, "lifecycle": "active", "weight": 1, "startedAtMs": 0})
}

// close closes all listeners.
func (s *servers) close() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// list returns the document of the discovery agent.
func (s *servers) list() map[string]any {
	return map[string]any{"generation": 1, "reset": true, "instances": s.instances}
}

// serveList answers a call for the whole list at once, and a watch never: the list does not change.
func (s *servers) serveList(out http.ResponseWriter, r *http.Request) {
	if r.URL.RawQuery != "" {
		<-r.Context().Done()
		return
	}
	json.NewEncoder(out).Encode(s.list())
}

// serveOrigin stores nothing: it answers a write with its id, and a read with a short value.
func serveOrigin(out http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/"+slowKeyPrefix) {
		r.Body = io.NopCloser(slowReader{r.Body})
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(originDelay)
	io.WriteString(out, answerValue("", r.Header.Get("X-Trace-Id")))
}

// slowReader reads slowPieceBytes at most, after longValuePieceInterval.
type slowReader struct{ io.Reader }

const slowPieceBytes = 16 << 10

func (r slowReader) Read(dest []byte) (int, error) {
	time.Sleep(longValuePieceInterval)
	return r.Reader.Read(dest[:min(len(dest), slowPieceBytes)])
}

// acceptAll serves each connection of a listener on a goroutine of its own until the listener is closed.
func acceptAll(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// serveCache answers the commands of one connection after cacheAnswerDelay.
func serveCache(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		words, err := readCommand(r)
		if err != nil {
			return
		}
		if len(words) < 3 { // INFO load
			io.WriteString(c, "-NOPERM\r\n")
			continue
		}
		key, id := words[1], words[2]
		time.Sleep(cacheAnswerDelay)
		value := answerValue(key, id)
		answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
		if err := writeAnswer(c, answer, strings.HasPrefix(key, longKeyPrefix)); err != nil {
			return
		}
	}
}

// writeAnswer writes an answer at once, or slowly in pieces.
func writeAnswer(c net.Conn, answer string, slowly bool) error {
	if !slowly {
		_, err := io.WriteString(c, answer)
		return err
	}
	for i := range longValuePieces {
		piece := answer[len(answer)*i/longValuePieces : len(answer)*(i+1)/longValuePieces]
		if _, err := io.WriteString(c, piece); err != nil {
			return err
		}
		time.Sleep(longValuePieceInterval)
	}
	return nil
}

// answerValue returns the value that a server makes for a request: its id, padded to the size that its key selects.
func answerValue(key, id string) string {
	size := shortValueSize
	switch {
	case strings.HasPrefix(key, largeKeyPrefix):
		size = largeValueSize
	case strings.HasPrefix(key, longKeyPrefix):
		size = longValueSize
	}
	return id + strings.Repeat(".", max(size-len(id), 0))
}

// readCommand reads one array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil || count > maxCommandWords {
		return nil, errors.Join(err, errors.New("not a command"))
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(r, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:size])
	}
	return words, nil
}

// readLength reads a length line of the given kind.
func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%q in place of a length", line)
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err == nil && n < 0 {
		err = errors.New("negative length")
	}
	return n, err
}
