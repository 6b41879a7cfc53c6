package memory

// codeBytes is what the program's code and constant data take when all of it has been used. The collector does not count it.
const codeBytes = 10 << 20

// reserveDivisor is the share of a process's limit that is left free, as the collector's limit is a soft one.
const reserveDivisor = 16

// maxCollectorShare bounds the collector's limit in quarters of the process's.
const maxCollectorShare = 3

const (
	// connBytes is what a client's connection takes without the blocks: its buffer, its goroutines' stacks and its commands.
	connBytes = 16 << 10
	// connsDivisor is the share of a process's limit that clients' connections may take.
	connsDivisor = 4
)

// MaxConns returns how many of the wanted connections of clients fit into each of a number of processes that share a limit.
func MaxConns(limit int64, processes, wanted int) int {
	return min(wanted, max(int(limit/connsDivisor/connBytes)/processes, 1))
}

// CollectorLimit returns the soft limit to set for the Go runtime in each of a number of processes that share a limit, in bytes.
func CollectorLimit(limit int64, processes int) int64 {
	each := limit / int64(processes)
	return min(each*maxCollectorShare/4, max(each-codeBytes-each/reserveDivisor, each/4))
}
