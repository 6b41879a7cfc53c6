package pool

import (
	"errors"
	"fmt"

	"minttray/policy"
)

// Progress is how far a push had come when it failed.
type Progress uint8

const (
	NeverConnected Progress = iota
	PartWritten             // its last byte was not handed to the kernel
	WholeWritten
	AnswerBegun
)

var progressNames = [...]string{"never connected", "part written", "whole written", "answer begun"}

// Fault is a failed push: what went wrong, and how far it had come.
type Fault struct {
	Progress Progress
	Addr     string
	Err      error
}

func (f *Fault) Error() string {
	return fmt.Sprintf("%s: %s: %v", f.Addr, progressNames[f.Progress], f.Err)
}
func (f *Fault) Unwrap() error { return f.Err }

var errNoDescriptor = errors.New("no descriptor left for servers")

// Outcome follows from how far the push had come: a server begins a request when its last byte has come, so
// anything short of that has never run, and anything past it may have. Want of a descriptor here, or a connection
// that was lost before the request was out, must not take a cache out that may be well.
func (f *Fault) Outcome() policy.Outcome {
	switch {
	case f.Progress >= WholeWritten:
		return policy.ConnectionLost
	case f.Progress == PartWritten || errors.Is(f.Err, errNoDescriptor):
		return policy.NotSent
	}
	return policy.ConnectFailed
}
