package hostile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const startTimeout = 10 * time.Second

// proxy is one real process of the proxy under test.
type proxy struct {
	addr    string // that clients connect to
	control string // of the operators' calls
	logPath string

	cmd   *exec.Cmd
	ended chan struct{}
	err   error // valid once ended is closed
}

// startProxy starts a proxy and waits until it answers PING.
func startProxy(s Setup, list map[string]any, agent string) (*proxy, error) {
	p := &proxy{logPath: filepath.Join(s.Dir, "proxy.log"), ended: make(chan struct{})}
	var err error
	if p.addr, err = freeAddr(); err != nil {
		return nil, err
	}
	if p.control, err = freeAddr(); err != nil {
		return nil, err
	}
	configPath, err := p.writeConfig(s, list, agent)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	tempDir := filepath.Join(s.Dir, "tmp")
	if err := os.MkdirAll(tempDir, 0o755); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(s.Program)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+configPath, "TMPDIR="+tempDir)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	for giveUpAt := time.Now().Add(startTimeout); time.Now().Before(giveUpAt); time.Sleep(pollInterval) {
		if p.answersPing() {
			return p, nil
		}
	}
	p.stop()
	return nil, errors.New("the proxy did not answer PING in time")
}

const pollInterval = 20 * time.Millisecond

func (p *proxy) answersPing() bool {
	c, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	answer := make([]byte, len(pongLine))
	c.Write([]byte(pingCommand))
	_, err = c.Read(answer)
	return err == nil && string(answer) == pongLine
}

// writeConfig writes the proxy's configuration and returns its path.
func (p *proxy) writeConfig(s Setup, list map[string]any, agent string) (string, error) {
	class := func(name, effect string, milliseconds int) map[string]any {
		return map[string]any{"name": name, "benefit": 1, "effect": effect, "group": "all", "dedup-window-us": 5_000_000,
			"target-latency-us": milliseconds * 1000 / 2, "ttl-us": milliseconds * 1000}
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": "proxy", "listen": p.addr, "control": p.control, "discovery": agent, "seed": fmt.Sprintf("%016x", s.Seed),
		"limits": map[string]any{"cores": s.Cores, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":  list,
		"settings": map[string]any{
			"balancers":   1,
			"categories":  []any{class("read", "read_like", 2000), class("put", "read_like", 2000), class("once", "non_idempotent", 2000)},
			"contract":    map[string]any{"cold-from": 0.31, "drain-grace-us": 2_000_000, "fall-multiple": 3, "tip-after-us": 3_000_000, "warm-up-us": 8_800_000},
			"deductions":  map[string]any{"connection": 0.12, "handshake": 0.08, "waste": 0.3},
			"discovery":   "push",
			"family":      "cache",
			"family-info": map[string]any{"mode": "aside", "origin-kind": 1},
			"limits": map[string]any{"cancelling": true, "conn-idle-us": 60_000_000, "connect-timeout-us": 100_000, "max-open": 20_000,
				"max-retry-after-us": 2_000_000, "most-pushes": 5, "retry-after": true},
			"skus":    []string{"std", "origin"},
			"tenants": []any{map[string]any{"name": "acme", "quota-rps": 100_000, "share": 1}},
			"tick-us": 5000,
			"zone":    0,
			"zones":   []string{"a"},
		},
	}, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.Dir, "proxy.json")
	return path, os.WriteFile(path, text, 0o600)
}

// freeAddr returns a loopback address with a port that was free just now.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// hasEnded reports whether the process has ended.
func (p *proxy) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *proxy) peakMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("no peak of resident memory in the process's status")
}

// watchPeak reads the process's peak of memory until it ends.
func (p *proxy) watchPeak() *atomic.Int64 {
	peak := &atomic.Int64{}
	go func() {
		for !p.hasEnded() {
			if bytes, err := p.peakMemory(); err == nil {
				peak.Store(max(peak.Load(), bytes))
			}
			time.Sleep(pollInterval)
		}
	}()
	return peak
}

// sendSignals sends signals at their times since now, and SIGKILL at the platform's earliest after a SIGTERM.
func (p *proxy) sendSignals(signals []Signal, stopping *atomic.Bool) {
	begun := time.Now()
	for _, s := range signals {
		time.Sleep(time.Until(begun.Add(s.At)))
		if s.Signal == syscall.SIGTERM {
			stopping.Store(true)
		}
		p.cmd.Process.Signal(s.Signal)
		if s.Signal == syscall.SIGTERM {
			time.Sleep(longestDeadline + killGrace)
			p.cmd.Process.Kill()
		}
	}
}

// stop ends the process and waits for its end.
func (p *proxy) stop() {
	p.cmd.Process.Kill()
	<-p.ended
}

// logTail returns the last lines of the process's log.
func (p *proxy) logTail() string {
	const tailSize = 4 << 10
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(text[max(len(text)-tailSize, 0):]))
}
