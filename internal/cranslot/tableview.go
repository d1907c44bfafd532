package cranslot

import (
	"maps"
	"slices"
)

// setView applies a view unless one with a higher epoch was applied before.
func (t *table) setView(v View) {
	if v.epoch < t.view.epoch {
		return
	}
	t.view = v
	for _, g := range t.groups {
		g.instances = nil
		g.asks = slices.DeleteFunc(g.asks, func(a peerAsk) bool { return !v.isMember(a.from) })
		maps.DeleteFunc(g.hints, func(peer string, _ peerHint) bool { return !v.isMember(peer) })
	}
	for _, in := range t.instances {
		in.inView = false
	}
	for _, iv := range v.instances {
		t.setInstance(iv)
	}
	for _, id := range slices.Sorted(maps.Keys(t.instances)) {
		if in := t.instances[id]; !in.inView {
			t.setOwners(in, InstanceView{ID: id})
			t.dropIfUnused(in)
		}
	}
	for _, name := range t.groupNames {
		t.lendToAskers(name)
	}
}

// setInstance applies the view of one instance.
func (t *table) setInstance(iv InstanceView) {
	in, ok := t.instances[iv.ID]
	if !ok {
		in = &instanceState{id: iv.ID}
		t.instances[iv.ID] = in
	}
	in.inView = true
	g := t.group(iv.Group)
	g.instances = append(g.instances, in)
	opened := iv.Open && !in.open
	t.setOwners(in, iv)
	if opened && in.idle > 0 && g.waiting > 0 && !slices.Contains(t.freedGroups, in.group) {
		t.freedGroups = append(t.freedGroups, in.group)
	}
}

// setOwners applies the view of an instance to its slots. For an instance that
// isn't in the view, iv has only an ID.
func (t *table) setOwners(in *instanceState, iv InstanceView) {
	in.group, in.open = iv.Group, iv.Open
	for len(in.slots) < len(iv.Owners) {
		in.slots = append(in.slots, slotState{})
	}
	for i := range in.slots {
		var owner Owner
		if i < len(iv.Owners) {
			owner = iv.Owners[i]
		}
		t.setOwner(in, i, owner, iv.FirstEpoch)
		if !in.open && in.slots[i].borrowedIdle() {
			t.returnSlot(in, i)
		}
	}
}

// setOwner applies the owner of a slot from a view. If the owner or the epoch
// changes, loans, queries and an idle hold under the old epoch end; a request
// in progress here goes on.
func (t *table) setOwner(in *instanceState, index int, owner Owner, firstEpoch uint64) {
	s := &in.slots[index]
	owned := owner.Entry == t.self && t.view.isMember(t.self) && owner.Epoch >= s.minEpoch
	if owner == s.owner && owned == (s.ownership != notOwned) && t.view.isMember(t.self) {
		t.dropRemovedMembers(in, index)
		return
	}
	if owner != s.owner {
		s.owner, s.loanID = owner, 0
	}
	s.borrower, s.unanswered, s.retries = "", nil, 0
	if owner.Epoch > s.minEpoch {
		s.minEpoch, s.querier = owner.Epoch, ""
	}
	in.setOwnership(index, notOwned)
	if s.hold == holdIdle {
		in.setHold(index, holdNone)
	}
	if owned {
		t.beginOwnership(in, index, firstEpoch != 0 && owner.Epoch == firstEpoch)
	}
}

// dropRemovedMembers applies a change of members to a slot that keeps its
// owner. A slot lent to a removed member is reclaimed, and an answer of a
// removed member is no longer awaited.
func (t *table) dropRemovedMembers(in *instanceState, index int) {
	s := &in.slots[index]
	removed := func(member string) bool { return !t.view.isMember(member) }
	switch s.ownership {
	case ownedLent:
		if removed(s.borrower) {
			t.reclaim(in, index)
		}
	case ownedRecovering:
		s.unanswered = slices.DeleteFunc(s.unanswered, removed)
		t.finishRecovery(in, index)
	}
}
