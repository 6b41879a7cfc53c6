package ways

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"
)

var client, server = Endpoint{0, "p"}, Endpoint{1, "s"}

// echo answers each line.
func echo(t *testing.T, w *RuleTable) string {
	l, err := w.Listen("127.0.0.1:0", client, server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				r := bufio.NewReader(c)
				for line, err := r.ReadString('\n'); err == nil; line, err = r.ReadString('\n') {
					fmt.Fprint(c, line)
				}
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends a line on a connection and gives what came within the time, "" for nothing.
func ask(c net.Conn, text string, within time.Duration) string {
	fmt.Fprintln(c, text)
	c.SetReadDeadline(time.Now().Add(within))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line
}

const soon, short = 5 * time.Second, 100 * time.Millisecond

func TestRules(t *testing.T) {
	rule := func(near, far Endpoint, r Rule) Rule {
		r.Near, r.Far, r.Out = near, far, true
		return r
	}
	cut := Rule{Cut: true}
	for _, c := range []struct {
		name       string
		rule       Rule
		open, anew bool // an open connection is answered, a new one comes up
	}{
		{"there", rule(Endpoint{0, ""}, Endpoint{1, ""}, cut), false, false}, {"back", rule(server, client, cut), false, false},
		{"into the site", Rule{Near: Endpoint{0, ""}, Others: true, In: true, Cut: true}, false, false},
		{"another site", Rule{Near: Endpoint{2, ""}, Others: true, Out: true, In: true, Cut: true}, true, true},
		{"slow", rule(client, server, Rule{Delay: 3 * short}), false, true},
		{"thin", rule(client, server, Rule{Rate: 10}), false, true},
		{"silent", rule(client, server, Rule{Lose: 1}), true, false},
		{"reset", rule(client, server, Rule{Reset: 1}), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := New(1)
			addr := echo(t, w)
			old, err := net.Dial("tcp", addr)
			if err != nil || ask(old, "a", soon) != "a\n" {
				t.Fatal(err)
			}
			end := w.Put(c.rule)
			if got := ask(old, "b", short); (got == "b\n") != c.open {
				t.Errorf("open: %q", got)
			}
			k, err := net.DialTimeout("tcp", addr, short)
			if came := err == nil && (c.rule.Lose+c.rule.Reset == 0 || ask(k, "c", short) == "c\n"); came != c.anew {
				t.Errorf("anew: %v", err)
			}
			end()
			if c.rule.Cut && !c.open { // what was held comes late, in its order
				if got := ask(old, "d", soon); got != "b\n" {
					t.Errorf("held: %q", got)
				}
			}
			if k, err = net.DialTimeout("tcp", addr, soon); err != nil || ask(k, "e", soon) != "e\n" {
				t.Errorf("after: %v", err)
			}
		})
	}
}

// Danger: a server that reads late what a client had sent before it gave up would be said to have been pushed to too late.
func TestWhatIsOnACutWayWhenItsSenderClosesNeverComes(t *testing.T) {
	w := New(1)
	l, _ := w.Listen("127.0.0.1:0", client, server)
	defer l.Close()
	c, _ := net.Dial("tcp", l.Addr().String())
	k, _ := l.Accept()
	end := w.Put(Rule{Near: client, Far: server, Out: true, Cut: true})
	fmt.Fprint(c, "x")
	at := time.Now()
	time.Sleep(short)
	end()
	one := make([]byte, 1)
	if n, err := k.Read(one); n != 1 || err != nil || k.(*Conn).Sent().Sub(at) > short/2 {
		t.Errorf("%d, %v, sent %v later", n, err, k.(*Conn).Sent().Sub(at))
	}
	defer w.Put(Rule{Near: client, Far: server, Out: true, Cut: true})()
	fmt.Fprint(c, "y")
	c.Close()
	if n, err := k.Read(one); n != 0 || err == nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

func TestAWriteIsNotEndedByItsDeadline(t *testing.T) {
	w := New(1)
	c, err := w.Dial(client, server, echo(t, New(2)), soon)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Put(Rule{Near: client, Far: server, Out: true, Delay: short})()
	c.SetWriteDeadline(time.Now().Add(short / 10))
	if got := ask(c, "a", soon); got != "a\n" {
		t.Errorf("%q", got)
	}
}

func TestDialOverACutWay(t *testing.T) {
	w := New(1)
	addr := echo(t, New(2))
	end := w.Put(Rule{Near: server, Far: client, Out: true, Cut: true})
	if _, err := w.Dial(client, server, addr, short); !errors.Is(err, ErrCut) {
		t.Errorf("%v", err)
	}
	time.AfterFunc(short, end)
	c, err := w.Dial(client, server, addr, soon)
	if err != nil || ask(c, "a", soon) != "a\n" {
		t.Errorf("%v", err)
	}
}

// Danger: a connection that comes up in the moment of the cut holds what is written on it until the way is whole again.
func TestWhatWaitsInTheQueueOfACutWayIsNotTakenLate(t *testing.T) {
	w := New(1)
	l, _ := w.Listen("127.0.0.1:0", client, server)
	defer l.Close()
	early, _ := net.Dial("tcp", l.Addr().String()) // not accepted yet
	fmt.Fprintln(early, "early")
	end := w.Put(Rule{Near: client, Far: server, Out: true, Cut: true})
	early.Close()
	end()
	time.AfterFunc(short, func() {
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			fmt.Fprintln(c, "late")
		}
	})
	k, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if line, _ := bufio.NewReader(k).ReadString('\n'); line != "late\n" {
		t.Errorf("%q", line)
	}
}

// A socket is told to be open from the other end, by the kernel's table, until its process closes it.
func TestOpen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, _ := net.Dial("tcp", l.Addr().String())
	k, _ := l.Accept()
	defer k.Close()
	if !open(k) {
		t.Error("an open one is taken for closed")
	}
	c.Close()
	if open(k) {
		t.Error("a closed one is taken for open")
	}
}
