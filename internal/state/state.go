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
	version = 1
	longest = 1 << 20 // of the file
	mostOut = 4096    // caches

	longestMemory = 4 << 20 // of one with what was learned
)

// Overrides is what operators said.
type Overrides struct {
	CachesOut  []string `json:"out"`  // caches, by id
	DrainClients bool     `json:"away"` // clients are sent away

	Sites map[string]SiteOverride      `json:"sites,omitempty"` // by name: the last word on each
	ReturnedAt  map[string]time.Time `json:"back,omitempty"`  // caches that were out, and when they were called back
}

// SiteOverride is what operators said of a whole site: its caches go out, or come back, one after another over a span.
type SiteOverride struct {
	Out  bool          `json:"out"`
	At   time.Time     `json:"at"`
	Over time.Duration `json:"over"` // nanoseconds
}

// MaxSiteDuration is how long a site may take to go or come.
const MaxSiteDuration = time.Hour

// mostSites is how many words on sites are kept.
const mostSites = 64

const backFor = 10 * time.Minute // longer than any cache is cold

type file struct {
	Version int             `json:"version"`
	Proxy   string          `json:"proxy"`
	Sum     uint32          `json:"sum"` // of the word's text
	Word    json.RawMessage `json:"word"`
}

// Store is the file. It belongs to one goroutine at a time.
type Store struct {
	path, proxy string
	seen        stamp
	locks       map[string]*os.File
}

// stamp changes whenever the file is replaced.
type stamp struct {
	inode uint64
	size  int64
	at    time.Time
}

// Open names the store of one proxy; nothing is written yet. dir is shared by the processes that follow each other.
func Open(dir, proxy, listen string) *Store {
	h := fnv.New64a()
	h.Write([]byte(proxy + "\x00" + listen))
	return &Store{path: filepath.Join(dir, fmt.Sprintf("minttray-%016x", h.Sum64())), proxy: proxy, locks: map[string]*os.File{}}
}

// Read gives the word. None was ever said: the empty word. An error means that what stands there is not to be used.
func (s *Store) Read() (Overrides, error) {
	s.seen = s.stamp()
	return s.Peek()
}

// Peek gives the word as Read does, and leaves it for Changed to tell of.
func (s *Store) Peek() (Overrides, error) {
	var w Overrides
	if err := read(s.path, s.proxy, longest, &w); errors.Is(err, fs.ErrNotExist) {
		return Overrides{}, nil
	} else if err != nil {
		return Overrides{}, err
	}
	if len(w.CachesOut) > mostOut {
		return Overrides{}, fmt.Errorf("state: word.out: %d caches, at most %d", len(w.CachesOut), mostOut)
	}
	for name, site := range w.Sites {
		if len(w.Sites) > mostSites || site.Over < 0 || site.Over > MaxSiteDuration {
			return Overrides{}, fmt.Errorf("state: word.sites: %d of them, %q over %v", len(w.Sites), name, site.Over)
		}
	}
	return w, nil
}

// read reads a file of this proxy strictly, so many bytes at most; with an error, what is in word is not to be used.
func read(path, proxy string, most int64, word any) error {
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
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	switch {
	case f.Version != version:
		return fmt.Errorf("state: version %d, not %d", f.Version, version)
	case f.Proxy != proxy:
		return fmt.Errorf("state: of proxy %q", f.Proxy)
	case crc32.ChecksumIEEE(f.Word) != f.Sum:
		return errors.New("state: checksum differs")
	}
	strict := json.NewDecoder(bytes.NewReader(f.Word))
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
	maps.DeleteFunc(w.ReturnedAt, func(_ string, at time.Time) bool { return time.Since(at) > backFor })
	maps.DeleteFunc(w.Sites, func(_ string, s SiteOverride) bool { return !s.Out && time.Since(s.At) > s.Over+backFor })
	if len(w.Sites) > mostSites {
		return fmt.Errorf("more than %d sites", mostSites)
	}
	if w.CachesOut = slices.Compact(w.CachesOut); len(w.CachesOut) > mostOut {
		return fmt.Errorf("more than %d caches out", mostOut)
	}
	return write(s.path, s.proxy, w)
}

func write(path, proxy string, word any) error {
	body, err := json.Marshal(word)
	if err != nil {
		return err
	}
	text, err := json.Marshal(file{version, proxy, crc32.ChecksumIEEE(body), body})
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, text, 0o600)
}

// Handover is what one process hands over to the next, once.
type Handover struct {
	At       time.Time   `json:"at"`
	Settings string      `json:"settings"` // that it was learned under, in short
	Memory   warm.LearnedState `json:"memory"`
}

const fresh = 2 * time.Second // what is older says little of the present

// WriteHandover writes what is handed over.
func (s *Store) WriteHandover(h Handover) error { return write(s.path+".hand", s.proxy, h) }

// RemoveHandover takes off what was handed over to nobody.
func (s *Store) RemoveHandover() { os.Remove(s.path + ".hand") }

// AwaitHandover waits for what is handed over, and takes it off. Without it the process begins with nothing.
func (s *Store) AwaitHandover(span time.Duration) (h Handover, err error) {
	path := s.path + ".hand"
	err = read(path, s.proxy, longestMemory, &h)
	for late := time.Now().Add(span); errors.Is(err, fs.ErrNotExist) && time.Now().Before(late); {
		time.Sleep(5 * time.Millisecond)
		err = read(path, s.proxy, longestMemory, &h)
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
	if age := time.Since(h.At); age < -fresh || age > fresh {
		return Handover{}, fmt.Errorf("state: handed over %v ago", age)
	}
	return h, nil
}

// Changed tells whether the file was replaced since it was last read.
func (s *Store) Changed() bool { return s.stamp() != s.seen }

func (s *Store) stamp() stamp {
	info, err := os.Stat(s.path)
	if err != nil {
		return stamp{}
	}
	inode := uint64(0)
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		inode = sys.Ino
	}
	return stamp{inode, info.Size(), info.ModTime()}
}

// Roles of which at most one process has each.
const (
	RoleActive = "serves" // has been here the longest
	RoleStandby   = "next"   // waits for that
)

// AcquireRole takes a role, until this process lets go of it or dies; false: another has it. Where locks can't be had it is
// nobody's, and each process goes on alone.
func (s *Store) AcquireRole(role string) bool {
	if s.locks[role] != nil {
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
	s.locks[role] = f
	return true
}

// ReleaseRole lets go of a role.
func (s *Store) ReleaseRole(role string) {
	if f := s.locks[role]; f != nil {
		f.Close()
		delete(s.locks, role)
	}
}

// RoleHeldByOther tells whether another process has a role.
func (s *Store) RoleHeldByOther(role string) bool {
	if s.locks[role] != nil {
		return false
	}
	if !s.AcquireRole(role) {
		return true
	}
	s.ReleaseRole(role)
	return false
}
