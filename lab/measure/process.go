package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// Usage is the resources that a process uses, as the operating system accounts for them.
type Usage struct {
	CPU         float64 // seconds since the start of the process
	MemoryMB    float64 // resident memory, in MiB
	Descriptors int     // open file descriptors
	Threads     int
}

// clockTicksPerSecond is USER_HZ, the unit of CPU times in /proc.
const clockTicksPerSecond = 100

// Fields of /proc/PID/stat, counted from 0 after the command's closing bracket.
const (
	statUserTime   = 11
	statSystemTime = 12
	statThreads    = 17
	statRSS        = 21 // pages
	minStatFields  = 22
)

// ProcessUsage reads the resources that a process uses. It returns an error if the process does not exist.
func ProcessUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) < minStatFields {
		return u, fmt.Errorf("process %d: stat has %d fields after the command, expected at least %d", pid, len(fields), minStatFields)
	}
	number := func(i int) float64 {
		n, _ := strconv.ParseFloat(string(fields[i]), 64)
		return n
	}
	u.CPU = (number(statUserTime) + number(statSystemTime)) / clockTicksPerSecond
	u.Threads = int(number(statThreads))
	u.MemoryMB = number(statRSS) * float64(os.Getpagesize()) / (1 << 20)
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(files)
	return u, err
}
