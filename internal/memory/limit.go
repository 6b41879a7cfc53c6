package memory

// codeBytes is what the program's code and constant data take when all of it has been used. The collector does not count it.
const codeBytes = 8 << 20

// reserveDivisor is the share of a process's limit that is left free, as the collector's limit is a soft one.
const reserveDivisor = 16

// maxCollectorShare bounds the collector's limit in quarters of the process's.
const maxCollectorShare = 3

// CollectorLimit returns the soft limit to set for the Go runtime in each of a number of processes that share a limit, in bytes.
func CollectorLimit(limit int64, processes int) int64 {
	each := limit / int64(processes)
	return min(each*maxCollectorShare/4, max(each-codeBytes-each/reserveDivisor, each/4))
}
