package engine

import (
	"testing"

	"minttray/policy"
)

// at returns a cache with an address and a start time of its own.
func at(id uint32, addr string, start policy.Time, state policy.State) Member {
	m := member(id, state)
	m.Addr, m.Start = addr, start
	return m
}

// A process that comes up at the address of one that has gone must not be taken for it: from the list on that tells of the new one,
// nothing is sent there for the old one, whatever the list still says of that.
func TestANewProcessAtAnOldAddressIsNotTakenForTheOldOne(t *testing.T) {
	for name, lists := range map[string][][]Member{
		"told as a change": {{at(5, "cache1", 100, policy.Ready)}},
		"told in a whole list that still has the old one": {{at(1, "cache1", 0, policy.Ready), at(5, "cache1", 100, policy.Ready), member(9, policy.Ready)}},
		"the other way round":                             {{at(5, "cache1", 100, policy.Ready), at(1, "cache1", 0, policy.Ready), member(9, policy.Ready)}},
		"the old one told again":                          {{at(5, "cache1", 100, policy.Ready)}, {at(1, "cache1", 0, policy.Ready)}},
	} {
		t.Run(name, func(t *testing.T) {
			e, s := startEngine(t, nil)
			for i, list := range lists {
				kind := policy.ListDelta
				if i == 0 && len(list) > 1 {
					kind = policy.ListFull
				}
				e.UpdateList(kind, list)
			}
			s.await(0, "retire cache1")
			done := make(chan struct{})
			e.Do(func(e *Engine) {
				defer close(done)
				if e.servers[1] != nil || e.servers[5] == nil || e.servers[5].member.Addr != "cache1" {
					t.Errorf("servers: %v", e.servers)
				}
			})
			<-done
		})
	}
}

// Servers that share an address without a later start are left as they are, and an address is free again once its server has gone.
func TestAnAddressBelongsToTheServerThatStartedLast(t *testing.T) {
	var owners addressOwners
	states := func(members []Member, whole bool) (states []policy.State) {
		for _, m := range owners.update(members, whole) {
			states = append(states, m.State)
		}
		return states
	}
	if got := states([]Member{at(1, "a", 0, policy.Ready), at(2, "a", 0, policy.Ready)}, true); len(got) != 2 || got[0] != policy.Ready || got[1] != policy.Ready {
		t.Errorf("equal starts: %v", got)
	}
	states([]Member{at(1, "a", 0, policy.Gone)}, false)
	if got := states([]Member{at(3, "a", 0, policy.Draining)}, false); len(got) != 1 || got[0] != policy.Draining {
		t.Errorf("a free address: %v", got)
	}
}

// A server that has moved must not be taken for gone when another one comes up at its old address, nor servers that change places.
func TestAServerThatMovedIsNotReplacedAtItsOldAddress(t *testing.T) {
	var owners addressOwners
	owners.update([]Member{at(1, "a", 10, policy.Ready), at(2, "b", 20, policy.Ready)}, true)
	for _, changes := range [][]Member{
		{at(1, "c", 10, policy.Ready)},                               // moves
		{at(3, "a", 30, policy.Ready)},                               // comes up where it was
		{at(1, "b", 10, policy.Ready), at(2, "c", 20, policy.Ready)}, // change places
	} {
		for _, m := range owners.update(changes, false) {
			if m.State == policy.Gone {
				t.Errorf("%+v: server %d is taken for gone", changes, m.ID)
			}
		}
	}
}
