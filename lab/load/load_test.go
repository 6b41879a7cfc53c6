package load

import (
	"bufio"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/measure"
)

// The load hangs on the seed alone, and does what the file says.
func TestArrivals(t *testing.T) {
	x, err := experiment.Decode("x", []byte(`name = "x"
length = "20s"
[load]
rate = 2000
[[load.surge]]
at = "10s"
for = "5s"
times = 2
[[tenant]]
name = "a"
share = 0.5
[[tenant]]
name = "b"
share = 0.5
[[fault]]
kind = "hot-key"
at = "15s"
for = "5s"
size = 0.5
[[fault]]
kind = "impatient"
at = "0s"
for = "5s"
size = 0.1
name = "b"`))
	if err != nil {
		t.Fatal(err)
	}
	draw := func(seed uint64) (all []Arrival) {
		x.Seed = seed
		for a := New(x); ; {
			o, more := a.Next()
			if !more {
				return all
			}
			all = append(all, o)
		}
	}
	all, again, other := draw(1), draw(1), draw(2)
	count, hot, short := [4]int{}, map[uint64]int{}, [2]int{}
	for i, o := range all {
		if o != again[i] {
			t.Fatalf("op %d differs under the same seed: %+v, %+v", i, o, again[i])
		}
		quarter := int(o.Due / (5 * time.Second))
		if count[quarter]++; quarter == 3 {
			hot[o.Key]++
		}
		if o.Patience < x.Clients.TryTimeoutShare {
			short[o.Tenant]++
			if quarter > 0 {
				t.Fatalf("impatient at %v", o.Due)
			}
		}
	}
	most := 0
	for _, n := range hot {
		most = max(most, n)
	}
	if float64(count[2]) < 1.8*float64(count[1]) || float64(count[2]) > 2.2*float64(count[1]) {
		t.Errorf("surge: %v", count)
	}
	if most < count[3]*4/10 || short[0] > 0 || short[1] < count[0]*4/10 {
		t.Errorf("hot key %d of %d, impatient %v", most, count[3], short)
	}
	if len(other) == len(all) || other[0] == all[0] {
		t.Error("another seed gives the same")
	}
}

// A rigged proxy does what none may; the ledger must know of each.
func TestWhatARiggedProxyDoesIsBooked(t *testing.T) {
	value := func(id string) string { return "$" + "18\r\n" + id + " v\r\n" }
	for _, c := range []struct {
		name   string
		answer func(id string) []string // each written by itself; "" closes
		broken string
	}{
		{"right", func(id string) []string { return []string{value(id)} }, ""},
		{"in pieces", func(id string) []string { return []string{value(id)[:9], value(id)[9:]} }, ""},
		{"refuses", func(string) []string { return []string{"-BUSY 5\r\n"} }, ""},
		{"answers twice", func(id string) []string { return []string{value(id), "-BUSY\r\n"} }, ledger.RuleAnsweredTwice},
		{"another's value", func(string) []string { return []string{value("00000000000000aa")} }, ledger.RuleAnswerLost},
		{"half a value", func(id string) []string { return []string{value(id)[:12], ""} }, ledger.RuleAnswerLost},
		{"hangs up", func(string) []string { return []string{""} }, ledger.RuleAnswerLost},
		{"says nothing", func(string) []string { return nil }, ledger.RuleAnswerLost},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					r := bufio.NewReader(nc)
					for {
						line, err := r.ReadString('\n')
						if err != nil {
							return
						}
						if len(line) == 18 && strings.Trim(line, "0123456789abcdef\r\n") == "" {
							if _, err := r.ReadString('\n'); err != nil { // the length before the id, or before the properties
								return
							}
							id, _ := r.ReadString('\n')
							for _, text := range c.answer(strings.TrimSpace(id)) {
								if text == "" {
									nc.Close()
									return
								}
								nc.Write([]byte(text))
								time.Sleep(5 * time.Millisecond)
							}
						}
					}
				}()
			}
		}()
		x, err := experiment.Decode("x", []byte("name = \"x\"\nlength = \"3s\"\nwarm = \"0s\"\n[clients]\nretries = 0\nleave = 0.0\n[load]\nrate = 1.0\n"+
			"[[category]]\nname = \"c\"\nshare = 1.0\nbenefit = 1\ntarget = \"1s\"\nttl = \"2s\"\n"))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "ledger")
		book, _ := ledger.Create(path)
		p := &Proxy{Addr: l.Addr().String()}
		p.Incarnation.Store(1)
		load := NewGenerator(x, NewBalancer(x, []*Proxy{p}), book, measure.NewMeter(x), time.Now())
		a, _ := New(x).Next()
		a.Leaves, a.Patience = 0, 0.3
		load.ask(a, load.now())
		time.Sleep(50 * time.Millisecond) // an answer too many is on its way
		if _, err := book.Close(); err != nil {
			t.Fatal(err)
		}
		l.Close()
		in, _ := os.Open(path)
		j := ledger.NewJudge(ledger.RuleParams{Categories: []ledger.Category{{TTL: 2 * time.Second, Effect: "redeliverable"}}, Slack: time.Second, MaxPushes: 5})
		if err := ledger.Read(in, j.Add); err != nil {
			t.Fatal(err)
		}
		in.Close()
		if v := j.Finish(); v.Ops != 1 || c.broken == "" && !v.Passed() || c.broken != "" && v.Violations[c.broken] != 1 {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}
