package cranslot

import (
	"maps"
	"slices"
)

// setView applies a view unless a later one was applied before.
func (t *table) setView(v View) {
	if v.epoch < t.view.epoch {
		return
	}
	t.view = v
	for _, g := range t.groups {
		g.instances = nil
		g.asks = slices.DeleteFunc(g.asks, func(a peerAsk) bool { return !v.has(a.from) })
		maps.DeleteFunc(g.hints, func(peer string, _ peerHint) bool { return !v.has(peer) })
	}
	for _, in := range t.instances {
		in.listed = false
	}
	for _, iv := range v.instances {
		t.setInstance(iv)
	}
	for _, id := range slices.Sorted(maps.Keys(t.instances)) {
		if in := t.instances[id]; !in.listed {
			t.setHomes(in, InstanceView{ID: id})
			t.forget(in)
		}
	}
	for _, name := range t.names {
		t.serve(name)
	}
}

// setInstance applies what the view says about one of its instances.
func (t *table) setInstance(iv InstanceView) {
	in, ok := t.instances[iv.ID]
	if !ok {
		in = &instanceState{id: iv.ID}
		t.instances[iv.ID] = in
	}
	in.listed = true
	g := t.group(iv.Group)
	g.instances = append(g.instances, in)
	opened := iv.Open && !in.open
	t.setHomes(in, iv)
	if opened && in.idle > 0 && g.waiting > 0 && !slices.Contains(t.freed, in.group) {
		t.freed = append(t.freed, in.group)
	}
}

// setHomes applies what a view says about an instance, which is nothing but
// its ID if it isn't in the view.
func (t *table) setHomes(in *instanceState, iv InstanceView) {
	in.group, in.open = iv.Group, iv.Open
	for len(in.slots) < len(iv.Owners) {
		in.slots = append(in.slots, slotState{})
	}
	for i := range in.slots {
		var home Owner
		if i < len(iv.Owners) {
			home = iv.Owners[i]
		}
		t.setHome(in, i, home, iv.FirstEpoch)
		if !in.open && in.slots[i].borrowedIdle() {
			t.giveBack(in, i)
		}
	}
}

// setHome applies what a view says about a slot. Whatever was agreed under an
// older epoch is void, but for a request in progress here.
func (t *table) setHome(in *instanceState, index int, home Owner, since uint64) {
	s := &in.slots[index]
	mine := home.Entry == t.self && t.view.has(t.self) && home.Epoch >= s.floor
	if home == s.home && mine == (s.ledger != ledgerNone) && t.view.has(t.self) {
		t.dropGone(in, index)
		return
	}
	if home != s.home {
		s.home, s.loan = home, 0
	}
	s.borrower, s.pending, s.repeats = "", nil, 0
	if home.Epoch > s.floor {
		s.floor, s.querier = home.Epoch, ""
	}
	in.setLedger(index, ledgerNone)
	if s.hold == holdIdle {
		in.setHold(index, holdNone)
	}
	if mine {
		t.begin(in, index, since != 0 && home.Epoch == since)
	}
}

// dropGone applies a change of members to a slot whose home stays: a slot
// lent to a member that is gone falls back, and its answer isn't waited for.
func (t *table) dropGone(in *instanceState, index int) {
	s := &in.slots[index]
	gone := func(member string) bool { return !t.view.has(member) }
	switch s.ledger {
	case ledgerLent:
		if gone(s.borrower) {
			t.takeBack(in, index)
		}
	case ledgerRecovering:
		s.pending = slices.DeleteFunc(s.pending, gone)
		t.finishRecovery(in, index)
	}
}
