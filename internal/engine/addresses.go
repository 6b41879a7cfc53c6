package engine

import "minttray/policy"

// addressOwners tells which listed server an address belongs to. Where a process has come up at the address of one that has gone, both may
// be listed for a while, under two ids: requests meant for the old one would reach the new one. Its zero value knows no server.
type addressOwners struct {
	owners    map[string]Member // by address
	addresses map[uint32]string // of each owner, by id
}

// update records the servers of a list, and returns the list with each server marked as gone whose address belongs to one that started
// later, among them servers that were listed before. whole tells that the list is complete.
func (o *addressOwners) update(members []Member, whole bool) []Member {
	if whole || o.owners == nil {
		o.owners, o.addresses = make(map[string]Member, len(members)), make(map[uint32]string, len(members))
	}
	for _, m := range members { // all before any is claimed: servers may change places
		o.giveUp(m.ID)
	}
	var replaced []Member
	for _, m := range members {
		if m.State != policy.Gone && m.Addr != "" {
			replaced = append(replaced, o.claim(m)...)
		}
	}
	marked := make([]Member, 0, len(replaced)+len(members))
	for _, m := range members {
		if owner, owned := o.owners[m.Addr]; owned && m.State != policy.Gone && owner.ID != m.ID && owner.Start > m.Start {
			m.State = policy.Gone
		}
		marked = append(marked, m)
	}
	return append(replaced, marked...)
}

// giveUp frees the address of a server that has gone, or whose present address is told anew.
func (o *addressOwners) giveUp(id uint32) {
	if address, owns := o.addresses[id]; owns {
		delete(o.owners, address)
		delete(o.addresses, id)
	}
}

// claim makes a server the owner of its address unless one that started at the same time or later is. It returns the owner that was
// replaced, marked as gone, if there was one.
func (o *addressOwners) claim(m Member) (replaced []Member) {
	if owner, owned := o.owners[m.Addr]; owned {
		if m.Start <= owner.Start {
			return nil
		}
		o.giveUp(owner.ID)
		owner.State = policy.Gone
		replaced = []Member{owner}
	}
	o.owners[m.Addr], o.addresses[m.ID] = m, m.Addr
	return replaced
}
