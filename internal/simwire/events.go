package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"minttray/internal/settings"
	"minttray/policy"
)

// Codes of events. An event is encoded as a record: a code (1 byte), the number of the instance (2 bytes) and the event's fields.
const (
	eventPeerMessage = 1
	eventStreamBegan = 2
	eventTimer       = 3
	eventKill        = 4
	eventProbed      = 5
	eventStart       = 6
	eventOp          = 7
	eventList        = 8
	eventClientLeft  = 9
	eventPushEnded   = 10
)

const (
	listEntrySize = 22 // bytes

	// Flags of eventOp.
	flagRetry = 1 << 1
	flagWrite = 1 << 2

	probeAnswered = 10 // result of a probe that has brought a load report
	noteMiss      = 2  // least value of the note of eventPushEnded that means a miss: the cache did not have the key
)

var outcomes = map[uint8]policy.Outcome{
	10: policy.Acked,
	20: policy.Errored,
	30: policy.Rejected,
	40: policy.TimedOut,
	50: policy.ConnectFailed,
	60: policy.ConnectionLost,
	70: policy.Cancelled,
	80: policy.NotSent,
	90: policy.Miss,
}

var listKinds = map[uint8]policy.ListKind{
	0: policy.ListFull,
	1: policy.ListDelta,
	2: policy.ListCached,
	4: policy.ListFailed,
}

var states = map[uint8]policy.State{
	1: policy.Draining,
	2: policy.Gone,
	3: policy.Ready,
}

// microsecondsPerUnit is the number of microseconds in the unit of policy.Time, a tenth of a millisecond.
const microsecondsPerUnit = 100

// timeFloor converts microseconds to the decision module's unit, rounded down. Unlike that of package settings it has no cap.
func timeFloor(us uint64) policy.Time { return policy.Time(us / microsecondsPerUnit) }

func (a *adapter) handleFrame(body []byte) error {
	r := &reader{data: body}
	for record := 0; r.offset < len(body); record++ {
		offset := r.offset
		if err := a.handleEvent(r); err != nil {
			return fmt.Errorf("record %d at offset %d: %w", record, offset+frameHeaderSize, err)
		}
	}
	return nil
}

// handleEvent decodes one event and passes it to its instance. Events for an instance that does not run, because it was not
// started, was killed or has invalid settings, are decoded and ignored.
func (a *adapter) handleEvent(r *reader) error {
	code := r.u8()
	in := a.instances[r.u16()]
	// id is the number that u16 has just read. In a record cut short the offset may be below 2, and id is not used.
	id := binary.LittleEndian.Uint16(r.data[max(r.offset-2, 0):])
	truncatedError := func() error { return fmt.Errorf("code %d is cut short", code) }
	if r.truncated {
		return truncatedError()
	}
	if in == nil && code != eventStart {
		in = &instance{adapter: a, id: id}
	}
	switch code {
	case eventPeerMessage:
		r.u16() // unused
		message := r.take(int(r.u16()))
		if r.truncated {
			return truncatedError()
		}
		if in.proxy != nil {
			in.proxy.PeerMessageReceived(message)
		}
	case eventStreamBegan:
		op := r.u32()
		r.take(9) // unused
		if r.truncated {
			return truncatedError()
		}
		if in.proxy != nil {
			in.proxy.StreamBegan(op)
		}
	case eventTimer:
		token := r.u64()
		if r.truncated {
			return truncatedError()
		}
		if in.proxy != nil {
			in.proxy.TimerDue(token)
		}
	case eventKill:
		delete(a.instances, id)
	case eventProbed:
		cache, result := r.u32(), r.u8()
		r.u32() // unused
		values := r.loadReport()
		if r.truncated {
			return truncatedError()
		}
		if in.proxy != nil {
			waiting, hasWaiting := reportedValue(values, in.waitingIndex)
			rate, hasRate := reportedValue(values, in.rateIndex)
			in.proxy.Probed(cache, hasWaiting && hasRate && result == probeAnswered, waiting, rate)
		}
	case eventStart:
		seed := r.u64()
		conf := r.take(int(r.u32()))
		if r.truncated {
			return truncatedError()
		}
		in = &instance{adapter: a, id: id}
		a.instances[id] = in
		s, err := settings.Decode(conf)
		if err != nil {
			a.out = appendText(append(a.out, actionFault), id, err.Error())
			return nil
		}
		in.latencyIndex, in.waitingIndex, in.rateIndex = s.Pace, s.Waiting, s.Rate
		in.proxy = policy.New(s.Policy, seed, in)
	case eventOp:
		op, key, flags, category, remainingUS := r.u32(), r.u64(), r.u8(), r.u16(), r.u32()
		r.take(8) // unused
		tenant := r.u16()
		if r.truncated {
			return truncatedError()
		}
		if in.proxy != nil {
			in.proxy.OpArrived(op, key, int(category), int(tenant), flags&flagWrite != 0, flags&flagRetry != 0, timeFloor(uint64(remainingUS)))
		}
	case eventList:
		return a.handleList(in, r)
	case eventClientLeft:
		op := r.u32()
		if r.truncated {
			return truncatedError()
		}
		if in.proxy != nil {
			in.proxy.ClientLeft(op)
		}
	case eventPushEnded:
		op := r.u32()
		cache := r.u32()
		note, result, terminal, push := r.u32(), r.u8(), r.u8(), r.u8()
		durationUS, latency := r.u32(), policy.Time(0)
		if in != nil {
			latency = reportedLatency(r.loadReport(), in.latencyIndex)
		} else {
			r.loadReport()
		}
		outcome, ok := outcomes[result]
		if r.truncated {
			return truncatedError()
		}
		if !ok {
			return fmt.Errorf("unknown outcome %d", result)
		}
		if in.proxy != nil {
			if latency > 0 {
				in.proxy.Reported(cache, latency)
			}
			in.proxy.PushEnded(op, int(push), outcome, note >= noteMiss, terminal != 0, timeFloor(uint64(durationUS)))
		}
	default:
		return fmt.Errorf("unknown code %d", code)
	}
	return nil
}

func (a *adapter) handleList(in *instance, r *reader) error {
	form := r.u8()
	r.u32() // unused
	n := int(r.u32())
	kind, ok := listKinds[form]
	if r.truncated || n > (len(r.data)-r.offset)/listEntrySize {
		return fmt.Errorf("list of %d entries is cut short", n)
	}
	if !ok {
		return fmt.Errorf("unknown form of list %d", form)
	}
	entries := make([]policy.Entry, n)
	for i := range entries {
		e := policy.Entry{ID: r.u32(), Zone: int(r.u16()), Kind: int(r.u8()), Cell: int(r.u16())}
		state := r.u8()
		if e.State, ok = states[state]; !ok {
			return fmt.Errorf("unknown state %d", state)
		}
		if e.Weight = float64(r.f32()); !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
			e.Weight = 1 // missing or invalid: not a finite number above 0
		}
		// Start times are rounded up: a cache must not count as older than it is.
		e.Start = timeFloor(r.u64() + microsecondsPerUnit - 1)
		entries[i] = e
	}
	if in.proxy != nil {
		in.proxy.ListArrived(kind, entries)
	}
	return nil
}
