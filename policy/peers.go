package policy

import (
	"encoding/binary"
	"math"
)

// PeerMessageReceived takes a message of 8-byte numbers: keys stored in the caches, since a new proxy would expect a
// fetch for most keys, and ids of failing caches.
func (b *Balancer) PeerMessageReceived(message []byte) {
	for ; len(message) >= 8; message = message[8:] {
		key := binary.LittleEndian.Uint64(message) // up to 32 bits: a cache's id
		if c := b.caches.Get(uint32(key)); c != nil && key <= math.MaxUint32 {
			c.peerSuspicion += (1 - c.peerSuspicion) / 4
		} else if b.originFetches != nil && key > math.MaxUint32 {
			b.keptKeys.Add(key)
		}
	}
}
