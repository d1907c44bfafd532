package cranslot

import (
	"math/rand/v2"
	"time"
)

// table is the pure state machine of one member: events in, messages and
// notices out. It has no lock and reads no clock.
type table struct {
	self   string
	random *rand.Rand
	view   View
	// instances holds every instance of the view, and those no longer in it
	// that still have a request in progress here.
	instances map[string]*instanceState
	groups    map[string]*groupState
	// serial is that of the last slot handed out.
	serial uint64
	freed  []string
}

// groupState is what the table knows of one group.
type groupState struct {
	// instances are those of the view in the group, in the view's order.
	instances []*instanceState
	// waiting is the number of requests queued here.
	waiting int
}

// instanceState is what the table knows of one instance.
type instanceState struct {
	id    string
	group string
	open  bool
	// busy is the number of slots in use here.
	busy int
	// idle is the number of slots that may be used here and aren't.
	idle  int
	slots []slotState
}

// slotState is what the table knows of one slot.
type slotState struct {
	home Home
	hold holdState
	// serial is that of the last Slot handed out for it.
	serial uint64
}

// holdState says what a slot is to this member.
type holdState uint8

const (
	// holdNone: the slot may not be used here.
	holdNone holdState = iota
	// holdIdle: the slot may be used here and isn't.
	holdIdle
	// holdBusy: a request is in progress on the slot from here.
	holdBusy
)

func newTable(self string) *table {
	return &table{
		self:      self,
		random:    rand.New(rand.NewPCG(1, 1)),
		instances: make(map[string]*instanceState),
		groups:    make(map[string]*groupState),
	}
}

// group returns the state of a group, made on first mention.
func (t *table) group(name string) *groupState {
	g, ok := t.groups[name]
	if !ok {
		g = &groupState{}
		t.groups[name] = g
	}
	return g
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
	for i := range in.slots {
		if in.slots[i].hold == holdIdle {
			return t.use(in, i), true
		}
	}
	return Slot{}, false
}

// pick returns the instance with an idle slot and the fewest requests in
// progress here, a random one of those that are equal.
func (t *table) pick(g *groupState, avoid func(string) bool) *instanceState {
	var best *instanceState
	equals := 0
	for _, in := range g.instances {
		if !in.open || in.idle == 0 || (best != nil && in.busy > best.busy) {
			continue
		}
		if avoid != nil && avoid(in.id) {
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

// use marks an idle slot as in use.
func (t *table) use(in *instanceState, index int) Slot {
	t.serial++
	s := &in.slots[index]
	s.hold = holdBusy
	s.serial = t.serial
	in.idle--
	in.busy++
	return Slot{instance: in.id, index: index, serial: t.serial}
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
	st.hold = holdNone
	in.busy--
	t.settle(in, s.index)
	t.forget(in)
}

// settle makes a slot that isn't in use idle if this member is its home.
func (t *table) settle(in *instanceState, index int) {
	st := &in.slots[index]
	mine := st.home.Entry == t.self && t.view.has(t.self)
	switch {
	case mine && st.hold == holdNone:
		st.hold = holdIdle
		in.idle++
		t.free(in)
	case !mine && st.hold == holdIdle:
		st.hold = holdNone
		in.idle--
	}
}

// free notes that an idle slot is there for waiting requests.
func (t *table) free(in *instanceState) {
	if in.open && t.group(in.group).waiting > 0 {
		t.freed = append(t.freed, in.group)
	}
}

// forget drops an instance that is neither in the view nor in use.
func (t *table) forget(in *instanceState) {
	if in.busy == 0 && in.group == "" {
		delete(t.instances, in.id)
	}
}

func (t *table) setWaiting(group string, n int) { t.group(group).waiting = n }

func (t *table) handle(string, Message) {}

func (t *table) tick(time.Time) {}

func (t *table) takeOutgoing() []Outgoing { return nil }

// takeFreed returns the groups for which a slot became free since the last
// call.
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
