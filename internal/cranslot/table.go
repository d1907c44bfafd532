package cranslot

import (
	"math/rand/v2"
	"slices"
)

// table is the state machine of one member. It takes events and produces
// messages and notifications. It has no lock and reads no clock: time is a
// number of steps.
type table struct {
	self   string
	random *rand.Rand
	view   View
	step   uint64
	timers timerQueue
	// timerOrder is the order number of the last timer set.
	timerOrder uint64
	// instances holds every instance of the view, and those removed from it
	// that still have a request in progress at this member or a slot with a
	// minEpoch ahead of the view.
	instances map[string]*instanceState
	groups    map[string]*groupState
	// groupNames holds the names of the groups in ascending order.
	groupNames []string
	// serial is the serial number of the last slot handed out.
	serial uint64
	// outbox holds the messages to send, by the member that they are addressed
	// to.
	outbox map[string]*draft
	// freedGroups holds the groups for which a slot became free, without
	// duplicates.
	freedGroups []string
}

// groupState is the state of one group.
type groupState struct {
	// instances holds the group's instances in the order of the view.
	instances []*instanceState
	// waiting is the number of requests queued at this member.
	waiting int
	// asks holds at most one ask of each peer, in the order of arrival.
	asks []peerAsk
	// hints holds the spare slots that peers reported.
	hints map[string]peerHint
	// missingSteps is the number of consecutive steps in which slots were
	// missing.
	missingSteps int
	// credit limits the messages that this member sends for the group.
	credit credit
}

// newTable returns the table of a member without a view.
func newTable(self string) *table {
	return &table{
		self:      self,
		random:    rand.New(rand.NewPCG(1, 1)),
		instances: make(map[string]*instanceState),
		groups:    make(map[string]*groupState),
		outbox:    make(map[string]*draft),
	}
}

// group returns the state of a group and creates it if necessary.
func (t *table) group(name string) *groupState {
	g, ok := t.groups[name]
	if !ok {
		g = &groupState{hints: make(map[string]peerHint), credit: newCredit()}
		t.groups[name] = g
		at, _ := slices.BinarySearch(t.groupNames, name)
		t.groupNames = slices.Insert(t.groupNames, at, name)
	}
	return g
}

// idle returns the number of idle slots at this member on open instances that
// aren't avoided.
func (g *groupState) idle() int {
	n := 0
	for _, in := range g.instances {
		if in.eligible() {
			n += in.idle
		}
	}
	return n
}

// acquire takes an idle slot of the group into use.
func (t *table) acquire(group string, avoid func(string) bool) (Slot, bool) {
	g, ok := t.groups[group]
	if !ok {
		return Slot{}, false
	}
	in := t.pickInstance(g, avoid)
	if in == nil {
		return Slot{}, false
	}
	index := in.idleIndex()
	t.serial++
	g.credit.earn()
	in.setHold(index, holdBusy)
	in.slots[index].serial = t.serial
	return Slot{instance: in.id, index: index, serial: t.serial}, true
}

// pickInstance returns the open instance that has an idle slot and the fewest
// requests in progress from this member. It chooses randomly among equal ones.
func (t *table) pickInstance(g *groupState, avoid func(string) bool) *instanceState {
	var best *instanceState
	equals := 0
	for _, in := range g.instances {
		if !in.open || in.idle == 0 || (best != nil && in.busy > best.busy) {
			continue
		}
		in.avoided = avoid != nil && avoid(in.id)
		if in.avoided {
			continue
		}
		if best == nil || in.busy < best.busy {
			best, equals = in, 1
			continue
		}
		equals++
		if t.random.IntN(equals) == 0 {
			best = in
		}
	}
	return best
}

// idleIndex returns an idle slot of the instance, which must have one. It
// prefers a borrowed slot, since an owned one can still be lent.
func (in *instanceState) idleIndex() int {
	found := -1
	for i := range in.slots {
		if in.slots[i].hold != holdIdle {
			continue
		}
		if in.slots[i].ownership == notOwned {
			return i
		}
		found = i
	}
	return found
}

// release ends the use of a slot.
func (t *table) release(s Slot) {
	in, ok := t.instances[s.instance]
	if !ok || s.index >= len(in.slots) {
		return
	}
	st := &in.slots[s.index]
	if st.hold != holdBusy || st.serial != s.serial {
		return
	}
	if st.current() {
		in.setHold(s.index, holdIdle)
		t.handleIdle(in, s.index)
		return
	}
	in.setHold(s.index, holdNone)
	t.endStaleHold(in, s.index)
	t.dropIfUnused(in)
}

// handleIdle handles a slot that became idle at this member. It notifies of the
// slot if requests wait for it, and then lends slots to peers that asked.
func (t *table) handleIdle(in *instanceState, index int) {
	if in.slots[index].ownership == notOwned {
		t.keepOrReturn(in, index)
	}
	if !in.open {
		return
	}
	if t.group(in.group).waiting > 0 && !slices.Contains(t.freedGroups, in.group) {
		t.freedGroups = append(t.freedGroups, in.group)
	}
	t.lendToAskers(in.group)
}

// dropIfUnused drops an instance that is neither in the view nor in use. It
// keeps an instance with a slot whose minEpoch is ahead of the view, since the
// member has promised not to use that slot under older epochs.
func (t *table) dropIfUnused(in *instanceState) {
	ahead := func(s slotState) bool { return s.minEpoch > t.view.epoch }
	if in.busy == 0 && !in.inView && !slices.ContainsFunc(in.slots, ahead) {
		delete(t.instances, in.id)
	}
}

// takeFreed returns the groups with waiting requests for which a slot became
// free since the last call.
func (t *table) takeFreed() []string {
	freedGroups := t.freedGroups
	t.freedGroups = nil
	return freedGroups
}

// inProgress returns the number of slots of the instance in use at this member.
func (t *table) inProgress(instance string) int {
	if in, ok := t.instances[instance]; ok {
		return in.busy
	}
	return 0
}
