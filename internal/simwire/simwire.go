// Package simwire connects the decision module to the simulator. The simulator sends frames of events for simulated proxies;
// the answer to each frame holds the actions that the proxies take. All integers are little-endian.
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
	frameHeaderSize = 12      // frame length (4 bytes, header included), clock in microseconds (8 bytes)
	maxFrameSize    = 1 << 30 // bytes
	inputBufferSize = 1 << 16 // bytes
	readChunkSize   = 1 << 20 // bytes of a frame that are allocated before they arrive
)

// adapter holds the simulated proxies and the answer to the current frame.
type adapter struct {
	now       uint64 // the frame's clock, in microseconds
	out       []byte // answer, its length first
	instances map[uint16]*instance
}

// Serve answers frames until the input ends.
func Serve(r io.Reader, out io.Writer) error {
	in := bufio.NewReaderSize(r, inputBufferSize)
	a := &adapter{instances: map[uint16]*instance{}}
	var header [frameHeaderSize]byte
	var body []byte
	for frame := 0; ; frame++ {
		if n, err := io.ReadFull(in, header[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("frame %d: header cut short after %d bytes", frame, n)
		}
		size := int(binary.LittleEndian.Uint32(header[:]))
		if size < frameHeaderSize || size > maxFrameSize {
			return fmt.Errorf("frame %d: length %d does not fit", frame, size)
		}
		a.now = binary.LittleEndian.Uint64(header[4:])
		var err error
		if body, err = readBody(in, body[:0], size-frameHeaderSize); err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		a.out = append(a.out[:0], 0, 0, 0, 0)
		if err := a.handleFrame(body); err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		binary.LittleEndian.PutUint32(a.out, uint32(len(a.out)))
		if _, err := out.Write(a.out); err != nil {
			return err
		}
	}
}

// readBody reads size bytes into body. It allocates in chunks as they arrive, so that a corrupt length does not cost its size in
// memory.
func readBody(in io.Reader, body []byte, size int) ([]byte, error) {
	for len(body) < size {
		from := len(body)
		body = append(body, make([]byte, min(size-from, readChunkSize))...)
		if n, err := io.ReadFull(in, body[from:]); err != nil {
			return nil, fmt.Errorf("cut short after %d of %d bytes", from+n+frameHeaderSize, size+frameHeaderSize)
		}
	}
	return body, nil
}

// reader decodes the fields of a frame's body. Past the end it returns zeros and sets truncated.
type reader struct {
	data      []byte
	offset    int
	truncated bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.data)-r.offset {
		r.truncated, r.offset = true, len(r.data)
		return make([]byte, min(max(n, 0), 8))
	}
	r.offset += n
	return r.data[r.offset-n : r.offset]
}

func (r *reader) u8() uint8    { return r.take(1)[0] }
func (r *reader) u16() uint16  { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32  { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64  { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) f32() float32 { return math.Float32frombits(r.u32()) }

// loadReport returns the values of a load report: a count and as many 32-bit floats.
func (r *reader) loadReport() []byte { return r.take(4 * int(r.u8())) }

// reportedLatency returns the latency at an index of a load report's values; 0: none.
func reportedLatency(values []byte, index int) policy.Time {
	if index < 0 || len(values) < 4*(index+1) {
		return 0
	}
	return settings.ReportedLatency(float64(math.Float32frombits(binary.LittleEndian.Uint32(values[4*index:]))))
}

// reportedValue returns the value at an index of a load report's values. A missing, negative or infinite one is not ok.
func reportedValue(values []byte, index int) (value float64, ok bool) {
	if index < 0 || len(values) < 4*(index+1) {
		return 0, false
	}
	value = float64(math.Float32frombits(binary.LittleEndian.Uint32(values[4*index:])))
	return value, value >= 0 && !math.IsInf(value, 1)
}
