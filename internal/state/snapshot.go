package state

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"minttray/decide/warm"
)

// SnapshotFile is the file in which what was learned outlives a restart. It belongs to one goroutine at a time.
type SnapshotFile struct {
	MaxAge, HalfLife time.Duration // age up to which one is taken, and after which it counts for half
	KeyWindow        time.Duration // for which kept keys are known

	path, proxy, settings string
	lock                  *os.File
	failures              int // writes in a row
	nextWrite             time.Time
}

// snapshot is what the file holds.
type snapshot struct {
	At       time.Time         `json:"at"`
	Settings string            `json:"settings"`
	Memory   warm.LearnedState `json:"memory"`
}

// ErrNoSnapshot means that there is no snapshot.
var ErrNoSnapshot = errors.New("state: no snapshot")

const (
	maxClockSkew        = 2 * time.Second // clocks may differ by so much
	maxBackoffDoublings = 6               // waits after writes that failed, in a row
)

// OpenSnapshotFile names the file of one proxy in a lasting directory. settings tells in short what it is learned under.
func OpenSnapshotFile(dir, proxy, listen, settings string) *SnapshotFile {
	s := &SnapshotFile{path: Open(dir, proxy, listen).path + ".learned", proxy: proxy, settings: settings}
	// What a process left that was killed while it wrote: renamed by nobody, it would stay for ever.
	left, _ := filepath.Glob(filepath.Join(dir, "."+filepath.Base(s.path)+"*"))
	for _, path := range left {
		if info, err := os.Stat(path); err == nil && time.Since(info.ModTime()) > time.Minute {
			os.Remove(path)
		}
	}
	return s
}

// Load reads what a process before this one has left, as far as it counts by now. ErrNone: there is nothing; any other error
// tells why what is there is not used.
func (s *SnapshotFile) Load(now time.Time) (m *warm.LearnedState, age time.Duration, err error) {
	var shot snapshot
	if err := readFile(s.path, s.proxy, maxMemoryBytes, &shot); errors.Is(err, fs.ErrNotExist) {
		return nil, 0, ErrNoSnapshot
	} else if err != nil {
		return nil, 0, err
	}
	switch age = now.Sub(shot.At); {
	case shot.Settings != s.settings:
		return nil, age, errors.New("state: learned under other settings")
	case age < -maxClockSkew: // Danger: by a clock that was put back, it would never be old.
		return nil, age, fmt.Errorf("state: written %v from now: a clock was changed", -age)
	case age > s.MaxAge:
		return nil, age, fmt.Errorf("state: %v old, at most %v", age.Round(time.Millisecond), s.MaxAge)
	}
	if err := shot.Memory.Check(); err != nil {
		return nil, age, fmt.Errorf("state: memory: %w", err)
	}
	age = max(age, 0)
	const unit = 100 * time.Microsecond
	shot.Memory.Decay(int64(age/unit), int64(s.HalfLife/unit), int64(s.KeyWindow/unit))
	return &shot.Memory, age, nil
}

// SetSettings tells that other settings are in force.
func (s *SnapshotFile) SetSettings(settings string) { s.settings = settings }

// AcquireWriteLock tells whether this process is the one that writes: of two with one file, the one that came first, until it ends,
// however it does.
func (s *SnapshotFile) AcquireWriteLock() bool {
	if s.lock != nil {
		return true
	}
	f, err := os.OpenFile(s.path+".writes", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return true // nothing can be written there either, and that is told
	}
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		f.Close()
		return false
	}
	s.lock = f
	return true
}

// Due tells whether to write now. After a write that failed it waits, longer with each in a row: a full disk is not tried
// at every turn.
func (s *SnapshotFile) Due(now time.Time) bool {
	return !now.Before(s.nextWrite) && s.AcquireWriteLock()
}

// Write puts what was learned in the place of what was there. first: the first failure in a row, which is worth a word.
func (s *SnapshotFile) Write(m warm.LearnedState, now time.Time, every time.Duration) (first bool, err error) {
	if err = writeFile(s.path, s.proxy, snapshot{now, s.settings, m}); err != nil {
		s.nextWrite = now.Add(every << min(s.failures, maxBackoffDoublings))
		s.failures++
		return s.failures == 1, err
	}
	s.failures, s.nextWrite = 0, now.Add(every)
	return false, nil
}

// Close lets another process write.
func (s *SnapshotFile) Close() {
	if s.lock != nil {
		s.lock.Close()
		s.lock = nil
	}
}
