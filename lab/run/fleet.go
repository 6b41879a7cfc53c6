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
	startTimeout        = 10 * time.Second       // for a process to serve, or to load new settings
	stopTimeout         = 8 * time.Second        // from SIGTERM to the end of a process that an upgrade replaces
	lameduckPingTimeout = 2 * time.Second        // for the answer to PING to show a change of lameduck mode
	callTimeout         = time.Second            // for a call of the control port, and for PING
	pingInterval        = 100 * time.Millisecond // between two health checks of the balancer
	startPoll           = 10 * time.Millisecond  // between two checks whether a process serves
	changePoll          = 20 * time.Millisecond  // between two checks whether a process has changed its mode or settings
	throttlePeriod      = 100 * time.Millisecond // of stopping and continuing a throttled process, as a CPU quota of the kernel does
	signalInterval      = 150 * time.Millisecond // between the signals of a series; SIGHUPs of series hups follow each other faster
	idleConnsPoll       = 100 * time.Millisecond // between two rounds of opening idle connections; also their connect time-out
	logTailLines        = 8                      // of the log of a crashed process, for error messages
)

// fleet runs the proxies' processes. It implements faults.Fleet.
type fleet struct {
	experiment *experiment.File
	world      *world.World
	dir        string   // of configurations, logs and temporary files
	command    []string // of a proxy
	env        []string // added to the environment
	proxies    []*load.Proxy

	done      chan struct{} // closed by stopAll
	closeDone sync.Once

	mu                    sync.Mutex
	agents                []*world.Agent
	processes             []*process     // the last one of each proxy
	lastIncarnation       uint32         // last incarnation given; they count from 1
	siteDetachIncarnation map[int]uint32 // by proxy: incarnation that was last called to detach or attach a site; not guarded by mu, as one site-hand fault at a time may be active
	crashes               []string       // descriptions of processes that ended without a signal of the laboratory
}

// process is one process of a proxy.
type process struct {
	cmd          *exec.Cmd
	incarnation  uint32        // shared by the old and the new process of an upgrade
	exited       chan struct{} // closed at its end
	stoppedByLab bool          // the laboratory sent it SIGTERM or SIGKILL, or replaced it
	terminated   bool          // it was sent SIGTERM and given time to end
	logPath      string
	controlAddr  string // address of its control port; empty: none
	replaced     bool   // by the new process of an upgrade
}

// newFleet starts all proxies and waits until they serve. The fleet must be stopped even after an error.
func newFleet(exp *experiment.File, w *world.World, dir string, command, env []string) (*fleet, error) {
	f := &fleet{
		experiment:            exp,
		world:                 w,
		dir:                   dir,
		command:               command,
		env:                   env,
		processes:             make([]*process, exp.Proxies.Count),
		siteDetachIncarnation: map[int]uint32{},
		done:                  make(chan struct{}),
	}
	for n := range exp.Proxies.Count {
		agent, err := w.Registry.NewAgent(n)
		if err != nil {
			return f, err
		}
		addr, err := w.ProxyAddr(n)
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, agent)
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

// Count returns the number of proxies.
func (f *fleet) Count() int { return f.experiment.Proxies.Count }

// Agent returns the discovery agent of a proxy.
func (f *fleet) Agent(n int) *world.Agent { return f.agents[n] }

// tempDir returns the temporary directory of a proxy's processes. It is emptied at a start, but not at an upgrade.
func (f *fleet) tempDir(n int) string { return filepath.Join(f.dir, fmt.Sprintf("tmp-%d", n)) }

// Start starts a proxy's process and waits until it answers PING. It does nothing for a running process, which another fault may have
// started already.
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
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(startPoll) {
		select {
		case <-p.exited:
			f.mu.Lock()
			stoppedByLab := p.stoppedByLab
			f.mu.Unlock()
			if stoppedByLab { // by another fault
				return nil
			}
			return fmt.Errorf("proxy %d exited before it served: %s", n, logTail(p.logPath))
		default:
		}
		if pingOK(f.proxies[n].Addr) {
			f.proxies[n].MarkUp()
			return nil
		}
	}
	return fmt.Errorf("proxy %d does not serve after %v: %s", n, startTimeout, logTail(p.logPath))
}

// Upgrade starts a new process beside the old one, at the same address, and ends the old one once the new one reports that it is ready.
// Both have the same incarnation, so that the judge excuses no op that either of them loses.
func (f *fleet) Upgrade(n int) error {
	f.mu.Lock()
	old := f.processes[n]
	f.mu.Unlock()
	if old == nil {
		return fmt.Errorf("proxy %d cannot be upgraded: it has not been started", n)
	}
	p, err := f.launch(n, old.incarnation)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(startPoll) {
		if err = f.callControl(p, http.MethodGet, "/_ready", ""); err == nil {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("proxy %d is not ready after its upgrade: %w: %s", n, err, logTail(p.logPath))
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
		return fmt.Errorf("proxy %d: the replaced process did not end within %v of SIGTERM", n, stopTimeout)
	}
	return nil
}

// SetCacheDetached detaches a cache from a proxy by a call of its control port, or attaches it again. Once the proxy has confirmed the
// detachment it must not start a push to the cache. So a detachment is recorded at the time of the answer, and an attachment at the time of
// the call: the record covers no time at which a push is allowed.
func (f *fleet) SetCacheDetached(n int, cache string, number uint32, detach bool) error {
	f.mu.Lock()
	p := f.processes[n]
	f.mu.Unlock()
	path := "/_cache-nodes/attach"
	record := ledger.Record{Kind: ledger.OperatorOverride, At: f.world.Now(), A: p.incarnation, B: number}
	if detach {
		path = "/_cache-nodes/detach"
		record.C = 1
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

// SetSiteDetached detaches the caches of a site from a proxy by a call of its control port, gradually over a duration, or attaches them again.
func (f *fleet) SetSiteDetached(n int, site string, caches []uint32, detach bool, spread time.Duration) error {
	f.mu.Lock()
	p := f.processes[n]
	f.mu.Unlock()
	select {
	case <-p.exited: // it was ended by another fault and cannot be called
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
	if !detach && p.incarnation != f.siteDetachIncarnation[n] { // a new process without stored state, in which the site was never detached
		return nil
	}
	f.siteDetachIncarnation[n] = p.incarnation
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
	// All caches of the site are detached only after the duration, so they are recorded then. A record that is made earlier, with that
	// later time, would make the judge treat ops that are still open as complete.
	time.AfterFunc(spread, func() {
		at = f.world.Now()
		record()
	})
	return nil
}

// ReloadQuotas rewrites a proxy's settings with the tenants' quotas multiplied by a factor, and has it reload them by SIGHUP. It returns
// an error unless the proxy's counter of reloads changes within startTimeout. If the counter cannot be read it counts as 0.
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
	for deadline := time.Now().Add(startTimeout); readCounters(p)["svc_reloads_ok"] == before; time.Sleep(changePoll) {
		if time.Now().After(deadline) {
			return fmt.Errorf("proxy %d has not reloaded its settings within %v: %s", n, startTimeout, logTail(p.logPath))
		}
	}
	return nil
}

// SetStopped stops a proxy's process by SIGSTOP, or lets it continue, and records it: the judge excuses ops of a stopped process.
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

// Throttle lets a proxy's process run for a share of the time. Unlike SetStopped it is not recorded, so no violation is excused.
func (f *fleet) Throttle(n int, share float64, duration time.Duration) {
	runTime := time.Duration(share * float64(throttlePeriod))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.sendSignal(n, syscall.SIGSTOP)
		time.Sleep(throttlePeriod - runTime)
		f.sendSignal(n, syscall.SIGCONT)
		time.Sleep(runTime)
	}
}

// SetLameduck sets a proxy to lameduck mode by a call of its control port, or ends the mode. The answer to PING must show the change
// within lameduckTimeout.
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
	for deadline := time.Now().Add(lameduckPingTimeout); pingOK(f.proxies[n].Addr) == lameduck; time.Sleep(changePoll) {
		if time.Now().After(deadline) {
			return fmt.Errorf("proxy %d, %s: PING does not show the change within %v", n, path, lameduckPingTimeout)
		}
	}
	return nil
}

// IdleConns returns the number of open client connections to a proxy without an op in progress.
func (f *fleet) IdleConns(n int) int { return f.proxies[n].IdleConns() }

// pollPings runs the balancer's health checks: it sends PING to each proxy that has been started.
func (f *fleet) pollPings() {
	for n, proxy := range f.proxies {
		go func() {
			for ticker := time.NewTicker(pingInterval); ; {
				select {
				case <-ticker.C:
					f.mu.Lock()
					started := f.processes[n] != nil
					f.mu.Unlock()
					if started {
						proxy.RecordPing(pingOK(proxy.Addr))
					}
				case <-f.done:
					ticker.Stop()
					return
				}
			}
		}()
	}
}

// callControl calls the control port of a process. Any answer but one of status 2xx within callTimeout is an error.
func (f *fleet) callControl(p *process, method, path, body string) error {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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

// counters sums the metrics of the last process of each proxy by name, over all classes; nil if the experiment needs no control ports.
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

// readCounters returns the metrics of a process by name, summed over all classes. If the process does not answer, the only entry is
// "unanswered" with value 1.
func readCounters(p *process) map[string]int64 {
	sums := map[string]int64{}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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

// launch starts a process of a proxy, without waiting until it serves. Incarnation 0 requests a new one.
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
	p := &process{
		incarnation: incarnation,
		controlAddr: control,
		exited:      make(chan struct{}),
		logPath:     filepath.Join(f.dir, fmt.Sprintf("proxy-%d.log", n)),
	}
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
	p.cmd.Stderr = logFile
	p.cmd.Stdout = logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the laboratory
	// Set the incarnation first: the process may accept connections before cmd.Start returns.
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

// pingOK reports whether a proxy answers PING with PONG, as it does while it accepts clients.
func pingOK(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, callTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.HasPrefix(line, "+PONG")
}

// awaitExit waits for the end of a process and records it.
func (f *fleet) awaitExit(n int, p *process) {
	err := p.cmd.Wait()
	f.mu.Lock()
	stoppedByLab, terminated := p.stoppedByLab, p.terminated
	if !stoppedByLab {
		f.crashes = append(f.crashes, fmt.Sprintf("proxy %d ended by itself (%v): %s", n, err, logTail(p.logPath)))
	}
	replaced := p.replaced
	f.mu.Unlock()
	if replaced { // its incarnation continues in the new process
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

// logTail returns the last lines of a log, for error messages.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return "\n  " + strings.Join(lines[max(len(lines)-logTailLines, 0):], "\n  ")
}

// sendSignal sends a signal to the process of a proxy. It returns nil when the process does not run.
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

// Kill ends a proxy with SIGKILL.
func (f *fleet) Kill(n int) {
	if p := f.sendSignal(n, syscall.SIGKILL); p != nil {
		<-p.exited
	}
}

// Terminate ends a proxy with SIGTERM. If it still runs after experiment.File.KillAfter, the shortest time that a process must be given, it
// is killed; ops that it still holds then are lost.
func (f *fleet) Terminate(n int) {
	if p := f.sendSignal(n, syscall.SIGTERM); p != nil {
		f.awaitTermination(n, p)
	}
}

// awaitTermination waits for the end of a process that has just been sent SIGTERM, and kills it if it still runs after
// experiment.File.KillAfter.
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

// SendSignals sends a proxy a series of signals of experiment.SignalSeries, which ends it:
//   - hups: five times SIGHUP, a fifth of signalInterval apart, then SIGTERM
//   - kill-after-term: SIGTERM, and SIGKILL after signalInterval
//   - term-twice: SIGTERM, and SIGTERM twice more, signalInterval apart
//   - hup-in-drain: SIGTERM, then SIGHUP twice, signalInterval apart
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

// HoldIdleConns holds size idle connections to a proxy for a duration, and replaces those that the proxy closes.
func (f *fleet) HoldIdleConns(n, size int, duration time.Duration) {
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			c.Close()
		}
	}()
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(idleConnsPoll) {
		for range size {
			mu.Lock()
			full := len(open) >= size
			mu.Unlock()
			if full {
				break
			}
			c, err := net.DialTimeout("tcp", f.proxies[n].Addr, idleConnsPoll)
			if err != nil {
				break
			}
			mu.Lock()
			open[c] = true
			mu.Unlock()
			go func() {
				c.Read(make([]byte, 1)) // returns when the proxy closes the connection
				c.Close()
				mu.Lock()
				delete(open, c)
				mu.Unlock()
			}()
		}
	}
}

// stopAll ends all processes that still run, and the polling of PING.
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

// processUsage returns the resource usage of each proxy's last process; zero for one that has ended.
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

// crashReports describes the processes that ended without a signal of the laboratory.
func (f *fleet) crashReports() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.crashes...)
}
