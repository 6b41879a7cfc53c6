package pool

import (
	"errors"
	"fmt"

	"minttray/internal/memory"
	"minttray/policy"
)

// Progress is the stage at which an attempt failed.
type Progress uint8

const (
	NeverConnected  Progress = iota // no connection could be established
	PartlyWritten                   // the kernel has not accepted the last byte of the request; possibly nothing was written
	FullyWritten                    // the request was written, no byte of the response arrived
	ResponseStarted                 // the response was incomplete or invalid
)

var progressNames = [...]string{"never connected", "part written", "whole written", "answer begun"}

// AttemptError is the error of a failed attempt, with the stage that it had reached.
type AttemptError struct {
	Progress Progress
	Addr     string // of the server
	Err      error
}

func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Addr, progressNames[e.Progress], e.Err)
}
func (e *AttemptError) Unwrap() error { return e.Err }

var errNoDescriptor = errors.New("connection limit reached: no descriptor left for servers")

// Outcome derives the attempt's outcome from its progress. A server executes a request only once its last byte has arrived, so an attempt
// that was not fully written was not executed, and any later one may have been. A lack of descriptors or memory in this process, or a
// connection lost before the request was fully written, says nothing about the server and must not exclude a healthy cache.
func (e *AttemptError) Outcome() policy.Outcome {
	switch {
	case errors.Is(e.Err, errNoValueMemory), errors.Is(e.Err, memory.ErrNoMemory):
		return policy.Cancelled
	case e.Progress >= FullyWritten:
		return policy.ConnectionLost
	case e.Progress == PartlyWritten || errors.Is(e.Err, errNoDescriptor):
		return policy.NotSent
	}
	return policy.ConnectFailed
}
