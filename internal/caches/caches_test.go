package caches

import (
	"bytes"
	"fmt"
	"testing"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/policy"
)

// FuzzNext checks for any input that the parser does not panic, that only complete valid responses produce a value, and that an invalid response
// remains invalid when more data arrives.
func FuzzNext(f *testing.F) {
	for _, seed := range []string{"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$4\r\nmiss\r\n$7\r\nqueue=0\r\n", "-BUSY queue=0\r\n",
		"-ERR failed\r\n", "*3\r\n$3000000000\r\n", "-\r\n", "*3\r\n$1\r\nv\r\n*0\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		n, res, err := parseResponse(b, "svc_ms")
		if n > len(b) || n > 0 && err != nil || n == 0 && res.Outcome != policy.Acked {
			t.Fatalf("%d, %+v, %v", n, res, err)
		}
		if n > 0 && res.Outcome == policy.Acked && !(bytes.HasPrefix(b, []byte("*3\r\n")) && bytes.Contains(b[:n], res.Value)) {
			t.Errorf("%q serves %q", b, res.Value)
		}
		if n > 0 && res.Outcome == policy.Rejected && !bytes.HasPrefix(b, []byte("-BUSY")) {
			t.Errorf("%q is taken as proof that the request was not executed", b)
		}
		if more := append(b[:len(b):len(b)], "\r\n$-1\r\n"...); err != nil {
			if m, _, again := parseResponse(more, "svc_ms"); m > 0 || again == nil {
				t.Errorf("%q: invalid, but valid with more data", b)
			}
		}
	})
}

func TestReportsAreReadStrictly(t *testing.T) {
	for text, want := range map[string]policy.Time{"svc_ms=20.5,pending=1": 205, "pending=1,svc_ms=0.01": 1, "": 0, "pending=1": 0,
		"svc_ms=20,svc_ms=30": 0, "svc_ms=": 0, "svc_ms=NaN": 0, "svc_ms=-1": 0, "svc_ms=1e99": 0, "svc_ms=20,noise": 0} {
		if got, invalid := parseLatency(text, "svc_ms"); got != want || invalid != (want == 0 && text != "") {
			t.Errorf("%q: %v, invalid %v, want %v", text, got, invalid, want)
		}
	}
	for _, text := range []string{"svc_ms=0,pending=1", "svc_ms=+Inf", "svc_ms=-Inf", "pending=NaN"} {
		if got, invalid := parseLatency(text, "svc_ms"); got != 0 || !invalid {
			t.Errorf("%q: %v, invalid %v", text, got, invalid)
		}
	}
	if got, invalid := parseLatency("svc_ms=20,eps=0,queue=3,x0=1,more=7", "svc_ms"); got != 200 || invalid { // further fields are ignored
		t.Errorf("further fields: %v, invalid %v", got, invalid)
	}
	if _, invalid := parseLatency("svc_ms=NaN", ""); invalid { // no report is read if the settings name no field
		t.Error("an unread report counts as invalid")
	}
	for line, want := range map[string]policy.Time{"-BUSY svc_ms=7\r\n": 70, "-BUSY\r\n": 0, "-ERR failed svc_ms=7\r\n": 70, "-ERR failed\r\n": 0} {
		if _, res, err := parseResponse([]byte(line), "svc_ms"); err != nil || res.ReportedLatency != want {
			t.Errorf("%q: %v, %v", line, res.ReportedLatency, err)
		}
	}
}

// A probe results in both a queue length and a rate or in an error, and never in the outcome of an op.
func TestProbesAreReadStrictly(t *testing.T) {
	p := Protocol{WaitingField: "pending", RateField: "served_ps"}
	if got, _ := p.AppendRequest(nil, &engine.Request{Probe: true}, deadline.AttemptDeadline{}); string(got) != "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n" {
		t.Errorf("probe is %q", got)
	}
	for report, valid := range map[string]bool{"pending=3,served_ps=20.5": true, "served_ps=20.5,x0=7,pending=3": true, "pending=3": false,
		"pending=3,served_ps=NaN": false, "pending=3,served_ps=-20": false, "pending=3,served_ps=Inf": false, "": false,
		"pending=3,pending=4,served_ps=1": false, "pending=,served_ps=1": false} {
		n, res, err := p.parseProbe([]byte(fmt.Sprintf("$%d\r\n%s\r\n", len(report), report)))
		if err != nil || n == 0 || valid != (res.Outcome == policy.Acked) || valid && (res.QueueLength != 3 || res.OpsPerSecond != 20.5) {
			t.Errorf("%q: %d, %+v, %v", report, n, res, err)
		}
	}
	for _, line := range []string{"-NOPERM\r\n", "-ERR busy\r\n", "-BUSY\r\n"} {
		if n, res, err := p.parseProbe([]byte(line)); n != len(line) || err != nil || res.Outcome != policy.Errored {
			t.Errorf("%q: %d, %+v, %v", line, n, res, err)
		}
	}
	for _, bad := range []string{"*1\r\n$1\r\nv\r\n", "$-1\r\n", "$9999\r\n", "+PONG\r\n"} {
		if n, _, err := p.parseProbe([]byte(bad)); n != 0 || err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
	if n, _, err := p.parseProbe([]byte("$20\r\npending=3")); n != 0 || err != nil {
		t.Errorf("incomplete response: %d, %v", n, err)
	}
}
