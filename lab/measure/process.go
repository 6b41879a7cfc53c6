package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// Usage is what a process has used so far, as the system accounts for it.
type Usage struct {
	CPU         float64 // seconds
	MemoryMB    float64
	Descriptors int
	Threads     int
}

const tick = 100 // of the system's accounting, a second

// ProcessUsage reads what a process uses; an error means that it is gone.
func ProcessUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) < 22 {
		return u, fmt.Errorf("process %d: a stat of %d fields", pid, len(fields))
	}
	number := func(i int) float64 {
		n, _ := strconv.ParseFloat(string(fields[i]), 64)
		return n
	}
	u.CPU = (number(11) + number(12)) / tick
	u.Threads = int(number(17))
	u.MemoryMB = number(21) * float64(os.Getpagesize()) / (1 << 20)
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(files)
	return u, err
}
