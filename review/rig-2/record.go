// Package rig2 holds what the cases of the second review share: stand-ins for caches, the origin and discovery, a client, and the start of
// real proxies with the deploy file's command. All of it talks on loopback alone.
package rig2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule held
	Broken = 1
	Unable = 2 // the case couldn't run
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord replaces the file at path.
func OpenRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Log adds a line, with the time since the start.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}
