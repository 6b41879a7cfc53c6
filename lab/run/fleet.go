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
	longestStart = 10 * time.Second
	longestStop  = 8 * time.Second // after SIGTERM, for one that another process replaces
	lastLines    = 8               // of its log, for a proxy that ended by itself
)

// fleet is the proxies' processes.
type fleet struct {
	x       *experiment.File
	w       *world.World
	dir     string
	command []string
	env     []string
	proxies []*load.Proxy

	done   chan struct{} // closed at the end
	ending sync.Once

	mu     sync.Mutex
	agents []*world.Agent
	procs  []*process
	lives  uint32
	handed map[int]uint32 // by proxy: the life that was told that a site is out; of the one fault that does
	failed []string       // proxies that ended by themselves
	used   []measure.Usage
}

type process struct {
	cmd    *exec.Cmd
	life   uint32
	ended  chan struct{}
	meant  bool // the lab ended it
	warned bool // by SIGTERM, and then it had its time
	log    string

	control  string // where operators call
	replaced bool   // by an upgrade
}

// newFleet starts all proxies and waits until they serve.
func newFleet(x *experiment.File, w *world.World, dir string, command, env []string) (*fleet, error) {
	f := &fleet{x: x, w: w, dir: dir, command: command, env: env, procs: make([]*process, x.Proxies.Count), handed: map[int]uint32{},
		used: make([]measure.Usage, x.Proxies.Count), done: make(chan struct{})}
	for n := range x.Proxies.Count {
		a, err := w.Reg.Agent(n)
		if err != nil {
			return f, err
		}
		addr, err := w.ProxyAddr(n)
		if err != nil {
			return f, err
		}
		f.agents = append(f.agents, a)
		f.proxies = append(f.proxies, &load.Proxy{Addr: addr, Zone: x.ZoneOf(n), Endpoint: w.Proxy(n)})
	}
	errs := make([]error, x.Proxies.Count)
	var wait sync.WaitGroup
	for n := range x.Proxies.Count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			errs[n] = f.Start(n)
		}()
	}
	wait.Wait()
	if x.Operated() {
		f.ask()
	}
	return f, errors.Join(errs...)
}

// Count and the rest are what faults need.
func (f *fleet) Count() int               { return f.x.Proxies.Count }
func (f *fleet) Agent(n int) *world.Agent { return f.agents[n] }

// temp is the directory that a proxy's processes share, empty at each start but not at an upgrade.
func (f *fleet) temp(n int) string { return filepath.Join(f.dir, fmt.Sprintf("tmp-%d", n)) }

// Start starts a proxy's process and waits until it answers PING. One that runs is left alone: of two faults that bring it back
// the second has nothing to do.
func (f *fleet) Start(n int) error {
	f.mu.Lock()
	was := f.procs[n]
	f.mu.Unlock()
	if was != nil {
		select {
		case <-was.ended:
		default:
			return nil
		}
	}
	if err := errors.Join(os.RemoveAll(f.temp(n)), os.Mkdir(f.temp(n), 0o755)); err != nil {
		return err
	}
	p, err := f.start(n, 0)
	if err != nil {
		return err
	}
	for until := time.Now().Add(longestStart); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.ended:
			f.mu.Lock()
			meant := p.meant
			f.mu.Unlock()
			if meant { // by another fault, before it served
				return nil
			}
			return fmt.Errorf("proxy %d ended before it served: %s", n, tail(p.log))
		default:
		}
		if pong(f.proxies[n].Addr) {
			f.proxies[n].MarkUp()
			return nil
		}
	}
	return fmt.Errorf("proxy %d does not serve after %v: %s", n, longestStart, tail(p.log))
}

// Upgrade starts a new process beside the old one, at the same address, and ends the old one once the new one says that it
// takes clients. Both are one life: what either loses is lost.
func (f *fleet) Upgrade(n int) error {
	f.mu.Lock()
	old := f.procs[n]
	f.mu.Unlock()
	if old == nil {
		return fmt.Errorf("proxy %d does not run", n)
	}
	p, err := f.start(n, old.life)
	if err != nil {
		return err
	}
	for until := time.Now().Add(longestStart); ; time.Sleep(10 * time.Millisecond) {
		if err = f.call(p, http.MethodGet, "/_ready", ""); err == nil {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("proxy %d, upgraded: %w: %s", n, err, tail(p.log))
		}
	}
	f.proxies[n].MarkUp()
	f.mu.Lock()
	old.meant, old.replaced = true, true
	f.mu.Unlock()
	old.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.ended:
	case <-time.After(longestStop):
		old.cmd.Process.Kill()
		return fmt.Errorf("proxy %d, replaced, did not end within %v of SIGTERM", n, longestStop)
	}
	return nil
}

// Hand has an operator take a cache out, or call it back. From the yes on nothing new may go there.
func (f *fleet) Hand(n int, cache string, number uint32, out bool) error {
	f.mu.Lock()
	p := f.procs[n]
	f.mu.Unlock()
	path, put := "/_cache-nodes/attach", ledger.Record{Kind: ledger.OperatorOverride, At: f.w.Now(), A: p.life, B: number}
	if out {
		path, put.C = "/_cache-nodes/detach", 1
	}
	if err := f.call(p, http.MethodPost, path, cache); err != nil {
		return fmt.Errorf("proxy %d, %s %s: %w", n, path, cache, err)
	}
	if out {
		put.At = f.w.Now()
	}
	f.w.Book.Append(put)
	return nil
}

// HandSite has an operator take a whole site out at a proxy, or call it back, over a span.
func (f *fleet) HandSite(n int, site string, caches []uint32, out bool, over time.Duration) error {
	f.mu.Lock()
	p := f.procs[n]
	f.mu.Unlock()
	select {
	case <-p.ended: // its site is lost: nobody can call it
		return nil
	default:
	}
	path, state := "/_sites/attach", uint32(0)
	if out {
		path, state = "/_sites/detach", 1
	}
	body := site
	if over > 0 {
		body += " " + over.String()
	}
	at := f.w.Now()
	if !out && p.life != f.handed[n] { // a new process on an empty disk: nobody has taken the site out there
		return nil
	}
	f.handed[n] = p.life
	if err := f.call(p, http.MethodPost, path, body); err != nil {
		return fmt.Errorf("proxy %d, %s %s: %w", n, path, body, err)
	}
	book := func() {
		for _, c := range caches {
			f.w.Book.Append(ledger.Record{Kind: ledger.OperatorOverride, At: at, A: p.life, B: c, C: state})
		}
	}
	if !out {
		book()
		return nil
	}
	// All of them are out once the span is over. Danger: booked ahead, the judge would close ops that are still open.
	time.AfterFunc(over, func() {
		at = f.w.Now()
		book()
	})
	return nil
}

// Retune writes a proxy's settings anew, with other quotas, and has it read them; it has to say that it took them.
func (f *fleet) Retune(n int, quotas float64) error {
	f.mu.Lock()
	p := f.procs[n]
	f.mu.Unlock()
	changed := *f.x
	changed.Tenants = slices.Clone(f.x.Tenants)
	for i := range changed.Tenants {
		changed.Tenants[i].Quota *= quotas
	}
	before := figures(p)["svc_reloads_ok"]
	if _, err := configure(f.dir, &changed, n, f.proxies[n].Addr, f.agents[n].Addr, p.control, f.agents[n].List()); err != nil {
		return err
	}
	f.signal(n, syscall.SIGHUP)
	for until := time.Now().Add(longestStart); figures(p)["svc_reloads_ok"] == before; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("proxy %d has not taken new settings: %s", n, tail(p.log))
		}
	}
	return nil
}

// Stall stops a proxy's process as it is, or lets it go on.
func (f *fleet) Stall(n int, still bool) {
	how, state := syscall.SIGCONT, uint32(0)
	if still {
		how, state = syscall.SIGSTOP, 1
	}
	put := ledger.Record{Kind: ledger.ProxyStalled, At: f.w.Now(), C: state}
	if p := f.signal(n, how); p != nil {
		put.A = p.life
		if !still {
			put.At = f.w.Now()
		}
		f.w.Book.Append(put)
	}
}

// throttlePeriod is how often a throttled process is stopped and let go on, as a machine's quota of processor time does.
const throttlePeriod = 100 * time.Millisecond

// Throttle has a proxy's process run for a share of the time. Unlike a stall it is not booked, and excuses nothing.
func (f *fleet) Throttle(n int, share float64, span time.Duration) {
	run := time.Duration(share * float64(throttlePeriod))
	for until := time.Now().Add(span); time.Now().Before(until); {
		f.signal(n, syscall.SIGSTOP)
		time.Sleep(throttlePeriod - run)
		f.signal(n, syscall.SIGCONT)
		time.Sleep(run)
	}
}

// Away has an operator send clients away from a proxy, or take them again; PING has to say so within two seconds.
func (f *fleet) Away(n int, away bool) error {
	f.mu.Lock()
	p := f.procs[n]
	f.mu.Unlock()
	path := "/_lameduck/off"
	if away {
		path = "/_lameduck/on"
	}
	if err := f.call(p, http.MethodPost, path, ""); err != nil {
		return fmt.Errorf("proxy %d, %s: %w", n, path, err)
	}
	for until := time.Now().Add(2 * time.Second); pong(f.proxies[n].Addr) == away; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("proxy %d, %s: PING does not say so", n, path)
		}
	}
	return nil
}

// Idle counts clients' connections to a proxy with nothing out.
func (f *fleet) Idle(n int) int { return f.proxies[n].IdleConns() }

// ask is the front's question, ten times a second, where operators send clients away.
func (f *fleet) ask() {
	for n, p := range f.proxies {
		go func() {
			for clock := time.NewTicker(100 * time.Millisecond); ; {
				select {
				case <-clock.C:
					f.mu.Lock()
					runs := f.procs[n] != nil
					f.mu.Unlock()
					if runs {
						p.RecordPing(pong(p.Addr))
					}
				case <-f.done:
					clock.Stop()
					return
				}
			}
		}()
	}
}

// call makes an operator's call; an error is any answer but a yes within a second.
func (f *fleet) call(p *process, method, path, body string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+p.control+path, strings.NewReader(body))
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
func (f *fleet) vars() map[string]int64 {
	if !f.x.Operated() {
		return nil
	}
	f.mu.Lock()
	procs := append([]*process(nil), f.procs...)
	f.mu.Unlock()
	sums := map[string]int64{}
	for _, p := range procs {
		for name, n := range figures(p) {
			sums[name] += n
		}
	}
	return sums
}

// figures are a process's, by name without their class.
func figures(p *process) map[string]int64 {
	sums := map[string]int64{}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.control + "/_vars")
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
func (f *fleet) start(n int, life uint32) (*process, error) {
	control := ""
	if f.x.Operated() {
		var err error
		if control, err = f.w.ControlAddr(n); err != nil {
			return nil, err
		}
	}
	path, err := configure(f.dir, f.x, n, f.proxies[n].Addr, f.agents[n].Addr, control, f.agents[n].List())
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	if life == 0 {
		f.lives++
		life = f.lives
	}
	p := &process{life: life, control: control, ended: make(chan struct{}), log: filepath.Join(f.dir, fmt.Sprintf("proxy-%d.log", n))}
	f.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd = exec.Command(f.command[0], f.command[1:]...)
	p.cmd.Env = append(append(os.Environ(), f.env...), "BALANCER_CONFIG="+path, "TMPDIR="+f.temp(n))
	if said := operators(f.dir, f.x); said != "" {
		file := filepath.Join(f.dir, "operators.toml")
		if err := os.WriteFile(file, []byte(said), 0o644); err != nil {
			return nil, err
		}
		p.cmd.Env = append(p.cmd.Env, "MINTTRAY_OPERATORS="+file)
	}
	p.cmd.Stderr, p.cmd.Stdout = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the lab
	// A connection made from now on can only be to this life: it may accept before the lab has noticed.
	f.agents[n].Life(p.life)
	f.proxies[n].Incarnation.Store(p.life)
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("proxy %d: %w", n, err)
	}
	f.mu.Lock()
	f.procs[n] = p
	f.mu.Unlock()
	go f.watch(n, p)
	return p, nil
}

func pong(addr string) bool {
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
func (f *fleet) watch(n int, p *process) {
	err := p.cmd.Wait()
	f.mu.Lock()
	meant, warned := p.meant, p.warned
	if !meant {
		f.failed = append(f.failed, fmt.Sprintf("proxy %d ended by itself (%v): %s", n, err, tail(p.log)))
	}
	replaced := p.replaced
	f.mu.Unlock()
	if replaced { // its life goes on in another process
		close(p.ended)
		return
	}
	by := uint32(ledger.ExitCrashed)
	switch {
	case meant && warned:
		by = ledger.ExitTerminated
	case meant:
		by = ledger.ExitKilled
	}
	f.proxies[n].MarkDown()
	f.w.Book.Append(ledger.Record{Kind: ledger.ProxyExited, At: f.w.Now(), A: p.life, C: by})
	close(p.ended)
}

// tail is the end of a log.
func tail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return "\n  " + strings.Join(lines[max(len(lines)-lastLines, 0):], "\n  ")
}

func (f *fleet) signal(n int, s syscall.Signal) *process {
	f.mu.Lock()
	p := f.procs[n]
	f.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case <-p.ended:
		return nil
	default:
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		f.mu.Lock()
		p.meant = true
		f.mu.Unlock()
	}
	if s == syscall.SIGTERM {
		f.proxies[n].MarkTerminating()
	}
	p.cmd.Process.Signal(s)
	return p
}

// Kill ends a proxy at once.
func (f *fleet) Kill(n int) {
	if p := f.signal(n, syscall.SIGKILL); p != nil {
		<-p.ended
	}
}

// Term asks a proxy to end, and kills it as early as its platform may: what it then holds is lost.
func (f *fleet) Term(n int) {
	if p := f.signal(n, syscall.SIGTERM); p != nil {
		f.awaitEnd(n, p)
	}
}

// awaitEnd waits for a process that was sent SIGTERM just now, and kills it at the earliest moment at which its platform may.
func (f *fleet) awaitEnd(n int, p *process) {
	f.mu.Lock()
	p.warned = true
	f.mu.Unlock()
	select {
	case <-p.ended:
	case <-time.After(f.x.KillAfter()):
		f.Kill(n)
	}
}

const betweenSignals = 150 * time.Millisecond // of a series

// Signals sends a proxy a series of signals, which ends it.
func (f *fleet) Signals(n int, series string) {
	switch series {
	case "hups":
		for range 5 {
			f.signal(n, syscall.SIGHUP)
			time.Sleep(betweenSignals / 5)
		}
		f.Term(n)
		return
	case "kill-after-term":
		f.signal(n, syscall.SIGTERM)
		time.Sleep(betweenSignals)
		f.Kill(n)
		return
	}
	p := f.signal(n, syscall.SIGTERM)
	if p == nil {
		return
	}
	again := syscall.SIGTERM
	if series == "hup-in-drain" {
		again = syscall.SIGHUP
	}
	for n := range 2 {
		time.AfterFunc(time.Duration(n+1)*betweenSignals, func() { p.cmd.Process.Signal(again) })
	}
	f.awaitEnd(n, p)
}

// Crowd holds idle connections to a proxy for a span, and opens others in the place of those that it ends.
func (f *fleet) Crowd(n, size int, span time.Duration) {
	const every = 100 * time.Millisecond
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			c.Close()
		}
	}()
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(every) {
		for range size {
			mu.Lock()
			full := len(open) >= size
			mu.Unlock()
			if full {
				break
			}
			c, err := net.DialTimeout("tcp", f.proxies[n].Addr, every)
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
func (f *fleet) stop() {
	f.ending.Do(func() { close(f.done) })
	var wait sync.WaitGroup
	for n := range f.procs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.Term(n)
		}()
	}
	wait.Wait()
}

// use samples what the processes use; the sums of CPU count lives that have ended too.
func (f *fleet) use() (all []measure.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		u := measure.Usage{}
		if p != nil && p.cmd.Process != nil {
			u, _ = measure.ProcessUsage(p.cmd.Process.Pid)
		}
		all = append(all, u)
	}
	return all
}

func (f *fleet) faults() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.failed...)
}
