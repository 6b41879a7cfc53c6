package hostile

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Draw returns the deployment, the signals and the pressures of one run, drawn from the setup's seed: the least memory with few or many
// descriptors, some kinds of hostile clients or a crowd of one, reloads in series, and in half of the runs a planned restart.
func Draw(s Setup, length time.Duration) (Setup, []Pressure) {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	s.Cores, s.MemoryMB, s.Sockets = 1, 32, 256
	clients := 120
	if random.IntN(2) == 0 {
		s.Sockets, clients = 1024, 480
	}
	kinds := slices.Clone(Kinds)
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	kinds = kinds[:1+random.IntN(len(kinds))]
	var pressures []Pressure
	for _, kind := range kinds {
		pressures = append(pressures, Pressure{kind, clients / len(kinds)})
	}
	for range random.IntN(6) {
		at := time.Duration(random.Int64N(int64(length)))
		s.Signals = append(s.Signals, Signal{at, syscall.SIGHUP}, Signal{at + time.Millisecond, syscall.SIGUSR1})
	}
	slices.SortFunc(s.Signals, func(a, b Signal) int { return int(a.At - b.At) })
	if random.IntN(2) == 0 {
		at := length - longestDeadline - killGrace - time.Duration(random.Int64N(int64(length/4)))
		s.Signals = slices.DeleteFunc(s.Signals, func(x Signal) bool { return x.At > at })
		s.Signals = append(s.Signals, Signal{max(at, 0), syscall.SIGTERM})
	}
	return s, pressures
}
