package cranslot

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	fleetGroup       = "web"
	fleetInstances   = 3
	slotsPerInstance = 4
)

// slotKey identifies a slot in the oracle's records.
type slotKey struct {
	instance string
	index    int
}

// inFlightMessage is an encoded message that was not delivered yet.
type inFlightMessage struct {
	from, to string
	data     []byte
}

// process is a running or dead member with the slots that it has in use.
type process struct {
	broker *Broker
	used   []Slot
	// viewIndex is the index of the last view applied.
	viewIndex int
	alive     bool
}

// fleet is a set of brokers on a network that the test controls. Its field
// users is the oracle: it names the member that has a request in progress on a
// slot.
type fleet struct {
	t         *rapid.T
	names     []string
	processes map[string]*process
	views     []View
	network   []inFlightMessage
	users     map[slotKey]string
	now       time.Time
}

func newFleet(t *rapid.T, members int) *fleet {
	f := &fleet{t: t, processes: make(map[string]*process), users: make(map[slotKey]string)}
	f.now = time.Unix(1000, 0)
	names := make([]string, members)
	for i := range names {
		names[i] = fmt.Sprintf("e%02d", i)
	}
	f.views = []View{viewOf(names, fleetInstances, slotsPerInstance)}
	for _, n := range names {
		f.start(n)
	}
	return f
}

// start starts a process that has applied the latest view.
func (f *fleet) start(name string) {
	p := &process{broker: NewBroker(name, WithSeed(uint64(len(f.names)))), alive: true}
	f.names = append(f.names, name)
	f.processes[name] = p
	p.viewIndex = len(f.views) - 1
	p.broker.SetView(f.views[p.viewIndex])
}

func (f *fleet) latest() View { return f.views[len(f.views)-1] }

// alive returns the names of the running processes.
func (f *fleet) alive() []string {
	return slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return !f.processes[n].alive })
}

// pick draws one of the names.
func (f *fleet) pick(names []string) string { return rapid.SampledFrom(names).Draw(f.t, "name") }

func (f *fleet) acquire(name string) bool {
	p := f.processes[name]
	s, ok := p.broker.TryAcquire(fleetGroup, nil)
	if !ok {
		return false
	}
	key := slotKey{s.Instance(), s.Index()}
	if other, taken := f.users[key]; taken {
		f.t.Fatalf("slot %v is used by members %s and %s", key, other, name)
	}
	if s.Index() >= slotsPerInstance {
		f.t.Fatalf("slot %v doesn't exist", key)
	}
	f.users[key] = name
	p.used = append(p.used, s)
	return true
}

func (f *fleet) release(name string, at int) {
	p := f.processes[name]
	s := p.used[at]
	p.used = slices.Delete(p.used, at, at+1)
	delete(f.users, slotKey{s.Instance(), s.Index()})
	p.broker.Release(s)
}

// change appends a view with other members or instances.
func (f *fleet) change(edit func(epoch uint64, members []string, list []InstanceView) ([]string, []InstanceView)) {
	last := f.latest()
	epoch := last.Epoch() + 1
	list := NewView(0, nil, last.instances).instances
	members, list := edit(epoch, last.Members(), list)
	f.views = append(f.views, NewView(epoch, members, list))
}

// removeMember removes a dead member, whose requests have ended by then.
func (f *fleet) removeMember(name string) {
	for key, user := range f.users {
		if user == name {
			delete(f.users, key)
		}
	}
	f.change(func(epoch uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		members = slices.DeleteFunc(members, func(m string) bool { return m == name })
		for i := range list {
			list[i].Owners = ReassignOwners(list[i].ID, list[i].Owners, members, epoch)
		}
		return members, list
	})
}

func (f *fleet) join() {
	name := fmt.Sprintf("e%02d", len(f.names))
	f.change(func(_ uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		return append(members, name), list
	})
	f.start(name)
}

// reassignSlot moves a slot to another owner although the old one is running.
func (f *fleet) reassignSlot() {
	in := rapid.IntRange(0, fleetInstances-1).Draw(f.t, "instance")
	index := rapid.IntRange(0, slotsPerInstance-1).Draw(f.t, "slot")
	entry := f.pick(f.latest().Members())
	f.change(func(epoch uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		list[in].Owners[index] = Owner{Entry: entry, Epoch: epoch}
		return members, list
	})
}

// toggleOpen opens or closes an instance for new requests.
func (f *fleet) toggleOpen() {
	in := rapid.IntRange(0, fleetInstances-1).Draw(f.t, "instance")
	f.change(func(_ uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		list[in].Open = !list[in].Open
		return members, list
	})
}

// applyNextView applies the next view that the process hasn't applied.
func (f *fleet) applyNextView(name string) {
	p := f.processes[name]
	if p.viewIndex+1 < len(f.views) {
		p.viewIndex++
		p.broker.SetView(f.views[p.viewIndex])
	}
}

// tick advances one member by some steps and collects its messages.
func (f *fleet) tick(name string, steps int) {
	f.now = f.now.Add(time.Duration(steps) * DefaultInterval)
	p := f.processes[name]
	p.broker.Tick(f.now)
	f.collect(name)
}

// collect adds the outgoing messages of a member to the network.
func (f *fleet) collect(name string) {
	for _, o := range f.processes[name].broker.TakeOutgoing() {
		data, err := json.Marshal(o.Message)
		if err != nil {
			f.t.Fatal(err)
		}
		f.network = append(f.network, inFlightMessage{from: name, to: o.To, data: data})
	}
}

// deliver delivers the message at an index of the network, and leaves it there
// if duplicate is set.
func (f *fleet) deliver(at int, duplicate bool) {
	sent := f.network[at]
	if !duplicate {
		f.network = slices.Delete(f.network, at, at+1)
	}
	p := f.processes[sent.to]
	if !p.alive {
		return
	}
	var m Message
	if err := json.Unmarshal(sent.data, &m); err != nil {
		f.t.Fatal(err)
	}
	p.broker.Handle(sent.from, m)
	f.collect(sent.to)
}
