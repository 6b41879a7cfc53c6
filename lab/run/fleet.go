package run

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/load"
	"minttray/lab/measure"
	"minttray/lab/world"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 8 * time.Second // after SIGTERM, for one that another process replaces
	logTailLines = 8               // of its log, for a proxy that ended by itself
)

// fleet is the proxies' processes.
type fleet struct {
	experiment *experiment.File
	world      *world.World
	dir        string
	command    []string
	env        []string
	proxies    []*load.Proxy

	done      chan struct{} // closed at the end
	closeDone sync.Once

	mu              sync.Mutex
	agents          []*world.Agent
	processes       []*process
	lastIncarnation uint32
	siteDetachedAt  map[int]uint32 // by proxy: the life that was told that a site is out; of the one fault that does
	crashes         []string       // proxies that ended by themselves
	usage           []measure.Usage
}

type process struct {
	cmd          *exec.Cmd
	incarnation  uint32
	exited       chan struct{}
	stoppedByLab bool // the lab ended it
	terminated   bool // by SIGTERM, and then it had its time
	logPath      string

	controlAddr string // where operators call
	replaced    bool   // by an upgrade
}

// newFleet starts all proxies and waits until they serve.
func newFleet(exp *experiment.File, w *world.World, dir string, command, env []string) (*fleet, error) {
	f := &fleet{experiment: exp, world: w, dir: dir, command: command, env: env, processes: make([]*process, exp.Proxies.Count), siteDetachedAt: map[int]uint32{},
		usage: make([]measure.Usage, exp.Proxies.Count), done: make(chan struct{})}
	for n := range exp.Proxies.Count {
		a, err := w.Registry.NewAgent(n)
		if err != nil {
			return f, err
		}
		addr, err := w.ProxyAddr(n)
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, a)
		f.proxies = append(f.proxies, &load.Proxy{Addr: addr, Zone: exp.ZoneOfProxy(n), Endpoint: w.ProxyEndpoint(n)})
	}
	errs := make([]error, exp.Proxies.Count)
	var wait sync.WaitGroup
	for n := range exp.Proxies.Count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			errs[n] = f.Start(n)
		}()
	}
	wait.Wait()
	if exp.NeedsControl() {
		f.pollPings()
	}
	return f, errors.Join(errs...)
}

// Count and the rest are what faults need.
func (f *fleet) Count() int               { return f.experiment.Proxies.Count }
func (f *fleet) Agent(n int) *world.Agent { return f.agents[n] }

// temp is the directory that a proxy's processes share, empty at each start but not at an upgrade.
func (f *fleet) tempDir(n int) string { return filepath.Join(f.dir, fmt.Sprintf("tmp-%d", n)) }

// Start starts a proxy's process and waits until it answers PING. One that runs is left alone: of two faults that bring it back
// the second has nothing to do.
func (f *fleet) Start(n int) error {
	f.mu.Lock()
	previous := f.processes[n]
	f.mu.Unlock()
	if previous != nil {
		select {
		case <-previous.exited:
		default:
			return nil
		}
	}
	if err := errors.Join(os.RemoveAll(f.tempDir(n)), os.Mkdir(f.tempDir(n), 0o755)); err != nil {
		return err
	}
	p, err := f.launch(n, 0)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.exited:
			f.mu.Lock()
			stoppedByLab := p.stoppedByLab
			f.mu.Unlock()
			if stoppedByLab { // by another fault, before it served
				return nil
			}
			return fmt.Errorf("proxy %d ended before it served: %s", n, logTail(p.logPath))
		default:
		}
		if pingOK(f.proxies[n].Addr) {
			f.proxies[n].MarkUp()
			return nil
		}
	}
	return fmt.Errorf("proxy %d does not serve after %v: %s", n, startTimeout, logTail(p.logPath))
}

// Upgrade starts a new process beside the old one, at the same address, and ends the old one once the new one says that it
// takes clients. Both are one life: what either loses is lost.
func (f *fleet) Upgrade(n int) error {
	f.mu.Lock()
	old := f.processes[n]
	f.mu.Unlock()
	if old == nil {
		return fmt.Errorf("proxy %d does not run", n)
	}
	p, err := f.launch(n, old.incarnation)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		if err = f.callControl(p, http.MethodGet, "/_ready", ""); err == nil {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("proxy %d, upgraded: %w: %s", n, err, logTail(p.logPath))
		}
	}
	f.proxies[n].MarkUp()
	f.mu.Lock()
	old.stoppedByLab, old.replaced = true, true
	f.mu.Unlock()
	old.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.exited:
	case <-time.After(stopTimeout):
		old.cmd.Process.Kill()
		return fmt.Errorf("proxy %d, replaced, did not end within %v of SIGTERM", n, stopTimeout)
	}
	return nil
}

// Hand has an operator take a cache out, or call it back. From the yes on nothing new may go there.
func (f *fleet) SetCacheDetached(n int, cache string, number uint32, detach bool) error {
	f.mu.Lock()
	p := f.processes[n]
	f.mu.Unlock()
	path, record := "/_cache-nodes/attach", ledger.Record{Kind: ledger.OperatorOverride, At: f.world.Now(), A: p.incarnation, B: number}
	if detach {
		path, record.C = "/_cache-nodes/detach", 1
	}
	if err := f.callControl(p, http.MethodPost, path, cache); err != nil {
		return fmt.Errorf("proxy %d, %s %s: %w", n, path, cache, err)
	}
	if detach {
		record.At = f.world.Now()
	}
	f.world.Ledger.Append(record)
	return nil
}

// HandSite has an operator take a whole site out at a proxy, or call it back, over a span.
func (f *fleet) SetSiteDetached(n int, site string, caches []uint32, detach bool, spread time.Duration) error {
	f.mu.Lock()
	p := f.processes[n]
	f.mu.Unlock()
	select {
	case <-p.exited: // its site is lost: nobody can call it
		return nil
	default:
	}
	path, state := "/_sites/attach", uint32(0)
	if detach {
		path, state = "/_sites/detach", 1
	}
	body := site
	if spread > 0 {
		body += " " + spread.String()
	}
	at := f.world.Now()
	if !detach && p.incarnation != f.siteDetachedAt[n] { // a new process on an empty disk: nobody has taken the site out there
		return nil
	}
	f.siteDetachedAt[n] = p.incarnation
	if err := f.callControl(p, http.MethodPost, path, body); err != nil {
		return fmt.Errorf("proxy %d, %s %s: %w", n, path, body, err)
	}
	record := func() {
		for _, c := range caches {
			f.world.Ledger.Append(ledger.Record{Kind: ledger.OperatorOverride, At: at, A: p.incarnation, B: c, C: state})
		}
	}
	if !detach {
		record()
		return nil
	}
	// All of them are out once the span is over. Danger: booked ahead, the judge would close ops that are still open.
	time.AfterFunc(spread, func() {
		at = f.world.Now()
		record()
	})
	return nil
}

// Retune writes a proxy's settings anew, with other quotas, and has it read them; it has to say that it took them.
func (f *fleet) ReloadQuotas(n int, factor float64) error {
	f.mu.Lock()
	p := f.processes[n]
	f.mu.Unlock()
	changed := *f.experiment
	changed.Tenants = slices.Clone(f.experiment.Tenants)
	for i := range changed.Tenants {
		changed.Tenants[i].Quota *= factor
	}
	before := readCounters(p)["svc_reloads_ok"]
	if _, err := writeConfig(f.dir, &changed, n, f.proxies[n].Addr, f.agents[n].Addr, p.controlAddr, f.agents[n].List()); err != nil {
		return err
	}
	f.sendSignal(n, syscall.SIGHUP)
	for deadline := time.Now().Add(startTimeout); readCounters(p)["svc_reloads_ok"] == before; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("proxy %d has not taken new settings: %s", n, logTail(p.logPath))
		}
	}
	return nil
}

// Stall stops a proxy's process as it is, or lets it go on.
func (f *fleet) SetStopped(n int, stopped bool) {
	sig, state := syscall.SIGCONT, uint32(0)
	if stopped {
		sig, state = syscall.SIGSTOP, 1
	}
	record := ledger.Record{Kind: ledger.ProxyStalled, At: f.world.Now(), C: state}
	if p := f.sendSignal(n, sig); p != nil {
		record.A = p.incarnation
		if !stopped {
			record.At = f.world.Now()
		}
		f.world.Ledger.Append(record)
	}
}

// throttlePeriod is how often a throttled process is stopped and let go on, as a machine's quota of processor time does.
const throttlePeriod = 100 * time.Millisecond

// Throttle has a proxy's process run for a share of the time. Unlike a stall it is not booked, and excuses nothing.
func (f *fleet) Throttle(n int, share float64, duration time.Duration) {
	runTime := time.Duration(share * float64(throttlePeriod))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.sendSignal(n, syscall.SIGSTOP)
		time.Sleep(throttlePeriod - runTime)
		f.sendSignal(n, syscall.SIGCONT)
		time.Sleep(runTime)
	}
}

// Away has an operator send clients away from a proxy, or take them again; PING has to say so within two seconds.
func (f *fleet) SetLameduck(n int, lameduck bool) error {
	f.mu.Lock()
	p := f.processes[n]
	f.mu.Unlock()
	path := "/_lameduck/off"
	if lameduck {
		path = "/_lameduck/on"
	}
	if err := f.callControl(p, http.MethodPost, path, ""); err != nil {
		return fmt.Errorf("proxy %d, %s: %w", n, path, err)
	}
	for deadline := time.Now().Add(2 * time.Second); pingOK(f.proxies[n].Addr) == lameduck; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("proxy %d, %s: PING does not say so", n, path)
		}
	}
	return nil
}

// Idle counts clients' connections to a proxy with nothing out.
func (f *fleet) IdleConns(n int) int { return f.proxies[n].IdleConns() }

// ask is the front's question, ten times a second, where operators send clients away.
func (f *fleet) pollPings() {
	for n, p := range f.proxies {
		go func() {
			for ticker := time.NewTicker(100 * time.Millisecond); ; {
				select {
				case <-ticker.C:
					f.mu.Lock()
					started := f.processes[n] != nil
					f.mu.Unlock()
					if started {
						p.RecordPing(pingOK(p.Addr))
					}
				case <-f.done:
					ticker.Stop()
					return
				}
			}
		}()
	}
}

// call makes an operator's call; an error is any answer but a yes within a second.
func (f *fleet) callControl(p *process, method, path, body string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+p.controlAddr+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.New(resp.Status)
	}
	return nil
}

// vars sums the figures of the processes that run, by name without their class; nil where operators have no address to call.
func (f *fleet) counters() map[string]int64 {
	if !f.experiment.NeedsControl() {
		return nil
	}
	f.mu.Lock()
	processes := append([]*process(nil), f.processes...)
	f.mu.Unlock()
	sums := map[string]int64{}
	for _, p := range processes {
		for name, n := range readCounters(p) {
			sums[name] += n
		}
	}
	return sums
}

// figures are a process's, by name without their class.
func readCounters(p *process) map[string]int64 {
	sums := map[string]int64{}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.controlAddr + "/_vars")
	if err != nil {
		sums["unanswered"]++
		return sums
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		name, _, _ = strings.Cut(name, "{")
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			sums[name] += n
		}
	}
	return sums
}

// start starts a process; life 0: of a life of its own.
func (f *fleet) launch(n int, incarnation uint32) (*process, error) {
	control := ""
	if f.experiment.NeedsControl() {
		var err error
		if control, err = f.world.ControlAddr(n); err != nil {
			return nil, err
		}
	}
	path, err := writeConfig(f.dir, f.experiment, n, f.proxies[n].Addr, f.agents[n].Addr, control, f.agents[n].List())
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	if incarnation == 0 {
		f.lastIncarnation++
		incarnation = f.lastIncarnation
	}
	p := &process{incarnation: incarnation, controlAddr: control, exited: make(chan struct{}), logPath: filepath.Join(f.dir, fmt.Sprintf("proxy-%d.log", n))}
	f.mu.Unlock()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	p.cmd = exec.Command(f.command[0], f.command[1:]...)
	p.cmd.Env = append(append(os.Environ(), f.env...), "BALANCER_CONFIG="+path, "TMPDIR="+f.tempDir(n))
	if operatorsText := operatorsConfig(f.dir, f.experiment); operatorsText != "" {
		operatorsPath := filepath.Join(f.dir, "operators.toml")
		if err := os.WriteFile(operatorsPath, []byte(operatorsText), 0o644); err != nil {
			return nil, err
		}
		p.cmd.Env = append(p.cmd.Env, "MINTTRAY_OPERATORS="+operatorsPath)
	}
	p.cmd.Stderr, p.cmd.Stdout = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the lab
	// A connection made from now on can only be to this life: it may accept before the lab has noticed.
	f.agents[n].SetIncarnation(p.incarnation)
	f.proxies[n].Incarnation.Store(p.incarnation)
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("proxy %d: %w", n, err)
	}
	f.mu.Lock()
	f.processes[n] = p
	f.mu.Unlock()
	go f.awaitExit(n, p)
	return p, nil
}

func pingOK(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.HasPrefix(line, "+PONG")
}

// watch books the process's end.
func (f *fleet) awaitExit(n int, p *process) {
	err := p.cmd.Wait()
	f.mu.Lock()
	stoppedByLab, terminated := p.stoppedByLab, p.terminated
	if !stoppedByLab {
		f.crashes = append(f.crashes, fmt.Sprintf("proxy %d ended by itself (%v): %s", n, err, logTail(p.logPath)))
	}
	replaced := p.replaced
	f.mu.Unlock()
	if replaced { // its life goes on in another process
		close(p.exited)
		return
	}
	cause := uint32(ledger.ExitCrashed)
	switch {
	case stoppedByLab && terminated:
		cause = ledger.ExitTerminated
	case stoppedByLab:
		cause = ledger.ExitKilled
	}
	f.proxies[n].MarkDown()
	f.world.Ledger.Append(ledger.Record{Kind: ledger.ProxyExited, At: f.world.Now(), A: p.incarnation, C: cause})
	close(p.exited)
}

// tail is the end of a log.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return "\n  " + strings.Join(lines[max(len(lines)-logTailLines, 0):], "\n  ")
}

func (f *fleet) sendSignal(n int, sig syscall.Signal) *process {
	f.mu.Lock()
	p := f.processes[n]
	f.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case <-p.exited:
		return nil
	default:
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		f.mu.Lock()
		p.stoppedByLab = true
		f.mu.Unlock()
	}
	if sig == syscall.SIGTERM {
		f.proxies[n].MarkTerminating()
	}
	p.cmd.Process.Signal(sig)
	return p
}

// Kill ends a proxy at once.
func (f *fleet) Kill(n int) {
	if p := f.sendSignal(n, syscall.SIGKILL); p != nil {
		<-p.exited
	}
}

// Term asks a proxy to end, and kills it as early as its platform may: what it then holds is lost.
func (f *fleet) Terminate(n int) {
	if p := f.sendSignal(n, syscall.SIGTERM); p != nil {
		f.awaitTermination(n, p)
	}
}

// awaitEnd waits for a process that was sent SIGTERM just now, and kills it at the earliest moment at which its platform may.
func (f *fleet) awaitTermination(n int, p *process) {
	f.mu.Lock()
	p.terminated = true
	f.mu.Unlock()
	select {
	case <-p.exited:
	case <-time.After(f.experiment.KillAfter()):
		f.Kill(n)
	}
}

const signalInterval = 150 * time.Millisecond // of a series

// Signals sends a proxy a series of signals, which ends it.
func (f *fleet) SendSignals(n int, series string) {
	switch series {
	case "hups":
		for range 5 {
			f.sendSignal(n, syscall.SIGHUP)
			time.Sleep(signalInterval / 5)
		}
		f.Terminate(n)
		return
	case "kill-after-term":
		f.sendSignal(n, syscall.SIGTERM)
		time.Sleep(signalInterval)
		f.Kill(n)
		return
	}
	p := f.sendSignal(n, syscall.SIGTERM)
	if p == nil {
		return
	}
	repeated := syscall.SIGTERM
	if series == "hup-in-drain" {
		repeated = syscall.SIGHUP
	}
	for n := range 2 {
		time.AfterFunc(time.Duration(n+1)*signalInterval, func() { p.cmd.Process.Signal(repeated) })
	}
	f.awaitTermination(n, p)
}

// Crowd holds idle connections to a proxy for a span, and opens others in the place of those that it ends.
func (f *fleet) HoldIdleConns(n, size int, duration time.Duration) {
	const interval = 100 * time.Millisecond
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			c.Close()
		}
	}()
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(interval) {
		for range size {
			mu.Lock()
			full := len(open) >= size
			mu.Unlock()
			if full {
				break
			}
			c, err := net.DialTimeout("tcp", f.proxies[n].Addr, interval)
			if err != nil {
				break
			}
			mu.Lock()
			open[c] = true
			mu.Unlock()
			go func() {
				c.Read(make([]byte, 1)) // it says nothing, and hears of its end alone
				c.Close()
				mu.Lock()
				delete(open, c)
				mu.Unlock()
			}()
		}
	}
}

// stop ends all that still runs, by its id.
func (f *fleet) stopAll() {
	f.closeDone.Do(func() { close(f.done) })
	var wait sync.WaitGroup
	for n := range f.processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.Terminate(n)
		}()
	}
	wait.Wait()
}

// use samples what the processes use; the sums of CPU count lives that have ended too.
func (f *fleet) processUsage() (usage []measure.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		u := measure.Usage{}
		if p != nil && p.cmd.Process != nil {
			u, _ = measure.ProcessUsage(p.cmd.Process.Pid)
		}
		usage = append(usage, u)
	}
	return usage
}

func (f *fleet) crashReports() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.crashes...)
}
