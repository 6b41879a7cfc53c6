package baseline

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

// Names of faulty proxies. They have faults that no policy can cause, because the engine prevents them. They test that the judge of the
// ledger reports these faults.
const (
	IgnoresClientClose     = "deaf"            // sends each request after a delay, without checking that its client is still connected
	ForwardsClientDeadline = "client-deadline" // sends each request twice, the second time later but with the client's whole deadline
	ClosesAfterRead        = "drops-read"      // closes the connection on some requests that it has read
	ClosesBeforeReply      = "drops-answer"    // closes the connection on some requests instead of writing the answer
)

// proxyFault is the behavior of a faulty proxy.
type proxyFault struct {
	sendTwice         bool          // first sends the request once without delay, and discards the answer
	delay             time.Duration // before it sends the request whose answer the client gets
	closesAfterRead   bool          // on every closeInterval-th request
	closesBeforeReply bool          // on every closeInterval-th request
}

const (
	// closeInterval is the number of requests among which the connection of one is closed.
	closeInterval = 7
	// discoveryTimeout bounds the request for the list of caches.
	discoveryTimeout = 5 * time.Second
	// cacheDialTimeout bounds the time to connect to a cache.
	cacheDialTimeout = time.Second
	// cacheTimeout bounds the exchange with a cache.
	cacheTimeout = 2 * time.Second
	// readSize is the size of reads from a cache, in bytes.
	readSize = 4 << 10
)

var proxyFaults = map[string]proxyFault{
	IgnoresClientClose:     {delay: 1200 * time.Millisecond},
	ForwardsClientDeadline: {sendTwice: true, delay: 400 * time.Millisecond},
	ClosesAfterRead:        {closesAfterRead: true},
	ClosesBeforeReply:      {closesBeforeReply: true},
}

// IsFaulty reports whether name is the name of a faulty proxy.
func IsFaulty(name string) bool {
	_, known := proxyFaults[name]
	return known
}

// ServeFaulty runs a faulty proxy with the configuration file at path. It returns only on an error.
func ServeFaulty(name, path string) error {
	fault := proxyFaults[name]
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var config struct{ Listen, Discovery string }
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	client := http.Client{Timeout: discoveryTimeout}
	resp, err := client.Get("http://" + config.Discovery + "/catalog/members")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var list struct {
		Instances []struct {
			HostPort, MachineType string
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return err
	}
	var caches []string
	for _, instance := range list.Instances {
		if instance.MachineType != "origin" {
			caches = append(caches, instance.HostPort)
		}
	}
	if len(caches) == 0 {
		return fmt.Errorf("discovery at %s lists no caches among %d instances", config.Discovery, len(list.Instances))
	}
	var sent, received atomic.Uint64 // requests to caches, requests of clients
	return redcon.ListenAndServe(config.Listen, func(conn redcon.Conn, cmd redcon.Command) {
		if name := strings.ToUpper(string(cmd.Args[0])); name == "PING" {
			conn.WriteString("PONG")
			return
		}
		drops := received.Add(1)%closeInterval == 0
		if drops && fault.closesAfterRead {
			conn.Close()
			return
		}
		if fault.sendTwice {
			request(caches[sent.Add(1)%uint64(len(caches))], cmd.Raw)
		}
		time.Sleep(fault.delay)
		answer, err := request(caches[sent.Add(1)%uint64(len(caches))], cmd.Raw)
		if err != nil {
			conn.WriteError("ERR " + err.Error())
			return
		}
		if drops && fault.closesBeforeReply {
			conn.Close()
			return
		}
		conn.WriteRaw(answer)
	}, nil, nil)
}

// request sends a command to a cache, and returns the value in its answer, encoded as clients expect it.
func request(addr string, command []byte) ([]byte, error) {
	c, err := net.DialTimeout("tcp", addr, cacheDialTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(cacheTimeout))
	if _, err := c.Write(command); err != nil {
		return nil, err
	}
	var received []byte
	for buffer := make([]byte, readSize); ; {
		n, err := c.Read(buffer)
		received = append(received, buffer[:n]...)
		if length, answer := redcon.ReadNextRESP(received); length > 0 {
			if answer.Type != redcon.Array {
				return nil, fmt.Errorf("the cache refused") // reaches the client
			}
			var value []byte
			answer.ForEach(func(part redcon.RESP) bool {
				value = part.Raw // the first part of the answer
				return false
			})
			return value, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
