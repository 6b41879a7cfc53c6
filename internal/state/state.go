// Package state keeps operators' overrides and learned state in files that outlive the process and are shared with its successor. Lock
// files tell each process whether the other one is running.
package state

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"minttray/decide/warm"
)

const (
	formatVersion     = 1
	maxOverridesBytes = 1 << 20 // size limit of the overrides file
	maxCachesOut      = 4096    // limit of caches taken out of service

	maxMemoryBytes = 4 << 20 // size limit of files with learned state
)

// Overrides holds what operators have set through the control port.
type Overrides struct {
	CachesOut    []string `json:"out"`  // names of the caches that are out of service
	DrainClients bool     `json:"away"` // clients are sent to other proxies

	Sites      map[string]SiteOverride `json:"sites,omitempty"` // by site name: the last override of each
	ReturnedAt map[string]time.Time    `json:"back,omitempty"`  // by cache name: when a cache that was out was put back in service
}

// SiteOverride takes all caches of a site out of service, or puts them back, spread over a duration.
type SiteOverride struct {
	Out  bool          `json:"out"`  // out of service; false: returned to service
	At   time.Time     `json:"at"`   // when the operator set the override
	Over time.Duration `json:"over"` // duration over which the caches follow, in nanoseconds
}

// MaxSiteDuration limits how long taking a site out or putting it back may take.
const MaxSiteDuration = time.Hour

// maxSites limits the number of site overrides.
const maxSites = 64

const returnRetention = 10 * time.Minute // entries are kept this long after a return; slow starts must be shorter

type envelope struct {
	Version  int             `json:"version"`
	Proxy    string          `json:"proxy"`
	Checksum uint32          `json:"sum"` // CRC-32 of Payload
	Payload  json.RawMessage `json:"word"`
}

// Store gives access to a proxy's overrides file, handover file and lock files. It must be used by one goroutine at a time.
type Store struct {
	path, proxy string
	process     string // identifies this process among those that have used the files
	lastRead    fileStamp
	roleLocks   map[string]*os.File
}

// fileStamp identifies one version of a file; it changes whenever the file is replaced.
type fileStamp struct {
	inode   uint64
	size    int64
	modTime time.Time
}

// Open returns the store of one proxy. It opens and writes no file; proxy and the listen address determine the file names.
// dir is shared with the proxy's predecessor and successor processes.
func Open(dir, proxy, listen string) *Store {
	h := fnv.New64a()
	h.Write([]byte(proxy + "\x00" + listen))
	return &Store{path: filepath.Join(dir, fmt.Sprintf("minttray-%016x", h.Sum64())), proxy: proxy, process: rand.Text(), roleLocks: map[string]*os.File{}}
}

// Read returns the overrides, which are empty if none were ever set. An error means that the file cannot be used.
func (s *Store) Read() (Overrides, error) {
	s.lastRead = s.currentStamp()
	return s.Peek()
}

// Peek returns the overrides like Read, but does not affect what Changed reports.
func (s *Store) Peek() (Overrides, error) {
	var overrides Overrides
	if err := readFile(s.path, s.proxy, maxOverridesBytes, &overrides); errors.Is(err, fs.ErrNotExist) {
		return Overrides{}, nil
	} else if err != nil {
		return Overrides{}, err
	}
	if len(overrides.CachesOut) > maxCachesOut {
		return Overrides{}, fmt.Errorf("state: %d caches out, at most %d", len(overrides.CachesOut), maxCachesOut)
	}
	for name, site := range overrides.Sites {
		if len(overrides.Sites) > maxSites || site.Over < 0 || site.Over > MaxSiteDuration {
			return Overrides{}, fmt.Errorf("state: too many sites (%d, at most %d), or bad duration of site %q: %v (0 to %v)", len(overrides.Sites), maxSites, name, site.Over, MaxSiteDuration)
		}
	}
	return overrides, nil
}

// readFile reads and verifies a file of this proxy of at most limit bytes. If it returns an error, the contents of payload must not be used.
func readFile(path, proxy string, limit int64, payload any) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("state: %s is longer than %d bytes", path, limit)
	}
	return decode(data, proxy, payload)
}

func decode(data []byte, proxy string, payload any) error {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	switch {
	case e.Version != formatVersion:
		return fmt.Errorf("state: format version %d, expected %d", e.Version, formatVersion)
	case e.Proxy != proxy:
		return fmt.Errorf("state: file of proxy %q, expected %q", e.Proxy, proxy)
	case crc32.ChecksumIEEE(e.Payload) != e.Checksum:
		return fmt.Errorf("state: checksum is %08x, expected %08x", crc32.ChecksumIEEE(e.Payload), e.Checksum)
	}
	strict := json.NewDecoder(bytes.NewReader(e.Payload))
	strict.DisallowUnknownFields()
	if err := strict.Decode(payload); err != nil {
		return fmt.Errorf("state: payload: %w", err)
	}
	return nil
}

// Update reads, changes and writes the overrides under a lock. An unusable file is replaced.
func (s *Store) Update(change func(*Overrides)) error {
	lock, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return err
	}
	overrides, _ := s.Read()
	change(&overrides)
	slices.Sort(overrides.CachesOut)
	maps.DeleteFunc(overrides.ReturnedAt, func(_ string, at time.Time) bool { return time.Since(at) > returnRetention })
	maps.DeleteFunc(overrides.Sites, func(_ string, s SiteOverride) bool { return !s.Out && time.Since(s.At) > s.Over+returnRetention })
	if len(overrides.Sites) > maxSites {
		return fmt.Errorf("more than %d sites", maxSites)
	}
	if overrides.CachesOut = slices.Compact(overrides.CachesOut); len(overrides.CachesOut) > maxCachesOut {
		return fmt.Errorf("more than %d caches out", maxCachesOut)
	}
	return writeFile(s.path, s.proxy, overrides)
}

func writeFile(path, proxy string, payload any) error {
	body, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	data, err := json.Marshal(envelope{formatVersion, proxy, crc32.ChecksumIEEE(body), body})
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, data, 0o600)
}

// Handover is the learned state that a process passes to its successor, once.
type Handover struct {
	At       time.Time         `json:"at"`       // when it was written
	Settings string            `json:"settings"` // digest of the settings under which the state was learned
	Memory   warm.LearnedState `json:"memory"`
}

const maxHandoverAge = 2 * time.Second // older figures say little about the present load

// WriteHandover writes the handover file.
func (s *Store) WriteHandover(h Handover) error { return writeFile(s.path+".hand", s.proxy, h) }

// RemoveHandover deletes a handover file that no process has read.
func (s *Store) RemoveHandover() { os.Remove(s.path + ".hand") }

// AwaitHandover waits for the handover file, reads and deletes it. It returns fs.ErrNotExist if there is none in time, and another error if
// the file is unusable or its age is beyond maxHandoverAge.
func (s *Store) AwaitHandover(timeout time.Duration) (h Handover, err error) {
	path := s.path + ".hand"
	err = readFile(path, s.proxy, maxMemoryBytes, &h)
	for deadline := time.Now().Add(timeout); errors.Is(err, fs.ErrNotExist) && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
		err = readFile(path, s.proxy, maxMemoryBytes, &h)
	}
	if errors.Is(err, fs.ErrNotExist) {
		return h, err
	}
	os.Remove(path)
	if err == nil {
		err = h.Memory.Check()
	}
	if err != nil {
		return Handover{}, err
	}
	if age := time.Since(h.At); age < -maxHandoverAge || age > maxHandoverAge {
		return Handover{}, fmt.Errorf("state: handover was written %v ago, allowed is up to %v before or after now", age, maxHandoverAge)
	}
	return h, nil
}

// Changed reports whether the overrides file was replaced since the last Read, by this Store's own Update too.
func (s *Store) Changed() bool { return s.currentStamp() != s.lastRead }

func (s *Store) currentStamp() fileStamp {
	info, err := os.Stat(s.path)
	if err != nil {
		return fileStamp{}
	}
	inode := uint64(0)
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		inode = sys.Ino
	}
	return fileStamp{inode, info.Size(), info.ModTime()}
}
