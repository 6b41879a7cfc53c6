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

// TestArrivals checks that the load depends on nothing but the seed, and follows the surges and faults of the experiment.
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
	draw := func(seed uint64) (ops []Arrival) {
		x.Seed = seed
		for arrivals := NewArrivals(x); ; {
			op, more := arrivals.Next()
			if !more {
				return ops
			}
			ops = append(ops, op)
		}
	}
	ops, sameSeed, otherSeed := draw(1), draw(1), draw(2)
	opsByQuarter := [4]int{}
	opsByHotKey := map[uint64]int{} // in the last quarter
	impatientByTenant := [2]int{}
	for i, op := range ops {
		if op != sameSeed[i] {
			t.Fatalf("op %d differs with the same seed: %+v, %+v", i, op, sameSeed[i])
		}
		quarter := int(op.Due / (5 * time.Second))
		if opsByQuarter[quarter]++; quarter == 3 {
			opsByHotKey[op.Key]++
		}
		if op.TryTimeoutShare < x.Clients.TryTimeoutShare {
			impatientByTenant[op.Tenant]++
			if quarter > 0 {
				t.Fatalf("an impatient client at %v, after the end of the fault", op.Due)
			}
		}
	}
	hottest := 0
	for _, n := range opsByHotKey {
		hottest = max(hottest, n)
	}
	if float64(opsByQuarter[2]) < 1.8*float64(opsByQuarter[1]) || float64(opsByQuarter[2]) > 2.2*float64(opsByQuarter[1]) {
		t.Errorf("ops by quarter %v, want twice as many in the surge", opsByQuarter)
	}
	if hottest < opsByQuarter[3]*4/10 || impatientByTenant[0] > 0 || impatientByTenant[1] < opsByQuarter[0]*4/10 {
		t.Errorf("hottest key has %d of %d ops, impatient ops by tenant %v", hottest, opsByQuarter[3], impatientByTenant)
	}
	if len(otherSeed) == len(ops) || otherSeed[0] == ops[0] {
		t.Error("another seed gives the same load")
	}
}

// TestLedgerShowsProxyFaults checks that the ledger shows each fault of a proxy that answers wrongly, twice, in part or
// not at all.
func TestLedgerShowsProxyFaults(t *testing.T) {
	value := func(id string) string { return "$" + "18\r\n" + id + " v\r\n" }
	for _, c := range []struct {
		name    string
		answers func(id string) []string // each is written by itself; "" closes the connection
		rule    string                   // that the ledger finds violated
	}{
		{"correct value", func(id string) []string { return []string{value(id)} }, ""},
		{"value in two writes", func(id string) []string { return []string{value(id)[:9], value(id)[9:]} }, ""},
		{"refusal", func(string) []string { return []string{"-BUSY 5\r\n"} }, ""},
		{"two answers", func(id string) []string { return []string{value(id), "-BUSY\r\n"} }, ledger.RuleAnsweredTwice},
		{"value of another op", func(string) []string { return []string{value("00000000000000aa")} }, ledger.RuleAnswerLost},
		{"truncated value", func(id string) []string { return []string{value(id)[:12], ""} }, ledger.RuleAnswerLost},
		{"closed connection", func(string) []string { return []string{""} }, ledger.RuleAnswerLost},
		{"no answer", func(string) []string { return nil }, ledger.RuleAnswerLost},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				netConn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					r := bufio.NewReader(netConn)
					for {
						line, err := r.ReadString('\n')
						if err != nil {
							return
						}
						if len(line) == 18 && strings.Trim(line, "0123456789abcdef\r\n") == "" { // the key, in hexadecimal
							if _, err := r.ReadString('\n'); err != nil { // the length before the ID, or before the properties
								return
							}
							id, _ := r.ReadString('\n')
							for _, text := range c.answers(strings.TrimSpace(id)) {
								if text == "" {
									netConn.Close()
									return
								}
								netConn.Write([]byte(text))
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
		records, _ := ledger.Create(path)
		p := &Proxy{Addr: l.Addr().String()}
		p.Incarnation.Store(1)
		generator := NewGenerator(x, NewBalancer(x, []*Proxy{p}), records, measure.NewMeter(x), time.Now())
		arrival, _ := NewArrivals(x).Next()
		arrival.LeaveShare, arrival.TryTimeoutShare = 0, 0.3
		generator.runOp(arrival, generator.now())
		time.Sleep(50 * time.Millisecond) // a second answer may be on its way
		if _, err := records.Close(); err != nil {
			t.Fatal(err)
		}
		l.Close()
		in, _ := os.Open(path)
		judge := ledger.NewJudge(ledger.RuleParams{Categories: []ledger.Category{{TTL: 2 * time.Second, Effect: "redeliverable"}}, Slack: time.Second, MaxPushes: 5})
		if err := ledger.Read(in, judge.Add); err != nil {
			t.Fatal(err)
		}
		in.Close()
		if v := judge.Finish(); v.Ops != 1 || c.rule == "" && !v.Passed() || c.rule != "" && v.Violations[c.rule] != 1 {
			t.Errorf("%s: verdict %+v, want violation %q", c.name, v, c.rule)
		}
	}
}
