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

// Names of proxies that are no rules, but planted faults which no rule can bring about, as the engine refuses. The ledger has to find them.
const (
	IgnoresClientClose           = "deaf"            // sends each request on after a while, without a look whether its client is there still
	ForwardsClientDeadline = "client-deadline" // sends each request on twice, the second time a while later, with the client's own deadline
	ClosesAfterRead      = "drops-read"      // closes the connection on some requests that it has read
	ClosesBeforeReply    = "drops-answer"    // closes it on some whose answer has come and is not written
)

// planted is what such a proxy does with a request.
type planted struct {
	twice bool          // it makes an attempt at once, whose answer it throws away
	hold  time.Duration // ahead of the attempt that it answers by

	dropsRead, dropsAnswer bool // every few requests
}

const dropEvery = 7 // requests

var allPlanted = map[string]planted{
	IgnoresClientClose:           {hold: 1200 * time.Millisecond},
	ForwardsClientDeadline: {twice: true, hold: 400 * time.Millisecond},
	ClosesAfterRead:      {dropsRead: true},
	ClosesBeforeReply:    {dropsAnswer: true},
}

// IsFaulty tells whether a name is that of a planted fault.
func IsFaulty(name string) bool {
	_, known := allPlanted[name]
	return known
}

// ServeFaulty runs a planted fault by a proxy's configuration file; it comes back with an error only.
func ServeFaulty(name, path string) error {
	fault := allPlanted[name]
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var c struct{ Listen, Discovery string }
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + c.Discovery + "/catalog/members")
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
	for _, in := range list.Instances {
		if in.MachineType != "origin" {
			caches = append(caches, in.HostPort)
		}
	}
	if len(caches) == 0 {
		return fmt.Errorf("no cache is listed")
	}
	var turn, seen atomic.Uint64
	return redcon.ListenAndServe(c.Listen, func(conn redcon.Conn, cmd redcon.Command) {
		if name := strings.ToUpper(string(cmd.Args[0])); name == "PING" {
			conn.WriteString("PONG")
			return
		}
		drops := seen.Add(1)%dropEvery == 0
		if drops && fault.dropsRead {
			conn.Close()
			return
		}
		if fault.twice {
			ask(caches[turn.Add(1)%uint64(len(caches))], cmd.Raw)
		}
		time.Sleep(fault.hold)
		answer, err := ask(caches[turn.Add(1)%uint64(len(caches))], cmd.Raw)
		if err != nil {
			conn.WriteError("ERR " + err.Error())
			return
		}
		if drops && fault.dropsAnswer {
			conn.Close()
			return
		}
		conn.WriteRaw(answer)
	}, nil, nil)
}

// ask sends a command to a cache and gives the value of its answer, as a client wants it.
func ask(addr string, command []byte) ([]byte, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write(command); err != nil {
		return nil, err
	}
	var all []byte
	for buf := make([]byte, 4<<10); ; {
		n, err := c.Read(buf)
		all = append(all, buf[:n]...)
		if whole, answer := redcon.ReadNextRESP(all); whole > 0 {
			if answer.Type != redcon.Array {
				return nil, fmt.Errorf("the cache refused")
			}
			var value []byte
			answer.ForEach(func(part redcon.RESP) bool {
				value = part.Raw
				return false
			})
			return value, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
