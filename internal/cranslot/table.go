package cranslot

import (
	"math/rand/v2"
	"slices"
)

// table is the pure state machine of one member: events in, messages and
// notices out. It has no lock and reads no clock; time is a number of steps.
type table struct {
	self   string
	random *rand.Rand
	view   View
	step   uint64
	timers timerQueue
	// order is that of the last timer set.
	order uint64
	// instances holds every instance of the view, and those no longer in it
	// that still have a request in progress here.
	instances map[string]*instanceState
	groups    map[string]*groupState
	// names are the names of the groups in ascending order.
	names []string
	// serial is that of the last slot handed out.
	serial uint64
	outbox map[string]*draft
	// freed are the groups to notify of, each at most once.
	freed []string
}

// groupState is what the table knows of one group.
type groupState struct {
	// instances are those of the view in the group, in the view's order.
	instances []*instanceState
	// waiting is the number of requests queued here.
	waiting int
	// asks are those of peers, the first to serve first, at most one each.
	asks []peerAsk
	// hints are what peers told of their slots.
	hints map[string]peerHint
	// shortSteps is the number of steps for which slots have been missing.
	shortSteps int
	credit     credit
}

func newTable(self string) *table {
	return &table{
		self:      self,
		random:    rand.New(rand.NewPCG(1, 1)),
		instances: make(map[string]*instanceState),
		groups:    make(map[string]*groupState),
		outbox:    make(map[string]*draft),
	}
}

// group returns the state of a group, made on first mention.
func (t *table) group(name string) *groupState {
	g, ok := t.groups[name]
	if !ok {
		g = &groupState{hints: make(map[string]peerHint), credit: newCredit()}
		t.groups[name] = g
		at, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, at, name)
	}
	return g
}

// idle returns the number of slots that may be used here and aren't, of open
// instances that aren't avoided.
func (g *groupState) idle() int {
	n := 0
	for _, in := range g.instances {
		if in.useful() {
			n += in.idle
		}
	}
	return n
}

func (t *table) acquire(group string, avoid func(string) bool) (Slot, bool) {
	g, ok := t.groups[group]
	if !ok {
		return Slot{}, false
	}
	in := t.pick(g, avoid)
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

// pick returns the open instance with an idle slot and the fewest requests in
// progress here, a random one of those that are equal.
func (t *table) pick(g *groupState, avoid func(string) bool) *instanceState {
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
// prefers a borrowed one, since an own one can be lent meanwhile.
func (in *instanceState) idleIndex() int {
	found := -1
	for i := range in.slots {
		if in.slots[i].hold != holdIdle {
			continue
		}
		if in.slots[i].ledger == ledgerNone {
			return i
		}
		found = i
	}
	return found
}

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
		t.idled(in, s.index)
		return
	}
	in.setHold(s.index, holdNone)
	t.letGo(in, s.index)
	t.forget(in)
}

// idled acts on a slot that became idle here: waiting requests come first,
// then the peers that asked.
func (t *table) idled(in *instanceState, index int) {
	if in.slots[index].ledger == ledgerNone {
		t.keepWhile(in, index)
	}
	if !in.open {
		return
	}
	if t.group(in.group).waiting > 0 && !slices.Contains(t.freed, in.group) {
		t.freed = append(t.freed, in.group)
	}
	t.serve(in.group)
}

// forget drops an instance that is neither in the view nor in use. One about
// which something was promised for an epoch that the view hasn't reached is
// kept.
func (t *table) forget(in *instanceState) {
	ahead := func(s slotState) bool { return s.floor > t.view.epoch }
	if in.busy == 0 && !in.listed && !slices.ContainsFunc(in.slots, ahead) {
		delete(t.instances, in.id)
	}
}

// takeFreed returns the groups with requests waiting for which a slot became
// free since the last call.
func (t *table) takeFreed() []string {
	freed := t.freed
	t.freed = nil
	return freed
}

func (t *table) inProgress(instance string) int {
	if in, ok := t.instances[instance]; ok {
		return in.busy
	}
	return 0
}
