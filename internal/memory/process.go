package memory

import (
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

// Names of the runtime's figures.
const (
	heapMetric  = "/memory/classes/heap/objects:bytes"
	stackMetric = "/memory/classes/heap/stacks:bytes"
	totalMetric = "/memory/classes/total:bytes"
	freedMetric = "/memory/classes/heap/released:bytes"
)

// Process is what the process holds, in bytes.
type Process struct {
	Heap      int64 // objects, also those that the collector has not come to yet
	Stacks    int64 // of goroutines
	Collector int64 // all memory that the collector's limit counts
	Peak      int64 // largest resident memory so far; 0: the system does not tell
}

// ReadProcess returns the process's present figures.
func ReadProcess() Process {
	samples := []metrics.Sample{{Name: heapMetric}, {Name: stackMetric}, {Name: totalMetric}, {Name: freedMetric}}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	return Process{Heap: value(0), Stacks: value(1), Collector: value(2) - value(3), Peak: readPeak()}
}

// readPeak reads the largest resident memory of this process from the system.
func readPeak() int64 {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
