package simwire

import (
	"encoding/binary"
	"math"

	"minttray/policy"
)

// Codes of actions. A record is a code (1 byte), the number of the instance (2 bytes) and the fields of the action.
const (
	actionPush        = 1
	actionSendToPeers = 2
	actionWatch       = 3
	actionTimer       = 5
	actionDeadLetter  = 6
	actionNack        = 7
	actionCancel      = 8
	actionProbe       = 9
	actionLog         = 10
	actionCloseIdle   = 11
	actionFault       = 12 // the settings are invalid
)

// allPeers is the receiver of a message that goes to all peers.
const allPeers = math.MaxUint32

// instance is one simulated proxy: its decision module, and the host that the module acts through.
type instance struct {
	adapter *adapter
	id      uint16
	proxy   *policy.Balancer // nil: not started, or its settings are invalid
	// Indexes of values in a load report; -1: none.
	latencyIndex int
	waitingIndex int
	rateIndex    int
}

// begin returns the answer with the head of an action's record appended.
func (in *instance) begin(code byte) []byte {
	return binary.LittleEndian.AppendUint16(append(in.adapter.out, code), in.id)
}

// appendText appends an instance's number and a text, cut to the length that fits.
func appendText(b []byte, id uint16, s string) []byte {
	s = s[:min(len(s), math.MaxUint16)]
	b = binary.LittleEndian.AppendUint16(b, id)
	return append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
}

// microseconds32 converts a duration to microseconds, limited to the range of 32 bits.
func microseconds32(t policy.Time) uint32 {
	return uint32(min(max(t, 0)*microsecondsPerUnit, math.MaxUint32))
}

// Now returns the clock of the current frame.
func (in *instance) Now() policy.Time { return timeFloor(in.adapter.now) }

// Push sends an op to a cache; until is the time at which the push ends.
func (in *instance) Push(op, cache uint32, until policy.Time) {
	b := binary.LittleEndian.AppendUint32(in.begin(actionPush), op)
	b = binary.LittleEndian.AppendUint64(b, uint64(max(until, 0))*microsecondsPerUnit)
	in.adapter.out = binary.LittleEndian.AppendUint32(b, cache)
}

// SendToPeers sends a message to all peers.
func (in *instance) SendToPeers(message []byte) {
	b := binary.LittleEndian.AppendUint32(in.begin(actionSendToPeers), allPeers)
	in.adapter.out = append(binary.LittleEndian.AppendUint16(b, uint16(len(message))), message...)
}

// Watch turns the watch of the cache list on or off.
func (in *instance) Watch(on bool) {
	b := in.begin(actionWatch)
	if on {
		in.adapter.out = append(b, 1)
		return
	}
	in.adapter.out = append(b, 0)
}

// Timer sets a timer.
func (in *instance) Timer(token uint64, after policy.Time) {
	b := binary.LittleEndian.AppendUint64(in.begin(actionTimer), token)
	in.adapter.out = binary.LittleEndian.AppendUint32(b, microseconds32(after))
}

// DeadLetter gives up an op whose effect is unknown.
func (in *instance) DeadLetter(op uint32) {
	in.adapter.out = binary.LittleEndian.AppendUint32(in.begin(actionDeadLetter), op)
}

// Nack gives up an op that the client may retry after a delay.
func (in *instance) Nack(op uint32, retryAfter policy.Time) {
	b := binary.LittleEndian.AppendUint32(in.begin(actionNack), op)
	in.adapter.out = binary.LittleEndian.AppendUint32(b, microseconds32(retryAfter))
}

// Cancel cancels a push of an op.
func (in *instance) Cancel(op uint32, push int) {
	in.adapter.out = append(binary.LittleEndian.AppendUint32(in.begin(actionCancel), op), byte(push))
}

// Probe asks a cache for a load report.
func (in *instance) Probe(cache uint32) {
	in.adapter.out = binary.LittleEndian.AppendUint32(in.begin(actionProbe), cache)
}

// CloseIdle closes the idle connections to a cache.
func (in *instance) CloseIdle(cache uint32) {
	in.adapter.out = binary.LittleEndian.AppendUint32(in.begin(actionCloseIdle), cache)
}

// Log writes a line to the simulator's log.
func (in *instance) Log(text string) {
	in.adapter.out = appendText(append(in.adapter.out, actionLog), in.id, text)
}
