package engine

import "minttray/policy"

// addressOwners tells which listed server an address belongs to. Where a process has come up at the address of one that has gone, both may
// be listed for a while, under two ids: requests meant for the old one would reach the new one.
type addressOwners map[string]Member

// update records the servers of a list, and returns the list with each server marked as gone whose address belongs to one that started
// later, among them servers that were listed before. whole tells that the list is complete.
func (o *addressOwners) update(members []Member, whole bool) []Member {
	if whole || *o == nil {
		*o = make(addressOwners, len(members))
	}
	var replaced []Member
	for _, m := range members {
		owner, owned := (*o)[m.Addr]
		switch {
		case m.Addr == "":
		case m.State == policy.Gone:
			if owned && owner.ID == m.ID {
				delete(*o, m.Addr)
			}
		case !owned || owner.ID == m.ID || m.Start > owner.Start:
			if (*o)[m.Addr] = m; owned && owner.ID != m.ID {
				owner.State = policy.Gone
				replaced = append(replaced, owner)
			}
		}
	}
	marked := make([]Member, 0, len(members)+len(replaced))
	for _, m := range members {
		if owner := (*o)[m.Addr]; m.State != policy.Gone && owner.ID != m.ID && owner.Start > m.Start {
			m.State = policy.Gone
		}
		marked = append(marked, m)
	}
	return append(replaced, marked...)
}
