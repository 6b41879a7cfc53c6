// Package simwire carries the simulator's frames to the decision module and its actions back.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"minttray/internal/settings"
	"minttray/policy"
)

const (
	batchHeader = 12
	entrySize   = 22
	maxFrame    = 1 << 30
)

type wire struct {
	now       uint64
	out       []byte
	instances map[uint16]*instance
}

// instance is one proxy: its module, and the host that the module acts through.
type instance struct {
	w     *wire
	id    uint16
	proxy *policy.Balancer
	// Places in a load report.
	pace, waiting, rate int
}

// Serve answers batches until the input ends.
func Serve(r io.Reader, out io.Writer) error {
	in := bufio.NewReaderSize(r, 1<<16)
	w := &wire{instances: map[uint16]*instance{}}
	var header [batchHeader]byte
	var body []byte
	for frame := 0; ; frame++ {
		if n, err := io.ReadFull(in, header[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("frame %d: header cut short after %d bytes", frame, n)
		}
		size := int(binary.LittleEndian.Uint32(header[:]))
		if size < batchHeader || size > maxFrame {
			return fmt.Errorf("frame %d: length %d does not fit", frame, size)
		}
		w.now = binary.LittleEndian.Uint64(header[4:])
		var err error
		if body, err = readBody(in, body[:0], size-batchHeader); err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		w.out = append(w.out[:0], 0, 0, 0, 0)
		if err := w.batch(body); err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		binary.LittleEndian.PutUint32(w.out, uint32(len(w.out)))
		if _, err := out.Write(w.out); err != nil {
			return err
		}
	}
}

// readBody grows with what really arrives: a corrupt length must not cost its size in memory.
func readBody(in io.Reader, body []byte, size int) ([]byte, error) {
	for len(body) < size {
		from := len(body)
		body = append(body, make([]byte, min(size-from, 1<<20))...)
		if n, err := io.ReadFull(in, body[from:]); err != nil {
			return nil, fmt.Errorf("cut short after %d of %d bytes", from+n+batchHeader, size+batchHeader)
		}
	}
	return body, nil
}

// reader takes fields off a batch; past its end it yields zeros and remembers the shortage.
type reader struct {
	b     []byte
	at    int
	short bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.b)-r.at {
		r.short, r.at = true, len(r.b)
		return make([]byte, min(max(n, 0), 8))
	}
	r.at += n
	return r.b[r.at-n : r.at]
}
func (r *reader) u8() uint8    { return r.take(1)[0] }
func (r *reader) u16() uint16  { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32  { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64  { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) f32() float32 { return math.Float32frombits(r.u32()) }
func (r *reader) skipReport()  { r.take(4 * int(r.u8())) }

// pace reads a load report for how long ops take, which stands at a place; 0: it does not say.
func (r *reader) pace(at int) policy.Time {
	values := r.take(4 * int(r.u8()))
	if at < 0 || len(values) < 4*(at+1) {
		return 0
	}
	return settings.ReportedLatency(float64(math.Float32frombits(binary.LittleEndian.Uint32(values[4*at:]))))
}

// figure reads one value of a load report; a missing, negative or endless one tells nothing.
func figure(values []byte, at int) (float64, bool) {
	if at < 0 || len(values) < 4*(at+1) {
		return 0, false
	}
	v := float64(math.Float32frombits(binary.LittleEndian.Uint32(values[4*at:])))
	return v, v >= 0 && !math.IsInf(v, 1)
}
func down(us uint64) policy.Time { return policy.Time(us / 100) }

var outcomes = map[uint8]policy.Outcome{
	10: policy.Acked, 20: policy.Errored, 30: policy.Rejected, 40: policy.TimedOut, 50: policy.ConnectFailed,
	60: policy.ConnectionLost, 70: policy.Cancelled, 80: policy.NotSent, 90: policy.Miss,
}
var listKinds = map[uint8]policy.ListKind{
	0: policy.ListFull, 1: policy.ListDelta, 2: policy.ListCached, 4: policy.ListFailed,
}
var states = map[uint8]policy.State{1: policy.Draining, 2: policy.Gone, 3: policy.Ready}

func (w *wire) batch(body []byte) error {
	r := &reader{b: body}
	for record := 0; r.at < len(body); record++ {
		at := r.at
		if err := w.record(r); err != nil {
			return fmt.Errorf("record %d at offset %d: %w", record, at+batchHeader, err)
		}
	}
	return nil
}

func (w *wire) record(r *reader) error {
	code := r.u8()
	in := w.instances[r.u16()]
	id := binary.LittleEndian.Uint16(r.b[max(r.at-2, 0):])
	cut := func() error { return fmt.Errorf("code %d is cut short", code) }
	if r.short {
		return cut()
	}
	if in == nil && code != 6 {
		in = &instance{w: w, id: id} // events after a kill are passed over
	}
	switch code {
	case 1:
		r.u16()
		news := r.take(int(r.u16()))
		if r.short {
			return cut()
		}
		if in.proxy != nil {
			in.proxy.PeerMessageReceived(news)
		}
	case 2:
		tid := r.u32()
		r.take(9)
		if r.short {
			return cut()
		}
		if in.proxy != nil {
			in.proxy.StreamBegan(tid)
		}
	case 3:
		token := r.u64()
		if r.short {
			return cut()
		}
		if in.proxy != nil {
			in.proxy.TimerDue(token)
		}
	case 4:
		delete(w.instances, id)
	case 5:
		cache, reason := r.u32(), r.u8()
		r.u32()
		values := r.take(4 * int(r.u8()))
		if r.short {
			return cut()
		}
		if in.proxy != nil {
			waiting, ok := figure(values, in.waiting)
			rate, told := figure(values, in.rate)
			in.proxy.Probed(cache, ok && told && reason == 10, waiting, rate)
		}
	case 6:
		seed := r.u64()
		conf := r.take(int(r.u32()))
		if r.short {
			return cut()
		}
		in = &instance{w: w, id: id}
		w.instances[id] = in
		s, err := settings.Decode(conf)
		if err != nil {
			w.out = text(append(w.out, 12), id, err.Error())
			return nil
		}
		in.pace, in.waiting, in.rate = s.Pace, s.Waiting, s.Rate
		in.proxy = policy.New(s.Policy, seed, in)
	case 7:
		tid, key, bits, service, left := r.u32(), r.u64(), r.u8(), r.u16(), r.u32()
		r.take(8)
		account := r.u16()
		if r.short {
			return cut()
		}
		if in.proxy != nil {
			in.proxy.OpArrived(tid, key, int(service), int(account), bits&4 != 0, bits&2 != 0, down(uint64(left)))
		}
	case 8:
		return w.list(in, r)
	case 9:
		tid := r.u32()
		if r.short {
			return cut()
		}
		if in.proxy != nil {
			in.proxy.ClientLeft(tid)
		}
	case 10:
		tid := r.u32()
		cache := r.u32()
		note, reason, terminal, n := r.u32(), r.u8(), r.u8(), r.u8()
		taken, pace := r.u32(), policy.Time(0)
		if in != nil {
			pace = r.pace(in.pace)
		} else {
			r.skipReport()
		}
		outcome, ok := outcomes[reason]
		if r.short {
			return cut()
		}
		if !ok {
			return fmt.Errorf("unknown outcome %d", reason)
		}
		if in.proxy != nil {
			if pace > 0 {
				in.proxy.Reported(cache, pace)
			}
			in.proxy.PushEnded(tid, int(n), outcome, note >= 2, terminal != 0, down(uint64(taken)))
		}
	default:
		return fmt.Errorf("unknown code %d", code)
	}
	return nil
}

func (w *wire) list(in *instance, r *reader) error {
	form := r.u8()
	r.u32()
	n := int(r.u32())
	kind, ok := listKinds[form]
	if r.short || n > (len(r.b)-r.at)/entrySize {
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
			e.Weight = 1 // absent, or no figure to compare by
		}
		// A start is rounded up: a cache must not count as older than it is.
		e.Start = down(r.u64() + 99)
		entries[i] = e
	}
	if in.proxy != nil {
		in.proxy.ListArrived(kind, entries)
	}
	return nil
}

func (in *instance) begin(code byte) []byte {
	return binary.LittleEndian.AppendUint16(append(in.w.out, code), in.id)
}
func text(b []byte, id uint16, s string) []byte {
	s = s[:min(len(s), math.MaxUint16)]
	b = binary.LittleEndian.AppendUint16(b, id)
	return append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
}
func us32(t policy.Time) uint32 { return uint32(min(max(t, 0)*100, math.MaxUint32)) }

func (in *instance) Now() policy.Time { return down(in.w.now) }
func (in *instance) Push(op, cache uint32, until policy.Time) {
	b := binary.LittleEndian.AppendUint32(in.begin(1), op)
	b = binary.LittleEndian.AppendUint64(b, uint64(max(until, 0))*100)
	in.w.out = binary.LittleEndian.AppendUint32(b, cache)
}
func (in *instance) SendToPeers(news []byte) {
	b := binary.LittleEndian.AppendUint32(in.begin(2), math.MaxUint32)
	in.w.out = append(binary.LittleEndian.AppendUint16(b, uint16(len(news))), news...)
}
func (in *instance) Watch(on bool) {
	b := in.begin(3)
	if on {
		in.w.out = append(b, 1)
		return
	}
	in.w.out = append(b, 0)
}
func (in *instance) Timer(token uint64, after policy.Time) {
	b := binary.LittleEndian.AppendUint64(in.begin(5), token)
	in.w.out = binary.LittleEndian.AppendUint32(b, us32(after))
}
func (in *instance) DeadLetter(op uint32) {
	in.w.out = binary.LittleEndian.AppendUint32(in.begin(6), op)
}
func (in *instance) Nack(op uint32, comeBack policy.Time) {
	b := binary.LittleEndian.AppendUint32(in.begin(7), op)
	in.w.out = binary.LittleEndian.AppendUint32(b, us32(comeBack))
}
func (in *instance) Cancel(op uint32, push int) {
	in.w.out = append(binary.LittleEndian.AppendUint32(in.begin(8), op), byte(push))
}
func (in *instance) Probe(cache uint32) {
	in.w.out = binary.LittleEndian.AppendUint32(in.begin(9), cache)
}
func (in *instance) CloseIdle(cache uint32) {
	in.w.out = binary.LittleEndian.AppendUint32(in.begin(11), cache)
}
func (in *instance) Log(s string) { in.w.out = text(append(in.w.out, 10), in.id, s) }
