// Package claims provides a table of request ids in a file that two processes of one proxy map while both serve, so that each sees at once
// which ids the other has taken. A claim ends by itself after a time, so a process that is killed after a claim leaves nothing to clean up.
package claims

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/dchest/siphash"
	"golang.org/x/sys/unix"
)

const (
	slotCount  = 1 << 19 // room for 65,536 ids of each process, which is all that it remembers
	windowSize = 16      // slots that an id may be in
	slotBytes  = 8
	headerSize = 4096 // bytes ahead of the slots
	fileSize   = headerSize + slotCount*slotBytes

	formatVersion = 1
)

var magic = [8]byte{'m', 't', 'c', 'l', 'a', 'i', 'm', 's'}

// header is the start of the file. The slots follow at headerSize.
type header struct {
	Magic    [8]byte
	Version  uint32
	Slots    uint32
	Proxy    [sha256.Size]byte // digest of the proxy's name
	Key      Key
	Checksum uint32 // CRC-32 of all before it
}

// Key is the secret by which ids are hashed. Clients choose ids: without a secret they could choose some that collide with those of others.
type Key [16]byte

// NewKey returns a random key.
func NewKey() (k Key) {
	rand.Read(k[:])
	return k
}

// Hash returns the hash of an id.
func (k *Key) Hash(id string) uint64 {
	return siphash.Hash(binary.LittleEndian.Uint64(k[:8]), binary.LittleEndian.Uint64(k[8:]), unsafe.Slice(unsafe.StringData(id), len(id)))
}

// Result is the result of a claim.
type Result uint8

const (
	Claimed Result = iota // the id is the caller's from now on
	Taken                 // it was claimed before, and that claim has not ended
	Full                  // there is no room to tell
)

// Table is a mapped table. Its methods may be called by any goroutine of any process that maps the file, but not after Close.
type Table struct {
	key     Key
	mapping []byte
	slots   []atomic.Uint64
}

// Create writes an empty table to path, replacing any file there, and maps it. It does not wait for the disk: the table is of no use
// after a restart of the machine.
func Create(path, proxy string, key Key) (*Table, error) {
	data := make([]byte, fileSize) // written whole: a hole in the file could not be filled later on a disk without room
	if _, err := binary.Encode(data, binary.LittleEndian, newHeader(proxy, key)); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	temporary := path + ".new"
	os.Remove(temporary) // left behind by a process that was killed
	if err := writeNew(temporary, data); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	return Open(path, proxy)
}

// writeNew writes a file that must not exist yet.
func writeNew(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	return errors.Join(err, file.Close())
}

// Open maps the table at path. It returns an error if the file is no table of this format and this proxy.
func Open(path, proxy string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	if info.Size() != fileSize || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("claims: %s is no regular file of %d bytes", path, fileSize)
	}
	mapping, err := unix.Mmap(int(file.Fd()), 0, fileSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("claims: %w", err)
	}
	key, err := checkHeader(mapping, proxy)
	if err != nil {
		unix.Munmap(mapping)
		return nil, err
	}
	slots := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&mapping[headerSize])), slotCount)
	return &Table{key: key, mapping: mapping, slots: slots}, nil
}

func newHeader(proxy string, key Key) header {
	h := header{Magic: magic, Version: formatVersion, Slots: slotCount, Proxy: sha256.Sum256([]byte(proxy)), Key: key}
	h.Checksum = h.checksum()
	return h
}

func (h header) checksum() uint32 {
	h.Checksum = 0
	text, _ := binary.Append(nil, binary.LittleEndian, h)
	return crc32.ChecksumIEEE(text)
}

// checkHeader returns the key of a table of this format and this proxy.
func checkHeader(mapping []byte, proxy string) (Key, error) {
	var h header
	if _, err := binary.Decode(mapping, binary.LittleEndian, &h); err != nil {
		return Key{}, fmt.Errorf("claims: %w", err)
	}
	switch {
	case h.Magic != magic || h.Checksum != h.checksum():
		return Key{}, errors.New("claims: no table, or a damaged one")
	case h.Version != formatVersion || h.Slots != slotCount:
		return Key{}, fmt.Errorf("claims: format version %d with %d slots, expected %d with %d", h.Version, h.Slots, formatVersion, slotCount)
	case h.Proxy != sha256.Sum256([]byte(proxy)):
		return Key{}, errors.New("claims: table of another proxy")
	}
	return h.Key, nil
}

// Key returns the key by which the processes that share the table hash ids.
func (t *Table) Key() Key { return t.key }

// Close unmaps the table.
func (t *Table) Close() error { return unix.Munmap(t.mapping) }

// Claim claims the id with the given hash from a time on, for a duration. Of two processes that claim an id at the same instant none may
// get it, but never both.
func (t *Table) Claim(hash uint64, at time.Time, duration time.Duration) Result {
	now, entry := tickOf(at), newEntry(hash, at, duration)
	window := t.window(hash)
	for {
		free, taken := -1, false
		for i := range window {
			switch other := claimEntry(window[i].Load()); {
			case !other.holds(now):
				if free < 0 {
					free = i
				}
			case other.sameID(entry):
				taken = true
			}
		}
		if taken {
			return Taken
		}
		if free < 0 {
			return Full
		}
		if old := window[free].Load(); claimEntry(old).holds(now) || !window[free].CompareAndSwap(old, uint64(entry)) {
			continue // another claim has got the slot, perhaps for the same id
		}
		return t.confirm(window, free, entry, now)
	}
}

// confirm looks for a claim of the same id that was entered in another slot of the window at the same instant. Each of two claims is
// entered before its look, so at least one sees the other, and withdraws.
func (t *Table) confirm(window []atomic.Uint64, own int, entry claimEntry, now tick) Result {
	for i := range window {
		if other := claimEntry(window[i].Load()); i != own && other.sameID(entry) && other.holds(now) {
			window[own].CompareAndSwap(uint64(entry), 0)
			return Taken
		}
	}
	return Claimed
}

// CopyFrom enters all claims of another table with the same key that hold at a time.
func (t *Table) CopyFrom(other *Table, at time.Time) {
	now := tickOf(at)
	for i := range other.slots {
		entry := claimEntry(other.slots[i].Load())
		if !entry.holds(now) {
			continue
		}
		window := t.slots[i-i%windowSize:][:windowSize] // the same hash has the same window
		for j := range window {
			if old := window[j].Load(); !claimEntry(old).holds(now) && window[j].CompareAndSwap(old, uint64(entry)) {
				break
			}
		}
	}
}

// window returns the slots that an id may be in.
func (t *Table) window(hash uint64) []atomic.Uint64 {
	first := int(hash%slotCount) &^ (windowSize - 1)
	return t.slots[first : first+windowSize]
}
