//go:build go1.25

package discovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/roster"
	"minttray/internal/config"
	"minttray/internal/discovery"
	"minttray/internal/engine"
	"minttray/policy"
)

// These tests run watchers, the decision module and a discovery service on the virtual time of synctest, over connections in memory.

// noticedWithin is the time in which a change has to be noticed from when the service has it and can be reached.
const noticedWithin = 6 * time.Second

// proxy is what concerns the list in one proxy: the watcher, and the module, which decides when it is asked again.
type proxy struct {
	policy.Host // not called
	watcher     *discovery.Watcher
	noticed     chan time.Time // receives when the drain was noticed
	mu          sync.Mutex
	module      *policy.Balancer
}

// listTimer is the module's only timer that concerns the list.
const listTimer = 1

func (p *proxy) Now() policy.Time { return 0 }
func (p *proxy) CloseIdle(uint32) {}
func (p *proxy) Watch(on bool)    { p.watcher.Watch(on) }

func (p *proxy) Timer(token uint64, after policy.Time) {
	if token != listTimer {
		return
	}
	time.AfterFunc(time.Duration(after)*100*time.Microsecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.module.TimerDue(token)
	})
}

func (p *proxy) update(kind policy.ListKind, members []engine.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.module.ListArrived(kind, nil)
	for _, m := range members {
		if m.State == policy.Draining && len(p.noticed) == 0 {
			p.noticed <- time.Now()
		}
	}
}

// startProxy starts one of n proxies and returns a function that ends it.
func startProxy(ctx context.Context, settings policy.Settings, seed uint64, services map[string]*service) (p *proxy, wait func()) {
	p = &proxy{noticed: make(chan time.Time, 1)}
	names := discovery.NewNameTable([]string{"a"}, []string{"box"}, zerolog.Nop())
	p.watcher = discovery.New("first:80", names, true, zerolog.Nop())
	p.watcher.Guard = roster.Guard[time.Duration]{MaxMissingShare: 0.5, ConfirmAfter: time.Second}
	p.watcher.OnUpdate = p.update
	p.watcher.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) { return services[addr].dial(ctx) }
	if _, err := p.watcher.LoadKnown([]byte(document(1, true))); err != nil {
		panic(err)
	}
	p.mu.Lock()
	p.module = policy.New(settings, seed, p)
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.watcher.Run(ctx)
	}()
	return p, func() { <-done }
}

// loadSettings returns a proxy's settings as its configuration gives them.
func loadSettings(t *testing.T, askEvery time.Duration, index, proxies int) policy.Settings {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.4:6379","discovery":"first:80","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":[]},"settings":{"balancers":%d,"index":%d,"discovery":"ask",
		"contract":{"ask-every-us":%d},"categories":[{"name":"read","benefit":2,"effect":"read_like","target-latency-us":300000,"ttl-us":900000}],
		"skus":["box"],"tenants":[{"name":"acme","quota-rps":9}],"zones":["a"]}}`, proxies, index, askEvery.Microseconds())
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	return c.Settings.Policy
}

// Guards against drains that a proxy misses for seconds after discovery's return, since it pauses for longer and longer between failed
// calls, or waits for a call that the service will never answer (review case 10). However calls fail, the drain is noticed in time.
func TestADrainIsNoticedInTimeHoweverCallsHaveFailed(t *testing.T) {
	const draws = 12 // outages, for each way to fail and each setting
	for _, how := range failures {
		for _, askEvery := range []time.Duration{0, time.Second, 10 * time.Second, 60 * time.Second} {
			settings := loadSettings(t, askEvery, 0, 1)
			t.Run(fmt.Sprintf("%s, ask-every %v", how, askEvery), func(t *testing.T) {
				longest := time.Duration(0)
				for seed := range uint64(draws) {
					late := playOutage(t, how, settings, seed)
					longest = max(longest, late)
					if late > noticedWithin {
						t.Errorf("seed %d: the drain was noticed %v after the return of the service, %v is allowed", seed, late, noticedWithin)
					}
				}
				t.Logf("noticed after %v at the latest", longest)
			})
		}
	}
}

// playOutage has a service go down some time after a proxy's start, or before it, and returns how late the proxy notices a drain that the
// service tells from its return on.
func playOutage(t *testing.T, how failure, settings policy.Settings, seed uint64) (late time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		services := map[string]*service{"first:80": newService(how), "second:80": newService(how)}
		defer serve(services)()
		ctx, cancel := context.WithCancel(context.Background())
		if seed%4 == 0 { // before the proxy's start
			services["first:80"].setDown(true)
		}
		p, wait := startProxy(ctx, settings, seed, services)
		defer wait()
		defer cancel()
		time.Sleep(time.Duration(random.Int64N(int64(12 * time.Second))))
		if seed%4 != 0 {
			services["first:80"].setDown(true)
			// A full watch that is open has its own term, which is over by the end of the outage.
			time.Sleep(8*time.Second + time.Duration(random.Int64N(int64(20*time.Second))))
		}
		returnedAt := time.Now()
		if how == moves || how == refusesAndMoves {
			services["second:80"].version = 2
			p.watcher.SetAddress("second:80")
		} else {
			services["first:80"].setDown(false)
		}
		select {
		case at := <-p.noticed:
			late = at.Sub(returnedAt)
		case <-time.After(time.Minute):
			late = time.Minute
		}
	})
	return late
}

// Guards against a storm at discovery: pauses that are short enough to notice its return in time must not have a fleet call it all at once.
func TestAFleetDoesNotStormDiscoveryAroundItsReturn(t *testing.T) {
	const proxies = 900
	for _, how := range []failure{refusesCalls, refusesLate, resets, isSilent} {
		t.Run(string(how), func(t *testing.T) {
			settings := loadSettings(t, 10*time.Second, 0, proxies)
			down, afterReturn := playFleetOutage(t, how, settings, proxies)
			t.Logf("%d proxies: %d calls in the worst second of the outage, behind its first 2 s, %d in the first second after it", proxies, down, afterReturn)
			// Pauses last a second or more, behind the first one, and the call that is answered is followed by a watch.
			if down > proxies {
				t.Errorf("%d calls in a second of the outage, at most one of each proxy is allowed", down)
			}
			if afterReturn > 2*proxies {
				t.Errorf("%d calls in the first second after the outage, at most two of each proxy are allowed", afterReturn)
			}
		})
	}
}

// playFleetOutage plays an outage of 10 s for a fleet that watches, and counts the calls to the service.
func playFleetOutage(t *testing.T, how failure, settings policy.Settings, proxies int) (down, afterReturn int) {
	synctest.Test(t, func(t *testing.T) {
		const quiet, firstPauses, outage = 12 * time.Second, 2 * time.Second, 10 * time.Second
		services := map[string]*service{"first:80": newService(how)}
		s := services["first:80"]
		defer serve(services)()
		ctx, cancel := context.WithCancel(context.Background())
		for i := range proxies {
			settings.Index = i
			_, wait := startProxy(ctx, settings, uint64(i), services)
			defer wait()
		}
		defer cancel()
		time.Sleep(quiet)
		downAt := time.Now()
		s.setDown(true)
		time.Sleep(outage)
		returnedAt := time.Now()
		s.setDown(false)
		time.Sleep(noticedWithin)
		s.mu.Lock()
		defer s.mu.Unlock()
		for second := downAt.Add(firstPauses); second.Before(returnedAt); second = second.Add(time.Second) {
			down = max(down, callsWithin(s.calls, second))
		}
		afterReturn = callsWithin(s.calls, returnedAt)
	})
	return down, afterReturn
}

// callsWithin counts the calls in the second from a time on.
func callsWithin(calls []time.Time, from time.Time) (n int) {
	for _, at := range calls {
		if since := at.Sub(from); since >= 0 && since < time.Second {
			n++
		}
	}
	return n
}
