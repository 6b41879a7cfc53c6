package simwire

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const exampleSettings = `{"balancers": 2, "categories": [{"benefit": 2, "effect": "read_like", "target-latency-us": 300000,
	"ttl-us": 900000}], "contract": {"warm-up-us": 5000000, "tip-after-us": 2000000, "fall-multiple": 2,
	"cold-from": 0.5}, "family-info": {"mode": "through", "origin-kind": -1}, "limits": {"most-pushes": 3,
	"retry-after": true, "max-retry-after-us": 1000000}, "tick-us": 5000, "unheard-of": {"x": 1}}`

// record encodes fields: strings as they are, all others as little-endian numbers.
func record(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if s, ok := f.(string); ok {
			b.WriteString(s)
			continue
		}
		binary.Write(&b, binary.LittleEndian, f)
	}
	return b.Bytes()
}

func frame(clock uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(record(uint32(12+len(body)), clock), body...)
}

// The following functions encode the events of a frame.

func start(instance uint16, conf string) []byte {
	return record(uint8(6), instance, uint64(11), uint32(len(conf)), conf)
}

func list(instance uint16, caches ...uint32) []byte {
	b := record(uint8(8), instance, uint8(2), uint32(1), uint32(len(caches)))
	for _, c := range caches {
		b = append(b, record(c, uint16(0), uint8(0), uint16(0), uint8(3), float32(1), uint64(0))...)
	}
	return b
}

func opArrived(instance uint16, op uint32) []byte {
	return record(uint8(7), instance, op, uint64(77), uint8(0), uint16(0), uint32(800000), float32(0), uint32(0), uint16(0))
}

func pushEnded(instance uint16, op, cache uint32, result, terminal, push uint8) []byte {
	return record(uint8(10), instance, op, cache, uint32(1), result, terminal, push, uint32(20000), uint8(1), float32(3))
}

// serve returns the answers to frames.
func serve(frames ...[]byte) ([]byte, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return out.Bytes(), err
}

// Guards against actions that are wrong, missing or in another order, and answers of a killed instance that leak into its successor:
// an op is pushed and answered; one without a cache is refused in the frame in which the instance is killed and starts again.
func TestActions(t *testing.T) {
	out, err := serve(frame(1000000),
		frame(1005000, start(3, exampleSettings), list(3, 50), opArrived(3, 9)),
		frame(1010000, pushEnded(3, 9, 50, 10, 1, 0), pushEnded(3, 9, 50, 10, 1, 0)),
		frame(1015000, list(3), opArrived(3, 10), record(uint8(4), uint16(3)), start(3, exampleSettings)))
	if err != nil {
		t.Fatal(err)
	}
	timer := record(uint8(5), uint16(3), uint64(0), uint32(20000))
	reply := func(records ...[]byte) []byte {
		body := bytes.Join(records, nil)
		return append(record(uint32(4+len(body))), body...)
	}
	pushed := record(uint8(1), uint16(3), uint32(9), uint64(1005000+300000-10000), uint32(50))
	want := append(append(reply(), reply(timer, pushed)...), reply()...)
	if !bytes.HasPrefix(out, want) {
		t.Fatalf("got answers\n%x, want prefix\n%x", out, want)
	}
	rest := out[len(want):]
	nacked := record(uint8(7), uint16(3), uint32(10))
	if len(rest) != 4+11+15 || !bytes.HasPrefix(rest[4:], nacked) || !bytes.HasSuffix(rest, timer) {
		t.Errorf("last answer is %x, want %x and %x at its ends", rest, nacked, timer)
	}
}

// Guards against truncated or corrupt input that is accepted, or that an error does not locate.
func TestBadInput(t *testing.T) {
	whole := frame(1000000, start(3, exampleSettings), list(3, 50), opArrived(3, 9))
	for n := 1; n < len(whole); n++ {
		if _, err := serve(whole[:n]); err == nil {
			t.Errorf("input truncated to %d of %d bytes is accepted", n, len(whole))
		}
	}
	for want, input := range map[string][]byte{
		"length 3 does not fit":        record(uint32(3), uint64(0)),
		"unknown code 99":              frame(0, record(uint8(99), uint16(0), uint64(0))),
		"cut short after":              record(uint32(1<<29), uint64(0), uint64(0)),
		"list of 1000000000 entries":   frame(0, record(uint8(8), uint16(0), uint8(0), uint32(1), uint32(1000000000))),
		"code 7 is cut short":          frame(0, opArrived(3, 9)[:20]),
		"record 1 at offset 23: unkno": frame(0, record(uint8(3), uint16(0), uint64(0)), record(uint8(77), uint16(0))),
		"unknown outcome 11":           frame(0, pushEnded(3, 9, 50, 11, 1, 0)),
	} {
		if _, err := serve(input); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}

// Guards against settings that stop the adapter where it should answer with a fault that names the field.
func TestBadSettings(t *testing.T) {
	for conf, field := range map[string]string{
		"{":                  "settings: ",
		`{"categories": []}`: "categories",
		`{"categories": [{"effect": "sometimes"}]}`:                  "categories[0].effect",
		`{"categories": [{"effect": "read_like", "group": "moon"}]}`: "categories[0].group",
	} {
		out, err := serve(frame(0, start(3, conf), list(3, 50), opArrived(3, 9)))
		if err != nil || len(out) < 5 || out[4] != 12 || !strings.Contains(string(out), field) {
			t.Errorf("settings %s: got %q, error %v, want a fault with %q", conf, out, err, field)
		}
	}
}

// Guards against probe results that are misread: only one that reports a long queue holds an op back from the cache. A result without
// usable values counts as none.
func TestProbes(t *testing.T) {
	conf := `{"balancers":9,"categories":[{"effect":"read_like","target-latency-us":300000,"ttl-us":900000}],
		"family-info":{"mode":"aside"},"limits":{"probing":true,"most-pushes":3},"load-report":{"fields":["pending","served_ps"],"how":"on_probe"},"tick-us":5000}`
	probe := record(uint8(9), uint16(3), uint32(50))
	for name, c := range map[string]struct {
		result        uint8
		waiting, rate float32
		pushed        bool // whether the op is pushed to the cache at once
	}{
		"short queue":    {10, 0, 30, true},
		"long queue":     {10, 30, 30, false},
		"queue NaN":      {10, float32(math.NaN()), 30, true},
		"queue negative": {10, -1, 30, true},
		"timed out":      {40, 0, 30, true},
	} {
		out, err := serve(frame(1005000, start(3, conf), list(3, 50), opArrived(3, 9)),
			frame(1010000, record(uint8(5), uint16(3), uint32(50), c.result, uint32(4000), uint8(2), c.waiting, c.rate)))
		at := bytes.Index(out, probe)
		if err != nil || at < 0 {
			t.Fatalf("%s: no probe in %x, error %v", name, out, err)
		}
		if pushed := bytes.Contains(out[at+len(probe):], record(uint8(1), uint16(3), uint32(9))); pushed != c.pushed {
			t.Errorf("%s: pushed %v, want %v", name, pushed, c.pushed)
		}
	}
	for _, truncated := range [][]byte{
		record(uint8(5), uint16(3), uint32(50)),
		record(uint8(5), uint16(3), uint32(50), uint8(10), uint32(1), uint8(2), float32(1)),
	} {
		if _, err := serve(frame(1005000, start(3, conf), truncated)); err == nil {
			t.Errorf("truncated event %x is accepted", truncated)
		}
	}
}
