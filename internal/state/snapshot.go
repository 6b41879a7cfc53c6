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

// SnapshotFile is the file that keeps learned state across a restart. It must be used by one goroutine at a time.
type SnapshotFile struct {
	MaxAge    time.Duration // an older snapshot is rejected
	HalfLife  time.Duration // age at which a snapshot's figures count for half
	KeyWindow time.Duration // time for which kept keys are remembered

	path, proxy, settings string
	lock                  *os.File
	failures              int // consecutive failed writes
	nextWrite             time.Time
}

// snapshot is the payload of the file.
type snapshot struct {
	At       time.Time         `json:"at"`
	Settings string            `json:"settings"`
	Memory   warm.LearnedState `json:"memory"`
}

// ErrNoSnapshot means that there is no snapshot file.
var ErrNoSnapshot = errors.New("state: no snapshot")

const (
	maxClockSkew        = 2 * time.Second // allowed difference between clocks
	maxBackoffDoublings = 6               // limit of the exponential backoff between failed writes
)

// OpenSnapshotFile returns the snapshot file of one proxy in a persistent directory. settings is a digest of the settings in force.
func OpenSnapshotFile(dir, proxy, listen, settings string) *SnapshotFile {
	s := &SnapshotFile{path: Open(dir, proxy, listen).path + ".learned", proxy: proxy, settings: settings}
	// Remove temporary files of processes that were killed during a write: nothing else would ever rename or delete them.
	leftovers, _ := filepath.Glob(filepath.Join(dir, "."+filepath.Base(s.path)+"*"))
	for _, path := range leftovers {
		if info, err := os.Stat(path); err == nil && time.Since(info.ModTime()) > time.Minute {
			os.Remove(path)
		}
	}
	return s
}

// Load reads the snapshot left by an earlier process and decays it according to its age. It returns ErrNoSnapshot if there is none; any
// other error says why the snapshot cannot be used.
func (s *SnapshotFile) Load(now time.Time) (m *warm.LearnedState, age time.Duration, err error) {
	var stored snapshot
	if err := readFile(s.path, s.proxy, maxMemoryBytes, &stored); errors.Is(err, fs.ErrNotExist) {
		return nil, 0, ErrNoSnapshot
	} else if err != nil {
		return nil, 0, err
	}
	switch age = now.Sub(stored.At); {
	case stored.Settings != s.settings:
		return nil, age, errors.New("state: snapshot was learned under other settings")
	case age < -maxClockSkew: // If the clock was set back, the snapshot would otherwise never expire.
		return nil, age, fmt.Errorf("state: snapshot is dated %v in the future: a clock was changed", -age)
	case age > s.MaxAge:
		return nil, age, fmt.Errorf("state: snapshot is %v old, at most %v", age.Round(time.Millisecond), s.MaxAge)
	}
	if err := stored.Memory.Check(); err != nil {
		return nil, age, fmt.Errorf("state: memory: %w", err)
	}
	age = max(age, 0)
	const unit = 100 * time.Microsecond
	stored.Memory.Decay(int64(age/unit), int64(s.HalfLife/unit), int64(s.KeyWindow/unit))
	return &stored.Memory, age, nil
}

// SetSettings sets the digest of the settings in force.
func (s *SnapshotFile) SetSettings(settings string) { s.settings = settings }

// AcquireWriteLock reports whether this process may write the file. Of several processes with the same file, the first to lock it may,
// until it exits, even if it is killed.
func (s *SnapshotFile) AcquireWriteLock() bool {
	if s.lock != nil {
		return true
	}
	f, err := os.OpenFile(s.path+".writes", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return true // the write fails in the same directory and reports the error
	}
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		f.Close()
		return false
	}
	s.lock = f
	return true
}

// Due reports whether to write now. After a failed write the delay doubles with each consecutive failure, so that a full disk is not
// retried at every interval.
func (s *SnapshotFile) Due(now time.Time) bool {
	return !now.Before(s.nextWrite) && s.AcquireWriteLock()
}

// Write replaces the snapshot. first is true for the first of several consecutive failures, so that the caller logs only that one.
func (s *SnapshotFile) Write(m warm.LearnedState, now time.Time, every time.Duration) (first bool, err error) {
	if err = writeFile(s.path, s.proxy, snapshot{now, s.settings, m}); err != nil {
		s.nextWrite = now.Add(every << min(s.failures, maxBackoffDoublings))
		s.failures++
		return s.failures == 1, err
	}
	s.failures, s.nextWrite = 0, now.Add(every)
	return false, nil
}

// Close releases the write lock.
func (s *SnapshotFile) Close() {
	if s.lock != nil {
		s.lock.Close()
		s.lock = nil
	}
}
