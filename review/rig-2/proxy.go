package rig2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// JSON is an object of a configuration.
type JSON = map[string]any

// Case is one run of a case: its record, its temporary folder and the processes that it has started.
type Case struct {
	*Record
	Trouble bool // whether the disruption is played

	MemoryMB, Sockets int // limits of the proxies

	root, dir string
	runLine   string
	mu        sync.Mutex
	started   []*exec.Cmd
}

var runLinePattern = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// Main runs a case in the folder that the first argument names, and exits with the status that it returns. The working folder is the root of
// the repository.
func Main(play func(c *Case) (status int, err error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: CASE FOLDER")
		os.Exit(Unable)
	}
	status, err := run(os.Args[1], play)
	if err != nil {
		fmt.Println("could not run:", err)
		status = Unable
	}
	os.Exit(status)
}

func run(folder string, play func(c *Case) (int, error)) (int, error) {
	record, err := OpenRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return Unable, err
	}
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return Unable, err
	}
	line := runLinePattern.FindSubmatch(deploy)
	if line == nil {
		return Unable, fmt.Errorf("deploy/balancer.toml has no run line")
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return Unable, err
	}
	defer os.RemoveAll(dir)
	root, err := os.Getwd()
	if err != nil {
		return Unable, err
	}
	c := &Case{Record: record, Trouble: os.Getenv("TROUBLE") != "0", MemoryMB: 192, Sockets: 1024, root: root, dir: dir, runLine: string(line[1])}
	defer c.endAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		c.endAll()
		os.RemoveAll(dir)
		os.Exit(Unable)
	}()
	c.Say("disruption: %v", c.Trouble)
	status, err := play(c)
	if err != nil {
		c.Log("could not run: %v", err)
		return Unable, err
	}
	c.Say("verdict: %s", map[int]string{Held: "the rule held", Broken: "THE RULE WAS BROKEN", Unable: "the case could not run"}[status])
	return status, nil
}

// endAll ends all processes that the case has started.
func (c *Case) endAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cmd := range c.started {
		cmd.Process.Kill()
		cmd.Wait()
	}
}

// Proxy is one running proxy.
type Proxy struct {
	Name, Addr string
	Process    *os.Process
}

// FreeAddr returns a loopback address that nobody listens at.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// StartProxy starts a proxy as the deploy file says, and waits until it answers PING.
func (c *Case) StartProxy(name, seed, discovery string, known, settings JSON) (*Proxy, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	config, err := json.MarshalIndent(JSON{"name": name, "listen": addr, "discovery": discovery, "seed": seed,
		"limits": JSON{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets}, "known": known, "settings": settings}, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	temporary := filepath.Join(c.dir, name+".tmp")
	if err := os.Mkdir(temporary, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", c.runLine)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, log, log
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME="+name, "BALANCER_LISTEN="+addr, "BALANCER_DISCOVERY="+discovery,
		"TMPDIR="+temporary)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.started = append(c.started, cmd)
	c.mu.Unlock()
	c.Log("proxy %s started at %s, seed %s", name, addr, seed)
	for giveUp := time.Now().Add(10 * time.Second); time.Now().Before(giveUp); time.Sleep(50 * time.Millisecond) {
		if ping(addr) {
			c.Log("proxy %s takes clients", name)
			return &Proxy{name, addr, cmd.Process}, nil
		}
	}
	return nil, fmt.Errorf("proxy %s did not answer PING within 10 s", name)
}

func ping(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write([]byte("*1\r\n$4\r\nPING\r\n"))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "+PONG\r\n"
}

// Category is a class of requests in the settings.
type Category struct {
	Name, Effect  string
	TargetMS, TTL int // in milliseconds
}

// Settings returns the settings of a small deployment of proxies that are given index and count, with the origin asked for misses. Callers may
// change them.
func Settings(index, count int, zones []string, categories []Category) JSON {
	var list []JSON
	for _, category := range categories {
		list = append(list, JSON{"name": category.Name, "effect": category.Effect, "group": "all", "benefit": 2.0, "tardy-benefit": 0.2, "stream": false,
			"dedup-window-us": 5_000_000, "target-latency-us": category.TargetMS * 1000, "ttl-us": category.TTL * 1000})
	}
	return JSON{
		"balancers": count, "index": index, "layer": 0, "tiers": []string{"store"}, "family": "cache", "benefit-by": "request", "beyond-share-benefit": 0.1,
		"blend":         JSON{"whole": 0.6, "worst-class": 0.2, "worst-window": 0.2},
		"categories":    list,
		"client-habits": JSON{"marks-retry": true},
		"contract": JSON{"answer-slack-us": 20000, "ask-every-us": 10_000_000, "cold-from": 0.3, "drain-grace-us": 2_000_000, "fall-multiple": 3.0,
			"tip-after-us": 3_000_000, "warm-up-us": 8_000_000},
		"deductions": JSON{"connection": 0.12, "cross-zone": 0.0, "discovery": 0.0, "handshake": 0.08, "late-fail": 0.05, "moves": 0.0, "origin": 0.0,
			"peer": 0.0, "probe": 0.01, "waste": 0.3},
		"discovery": "push",
		"family-info": JSON{"mode": "aside", "notes": "1 hit, 2 miss, 3 miss beside another fetch", "origin-fall-multiple": 0.0, "origin-fall-us": 3_000_000,
			"origin-kind": 1, "report-x0": "share of hits", "report-x1": "fetches out"},
		"limits": JSON{"cancelling": true, "conn-idle-us": 60_000_000, "connect-timeout-us": 100_000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 800_000,
			"max-open": 20000, "max-retry-after-us": 2_000_000, "max-streams": 1, "may-duplicate": false, "most-pushes": 5, "peers": false,
			"probing": false, "retry-after": true},
		"load-report": JSON{"fields": []string{}, "how": "off"},
		"skus":        []string{"box", "origin"}, "tenants": []JSON{}, "tick-us": 5000, "weights": "off", "zone": 0, "zones": zones,
	}
}
