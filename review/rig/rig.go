// Package rig holds what the cases of the review share: a record, configurations, and the start and end of proxies as separate
// processes by the deploy file's run line.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	CantGo = 2
)

// Object is a JSON object.
type Object = map[string]any

// Record is the log of a run: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates the file record.txt in a folder.
func OpenRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: file, start: time.Now()}, err
}

// Add writes one line with the time since the start of the run.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Trouble reports whether the run has its disruption: it has unless TROUBLE is 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// FreeAddr returns a loopback address with a port that was free just now.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Class returns a class of the settings. Times are in milliseconds.
func Class(name, effect string, target, ttl int) Object {
	return Object{"name": name, "benefit": 1.0, "effect": effect, "group": "all", "dedup-window-us": 5_000_000, "stream": false,
		"tardy-benefit": 0.0, "target-latency-us": target * 1000, "ttl-us": ttl * 1000}
}

// Settings returns the settings of a small deployment that asks caches first and the origin after a miss.
func Settings(proxies, index int, classes []Object) Object {
	return Object{
		"balancers": proxies, "index": index, "categories": classes, "beyond-share-benefit": 0.1,
		"client-habits": Object{"marks-retry": true},
		"contract": Object{"answer-slack-us": 20_000, "ask-every-us": 7_000_000, "cold-from": 0.31, "drain-grace-us": 2_000_000,
			"fall-multiple": 3.0, "tip-after-us": 3_000_000, "warm-up-us": 8_800_000},
		"deductions":  Object{"connection": 0.12, "cross-zone": 0.03, "handshake": 0.08, "probe": 0.01, "waste": 0.3},
		"discovery":   "push",
		"family":      "cache",
		"family-info": Object{"mode": "aside", "origin-kind": 1},
		"limits": Object{"cancelling": true, "conn-idle-us": 60_000_000, "connect-timeout-us": 100_000, "max-open": 20_000,
			"max-retry-after-us": 2_000_000, "may-duplicate": false, "most-pushes": 5, "peers": false, "probing": true, "retry-after": true},
		"load-report": Object{"fields": []string{"svc_ms", "failed_ps", "pending", "x0"}, "how": "inline"},
		"skus":        []string{"std", "origin"},
		"tenants":     []Object{{"name": "acme", "quota-rps": 2000.0, "share": 1.0}},
		"tick-us":     5000,
		"weights":     "off",
		"zone":        0,
		"zones":       []string{"a"},
	}
}

// Proxy is one process of the proxy.
type Proxy struct {
	Name, Listen, Control string

	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// Launch is what a proxy is started with.
type Launch struct {
	Name, Listen, Control, Discovery string
	MemoryMB, Sockets                int
	Cores                            float64
	Known, Settings                  Object
}

// runLine returns the run line of the deploy file.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		return "", errors.New("the deploy file has no run line")
	}
	return string(match[1]), nil
}

// Start writes a proxy's configuration into a folder, starts it by the deploy file's run line, and waits until it takes clients.
func Start(folder string, l Launch) (*Proxy, error) {
	p := &Proxy{Name: l.Name, Listen: l.Listen, Control: l.Control, ended: make(chan struct{})}
	conf := Object{"name": l.Name, "listen": l.Listen, "discovery": l.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": Object{"cores": l.Cores, "memory_mb": l.MemoryMB, "sockets": l.Sockets}, "known": l.Known, "settings": l.Settings}
	if l.Control != "" {
		conf["control"] = l.Control
	}
	text, err := json.MarshalIndent(conf, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, l.Name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	run, err := runLine()
	if err != nil {
		return nil, err
	}
	scratch := filepath.Join(folder, l.Name+".tmp")
	if err := os.MkdirAll(scratch, 0o755); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(folder, l.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME="+l.Name, "BALANCER_LISTEN="+l.Listen,
		"BALANCER_DISCOVERY="+l.Discovery, "TMPDIR="+scratch)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if p.ready() {
			return p, nil
		}
	}
	p.Kill()
	return nil, fmt.Errorf("%s was not ready in time", l.Name)
}

// ready reports whether the proxy takes clients: by the operators' call if it listens for these, otherwise by PING, which another process
// at the same address could answer in its place.
func (p *Proxy) ready() bool {
	if p.Control != "" {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		answer, err := client.Get("http://" + p.Control + "/_ready")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}
	c, err := net.DialTimeout("tcp", p.Listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "+PONG")
}

// Signal sends a signal to the program that the run line has started.
func (p *Proxy) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Ended reports whether the process has ended by itself or by a signal.
func (p *Proxy) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process and reports whether it came in time.
func (p *Proxy) Wait(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the process and waits for its end.
func (p *Proxy) Kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// CPU returns the processor time that the process has used so far.
func (p *Proxy) CPU() time.Duration {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// WatchStalls begins to watch for moments at which this program does not run, and returns a function that tells the longest so far.
func WatchStalls() (longest func() time.Duration) {
	var worst atomic.Int64
	go func() {
		const step = 10 * time.Millisecond
		for last := time.Now(); ; {
			time.Sleep(step)
			now := time.Now()
			worst.Store(max(worst.Load(), int64(now.Sub(last)-step)))
			last = now
		}
	}()
	return func() time.Duration { return time.Duration(worst.Load()) }
}

// maxLogLines bounds the lines of a proxy's log that a record takes.
const maxLogLines = 60

// CopyLog copies the last lines of a proxy's log into the record.
func CopyLog(record *Record, folder, name string) {
	text, _ := os.ReadFile(filepath.Join(folder, name+".log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[max(len(lines)-maxLogLines, 0):] {
		record.Add("log of %s: %s", name, line)
	}
}
