// Package state keeps what operators said in a file that outlives the process and is shared with its successor, and tells
// whether there is one.
package state

import (
	"bytes"
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
	maxOverridesBytes = 1 << 20 // of the file
	maxCachesOut      = 4096    // caches

	maxMemoryBytes = 4 << 20 // of one with what was learned
)

// Overrides is what operators said.
type Overrides struct {
	CachesOut    []string `json:"out"`  // caches, by id
	DrainClients bool     `json:"away"` // clients are sent away

	Sites      map[string]SiteOverride `json:"sites,omitempty"` // by name: the last word on each
	ReturnedAt map[string]time.Time    `json:"back,omitempty"`  // caches that were out, and when they were called back
}

// SiteOverride is what operators said of a whole site: its caches go out, or come back, one after another over a span.
type SiteOverride struct {
	Out  bool          `json:"out"`
	At   time.Time     `json:"at"`
	Over time.Duration `json:"over"` // nanoseconds
}

// MaxSiteDuration is how long a site may take to go or come.
const MaxSiteDuration = time.Hour

// maxSites is how many words on sites are kept.
const maxSites = 64

const returnRetention = 10 * time.Minute // longer than any cache is cold

type envelope struct {
	Version  int             `json:"version"`
	Proxy    string          `json:"proxy"`
	Checksum uint32          `json:"sum"` // of the word's text
	Payload  json.RawMessage `json:"word"`
}

// Store is the file. It belongs to one goroutine at a time.
type Store struct {
	path, proxy string
	lastRead    fileStamp
	roleLocks   map[string]*os.File
}

// fileStamp changes whenever the file is replaced.
type fileStamp struct {
	inode   uint64
	size    int64
	modTime time.Time
}

// Open names the store of one proxy; nothing is written yet. dir is shared by the processes that follow each other.
func Open(dir, proxy, listen string) *Store {
	h := fnv.New64a()
	h.Write([]byte(proxy + "\x00" + listen))
	return &Store{path: filepath.Join(dir, fmt.Sprintf("minttray-%016x", h.Sum64())), proxy: proxy, roleLocks: map[string]*os.File{}}
}

// Read gives the word. None was ever said: the empty word. An error means that what stands there is not to be used.
func (s *Store) Read() (Overrides, error) {
	s.lastRead = s.currentStamp()
	return s.Peek()
}

// Peek gives the word as Read does, and leaves it for Changed to tell of.
func (s *Store) Peek() (Overrides, error) {
	var w Overrides
	if err := readFile(s.path, s.proxy, maxOverridesBytes, &w); errors.Is(err, fs.ErrNotExist) {
		return Overrides{}, nil
	} else if err != nil {
		return Overrides{}, err
	}
	if len(w.CachesOut) > maxCachesOut {
		return Overrides{}, fmt.Errorf("state: word.out: %d caches, at most %d", len(w.CachesOut), maxCachesOut)
	}
	for name, site := range w.Sites {
		if len(w.Sites) > maxSites || site.Over < 0 || site.Over > MaxSiteDuration {
			return Overrides{}, fmt.Errorf("state: word.sites: %d of them, %q over %v", len(w.Sites), name, site.Over)
		}
	}
	return w, nil
}

// readFile reads a file of this proxy strictly, so many bytes at most; with an error, what is in word is not to be used.
func readFile(path, proxy string, most int64, word any) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	text, err := io.ReadAll(io.LimitReader(in, most+1))
	if err != nil {
		return err
	}
	if int64(len(text)) > most {
		return errors.New("state: too long")
	}
	return decode(text, proxy, word)
}

func decode(text []byte, proxy string, word any) error {
	var f envelope
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	switch {
	case f.Version != formatVersion:
		return fmt.Errorf("state: version %d, not %d", f.Version, formatVersion)
	case f.Proxy != proxy:
		return fmt.Errorf("state: of proxy %q", f.Proxy)
	case crc32.ChecksumIEEE(f.Payload) != f.Checksum:
		return errors.New("state: checksum differs")
	}
	strict := json.NewDecoder(bytes.NewReader(f.Payload))
	strict.DisallowUnknownFields()
	if err := strict.Decode(word); err != nil {
		return fmt.Errorf("state: word: %w", err)
	}
	return nil
}

// Update reads the word, has it changed and writes it, all under a lock. What can't be used is replaced.
func (s *Store) Update(do func(*Overrides)) error {
	lock, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return err
	}
	w, _ := s.Read()
	do(&w)
	slices.Sort(w.CachesOut)
	maps.DeleteFunc(w.ReturnedAt, func(_ string, at time.Time) bool { return time.Since(at) > returnRetention })
	maps.DeleteFunc(w.Sites, func(_ string, s SiteOverride) bool { return !s.Out && time.Since(s.At) > s.Over+returnRetention })
	if len(w.Sites) > maxSites {
		return fmt.Errorf("more than %d sites", maxSites)
	}
	if w.CachesOut = slices.Compact(w.CachesOut); len(w.CachesOut) > maxCachesOut {
		return fmt.Errorf("more than %d caches out", maxCachesOut)
	}
	return writeFile(s.path, s.proxy, w)
}

func writeFile(path, proxy string, word any) error {
	body, err := json.Marshal(word)
	if err != nil {
		return err
	}
	text, err := json.Marshal(envelope{formatVersion, proxy, crc32.ChecksumIEEE(body), body})
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o600)
}

// Handover is what one process hands over to the next, once.
type Handover struct {
	At       time.Time         `json:"at"`
	Settings string            `json:"settings"` // that it was learned under, in short
	Memory   warm.LearnedState `json:"memory"`
}

const maxHandoverAge = 2 * time.Second // what is older says little of the present

// WriteHandover writes what is handed over.
func (s *Store) WriteHandover(h Handover) error { return writeFile(s.path+".hand", s.proxy, h) }

// RemoveHandover takes off what was handed over to nobody.
func (s *Store) RemoveHandover() { os.Remove(s.path + ".hand") }

// AwaitHandover waits for what is handed over, and takes it off. Without it the process begins with nothing.
func (s *Store) AwaitHandover(span time.Duration) (h Handover, err error) {
	path := s.path + ".hand"
	err = readFile(path, s.proxy, maxMemoryBytes, &h)
	for late := time.Now().Add(span); errors.Is(err, fs.ErrNotExist) && time.Now().Before(late); {
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
		return Handover{}, fmt.Errorf("state: handed over %v ago", age)
	}
	return h, nil
}

// Changed tells whether the file was replaced since it was last read.
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

// Roles of which at most one process has each.
const (
	RoleActive  = "serves" // has been here the longest
	RoleStandby = "next"   // waits for that
)

// AcquireRole takes a role, until this process lets go of it or dies; false: another has it. Where locks can't be had it is
// nobody's, and each process goes on alone.
func (s *Store) AcquireRole(role string) bool {
	if s.roleLocks[role] != nil {
		return true
	}
	f, err := os.OpenFile(s.path+"."+role, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return true
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); errors.Is(err, syscall.EWOULDBLOCK) {
		f.Close()
		return false
	}
	s.roleLocks[role] = f
	return true
}

// ReleaseRole lets go of a role.
func (s *Store) ReleaseRole(role string) {
	if f := s.roleLocks[role]; f != nil {
		f.Close()
		delete(s.roleLocks, role)
	}
}

// RoleHeldByOther tells whether another process has a role.
func (s *Store) RoleHeldByOther(role string) bool {
	if s.roleLocks[role] != nil {
		return false
	}
	if !s.AcquireRole(role) {
		return true
	}
	s.ReleaseRole(role)
	return false
}
