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

// startEcho runs a server that echoes each line, and returns its address.
func startEcho(t *testing.T, w *RuleTable) string {
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

// exchange sends a line and returns the line received within a time, or "".
func exchange(c net.Conn, text string, within time.Duration) string {
	fmt.Fprintln(c, text)
	c.SetReadDeadline(time.Now().Add(within))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line
}

const (
	longTimeout = 5 * time.Second
	shortDelay  = 100 * time.Millisecond
)

// Each kind of fault must affect open and new connections as documented, and end with its rule; data held by a cut must arrive late
// and in order.
func TestRules(t *testing.T) {
	rule := func(local, remote Endpoint, r Rule) Rule {
		r.Local, r.Remote, r.Outbound = local, remote, true
		return r
	}
	cut := Rule{Cut: true}
	for _, c := range []struct {
		name string
		rule Rule
		open bool // an open connection is answered
		anew bool // a new connection is opened
	}{
		{"there", rule(Endpoint{0, ""}, Endpoint{1, ""}, cut), false, false},
		{"back", rule(server, client, cut), false, false},
		{"into the site", Rule{Local: Endpoint{0, ""}, OtherSites: true, Inbound: true, Cut: true}, false, false},
		{"another site", Rule{Local: Endpoint{2, ""}, OtherSites: true, Outbound: true, Inbound: true, Cut: true}, true, true},
		{"slow", rule(client, server, Rule{Delay: 3 * shortDelay}), false, true},
		{"thin", rule(client, server, Rule{BytesPerSecond: 10}), false, true},
		{"silent", rule(client, server, Rule{SilentShare: 1}), true, false},
		{"reset", rule(client, server, Rule{ResetShare: 1}), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := New(1)
			addr := startEcho(t, w)
			old, err := net.Dial("tcp", addr)
			if err != nil || exchange(old, "a", longTimeout) != "a\n" {
				t.Fatal(err)
			}
			end := w.Add(c.rule)
			if got := exchange(old, "b", shortDelay); (got == "b\n") != c.open {
				t.Errorf("open connection during the fault: got %q", got)
			}
			k, err := net.DialTimeout("tcp", addr, shortDelay)
			if came := err == nil && (c.rule.SilentShare+c.rule.ResetShare == 0 || exchange(k, "c", shortDelay) == "c\n"); came != c.anew {
				t.Errorf("new connection during the fault: %v", err)
			}
			end()
			if c.rule.Cut && !c.open { // data held by the cut arrives late and in order
				if got := exchange(old, "d", longTimeout); got != "b\n" {
					t.Errorf("data held by the cut: got %q, want \"b\\n\"", got)
				}
			}
			if k, err = net.DialTimeout("tcp", addr, longTimeout); err != nil || exchange(k, "e", longTimeout) != "e\n" {
				t.Errorf("new connection after the fault: %v", err)
			}
		})
	}
}

// Data held by a cut must keep the time at which it was sent, and must be dropped when its sender closes the connection. Otherwise a
// push would be judged as sent after its client had given up.
func TestCutLinkDropsDataOfClosedSender(t *testing.T) {
	w := New(1)
	l, _ := w.Listen("127.0.0.1:0", client, server)
	defer l.Close()
	c, _ := net.Dial("tcp", l.Addr().String())
	k, _ := l.Accept()
	end := w.Add(Rule{Local: client, Remote: server, Outbound: true, Cut: true})
	fmt.Fprint(c, "x")
	at := time.Now()
	time.Sleep(shortDelay)
	end()
	one := make([]byte, 1)
	if n, err := k.Read(one); n != 1 || err != nil || k.(*Conn).SentAt().Sub(at) > shortDelay/2 {
		t.Errorf("read %d bytes, %v, sent %v after the write", n, err, k.(*Conn).SentAt().Sub(at))
	}
	defer w.Add(Rule{Local: client, Remote: server, Outbound: true, Cut: true})()
	fmt.Fprint(c, "y")
	c.Close()
	if n, err := k.Read(one); n != 0 || err == nil {
		t.Errorf("read %d bytes, %v, after the sender closed", n, err)
	}
}

// A write deadline must not end a connection whose data is delayed by a rule.
func TestWriteDeadlineIsIgnored(t *testing.T) {
	w := New(1)
	c, err := w.Dial(client, server, startEcho(t, New(2)), longTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Add(Rule{Local: client, Remote: server, Outbound: true, Delay: shortDelay})()
	c.SetWriteDeadline(time.Now().Add(shortDelay / 10))
	if got := exchange(c, "a", longTimeout); got != "a\n" {
		t.Errorf("%q", got)
	}
}

// Dial must fail with ErrLinkCut after its time-out, and succeed if the link is restored before.
func TestDialOverCutLink(t *testing.T) {
	w := New(1)
	addr := startEcho(t, New(2))
	end := w.Add(Rule{Local: server, Remote: client, Outbound: true, Cut: true})
	if _, err := w.Dial(client, server, addr, shortDelay); !errors.Is(err, ErrLinkCut) {
		t.Errorf("%v", err)
	}
	time.AfterFunc(shortDelay, end)
	c, err := w.Dial(client, server, addr, longTimeout)
	if err != nil || exchange(c, "a", longTimeout) != "a\n" {
		t.Errorf("%v", err)
	}
}

// A connection that completes at the moment of a cut waits in the accept queue. If its client has closed it by the end of the cut, the
// server must not read the data written on it.
func TestAcceptSkipsConnClosedDuringCut(t *testing.T) {
	w := New(1)
	l, _ := w.Listen("127.0.0.1:0", client, server)
	defer l.Close()
	early, _ := net.Dial("tcp", l.Addr().String()) // not accepted yet
	fmt.Fprintln(early, "early")
	end := w.Add(Rule{Local: client, Remote: server, Outbound: true, Cut: true})
	early.Close()
	end()
	time.AfterFunc(shortDelay, func() {
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

// remoteOpen must see a connection as open until the peer process closes it.
func TestRemoteOpen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, _ := net.Dial("tcp", l.Addr().String())
	k, _ := l.Accept()
	defer k.Close()
	if !remoteOpen(k) {
		t.Error("an open connection is reported as closed")
	}
	c.Close()
	if remoteOpen(k) {
		t.Error("a closed connection is reported as open")
	}
}
