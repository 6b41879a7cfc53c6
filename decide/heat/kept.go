package heat

// RecentKeys remembers keys that were answered lately, and so are likely kept, for one turn to two. The zero value knows none.
type RecentKeys struct{ now, before map[uint64]bool }

// Contains tells whether a key is known.
func (k *RecentKeys) Contains(key uint64) bool { return k.now[key] || k.before[key] }

// Add books a key, and tells whether it is new in this turn.
func (k *RecentKeys) Add(key uint64) bool {
	if k.now[key] {
		return false
	}
	if k.now == nil {
		k.now = map[uint64]bool{}
	}
	k.now[key] = true
	return true
}

// Rotate lets one turn pass.
func (k *RecentKeys) Rotate() { k.now, k.before = nil, k.now }

// Current gives keys of this turn, so many at most. Danger: those of the turn before would be known for a turn longer by who
// recalls them, and again by the next; of caches that have come back cold since they tell nothing, and all is fetched at once.
func (k *RecentKeys) Current(most int) (keys []uint64) {
	for key := range k.now {
		if len(keys) == most {
			break
		}
		keys = append(keys, key)
	}
	return keys
}

// Restore takes keys that another process knew: known until the turn ends, and worth telling again.
func (k *RecentKeys) Restore(keys []uint64) {
	if k.before == nil {
		k.before = make(map[uint64]bool, len(keys))
	}
	for _, key := range keys {
		k.before[key] = true
	}
}
