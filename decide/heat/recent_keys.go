package heat

// RecentKeys remembers keys that were answered lately, and so are probably still cached, for one to two periods. The
// zero value is empty.
type RecentKeys struct {
	current  map[uint64]bool // keys of the current period
	previous map[uint64]bool // keys of the period before
}

// Contains reports whether a key is remembered.
func (k *RecentKeys) Contains(key uint64) bool { return k.current[key] || k.previous[key] }

// Add remembers a key and reports whether it is new in the current period.
func (k *RecentKeys) Add(key uint64) bool {
	if k.current[key] {
		return false
	}
	if k.current == nil {
		k.current = map[uint64]bool{}
	}
	k.current[key] = true
	return true
}

// Rotate starts a new period and forgets the keys of the one before the current.
func (k *RecentKeys) Rotate() { k.current, k.previous = nil, k.current }

// Current returns up to limit keys of the current period. It leaves out those of the previous period: a process that
// restores them would remember them for one period more, and the next one for another. Caches that have restarted cold
// since would then count as holding them, and all of these keys would be fetched at once.
func (k *RecentKeys) Current(limit int) (keys []uint64) {
	for key := range k.current {
		if len(keys) == limit {
			break
		}
		keys = append(keys, key)
	}
	return keys
}

// Restore takes over keys that another process remembered. They count as keys of the previous period: they are
// forgotten at the next Rotate, and Add treats them as new.
func (k *RecentKeys) Restore(keys []uint64) {
	if k.previous == nil {
		k.previous = make(map[uint64]bool, len(keys))
	}
	for _, key := range keys {
		k.previous[key] = true
	}
}
