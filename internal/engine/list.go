package engine

import (
	"cmp"
	"slices"
	"time"

	"minttray/policy"
)

// UpdateList applies a list from discovery. It may be called from any goroutine.
func (e *Engine) UpdateList(kind policy.ListKind, members []Member) {
	e.queue.put(listEvent, func() {
		start := time.Now()
		e.applyList(kind, members)
		e.Counters.MaxListDuration, e.Counters.ListEntries = max(e.Counters.MaxListDuration, time.Since(start)), len(e.servers)
	})
}

func (e *Engine) applyList(kind policy.ListKind, members []Member) {
	e.Counters.Lists++
	entries := make([]policy.Entry, 0, len(members))
	closed := map[uint32]bool{} // ids of caches whose server until now gets no more pushes: left the list, draining, restarted or moved
	var previous []*server      // servers as they were before the list
	if kind == policy.ListFull || kind == policy.ListCached {
		listed := make(map[uint32]bool, len(members))
		for i := range members {
			listed[members[i].ID] = true
		}
		for id, s := range e.servers { // a cache missing from a full list is gone
			if !listed[id] {
				s.Retire()
				delete(e.servers, id)
				e.noteDeparted(s)
				closed[id], previous = true, append(previous, s)
			}
		}
	}
	for _, m := range e.addresses.update(members, kind == policy.ListFull || kind == policy.ListCached) {
		if m.State != policy.Gone {
			delete(e.departedStarts, m.Name)
		} else if s := e.servers[m.ID]; s != nil {
			e.noteDeparted(s)
		}
		// A cache that was out of service counts as started on its return: it may have been restarted without the list showing it.
		m.Excluded, m.Start = e.cachesOut[m.Name] || e.outWithSite(&m), max(m.Start, e.returnedAt[m.Name])
		entries = append(entries, m.Entry)
		s := e.servers[m.ID]
		if s != nil && (m.State == policy.Gone || s.member.Addr != m.Addr || s.start < m.Start) {
			// Gone, at another address, or a new process (or taken for one on its return to service): a connection to the old one may
			// never answer, and a push written to it would wait in vain. Pushes already in flight end on their own.
			s.Retire()
			delete(e.servers, m.ID)
			previous = append(previous, s)
			s, closed[m.ID] = nil, true
		}
		if s == nil && m.State != policy.Gone {
			e.servers[m.ID] = &server{Server: e.Connect(m), start: m.Start}
		}
		if s = e.servers[m.ID]; s != nil {
			if m.State == policy.Draining && s.member.State != policy.Draining {
				closed[m.ID], previous = true, append(previous, s)
			}
			s.member = m
		}
	}
	e.module.ListArrived(kind, entries)
	// A connection that is established late, or replaces a stale one, would otherwise carry a push or a probe there after the drain's grace period.
	e.withdrawPushes(closed)
	slices.SortFunc(previous, func(x, y *server) int { return cmp.Compare(x.member.ID, y.member.ID) }) // deterministic order
	for _, s := range previous {
		s.abortUnwrittenProbe()
	}
	e.restoreMemory()
}

const maxDeparted = 8 << 10 // limit of remembered caches that left the list

func (e *Engine) noteDeparted(s *server) {
	if len(e.departedStarts) >= maxDeparted {
		clear(e.departedStarts) // bounds the memory; a process with an older list may then take a cache that left for a ready one
	}
	e.departedStarts[s.member.Name] = s.start
}

// restoreMemory passes the learned state to the module as soon as it knows caches, before it learns anything new. A cache id that now
// belongs to another name gets nothing.
func (e *Engine) restoreMemory() {
	if e.Memory == nil || len(e.servers) == 0 {
		return
	}
	memory := *e.Memory
	e.Memory = nil
	for id, learned := range memory.Caches {
		if s := e.servers[id]; s == nil || s.member.Name != learned.Name {
			delete(memory.Caches, id)
		}
	}
	e.module.Recall(memory)
}
