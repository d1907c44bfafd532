package cranslot

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	worldGroup     = "web"
	worldInstances = 3
	worldSlots     = 4
)

// worldSlot names a slot for the oracle.
type worldSlot struct {
	instance string
	index    int
}

// flight is a message on its way, in encoded form.
type flight struct {
	from, to string
	data     []byte
}

// process is one member with what the oracle knows of it.
type process struct {
	broker *Broker
	used   []Slot
	// seen is the index of the last view applied.
	seen  int
	alive bool
}

// world is a fleet of brokers on a network that the test controls. The oracle
// is users: which member has a request in progress on which slot.
type world struct {
	t         *rapid.T
	names     []string
	processes map[string]*process
	views     []View
	network   []flight
	users     map[worldSlot]string
	now       time.Time
}

func newWorld(t *rapid.T, members int) *world {
	w := &world{t: t, processes: make(map[string]*process), users: make(map[worldSlot]string)}
	w.now = time.Unix(1000, 0)
	names := make([]string, members)
	for i := range names {
		names[i] = fmt.Sprintf("e%02d", i)
	}
	w.views = []View{viewOf(names, worldInstances, worldSlots)}
	for _, n := range names {
		w.start(n)
	}
	return w
}

// start starts a process that knows the latest view.
func (w *world) start(name string) {
	p := &process{broker: NewBroker(name, WithSeed(uint64(len(w.names)))), alive: true}
	w.names = append(w.names, name)
	w.processes[name] = p
	p.seen = len(w.views) - 1
	p.broker.SetView(w.views[p.seen])
}

func (w *world) latest() View { return w.views[len(w.views)-1] }

// living returns the names of the running processes.
func (w *world) living() []string {
	return slices.DeleteFunc(slices.Clone(w.names), func(n string) bool { return !w.processes[n].alive })
}

// any draws one of the names.
func (w *world) any(names []string) string { return rapid.SampledFrom(names).Draw(w.t, "name") }

func (w *world) acquire(name string) bool {
	p := w.processes[name]
	s, ok := p.broker.TryAcquire(worldGroup, nil)
	if !ok {
		return false
	}
	key := worldSlot{s.Instance(), s.Index()}
	if other, taken := w.users[key]; taken {
		w.t.Fatalf("slot %v used by %s and %s", key, other, name)
	}
	if s.Index() >= worldSlots {
		w.t.Fatalf("slot %v doesn't exist", key)
	}
	w.users[key] = name
	p.used = append(p.used, s)
	return true
}

func (w *world) release(name string, at int) {
	p := w.processes[name]
	s := p.used[at]
	p.used = slices.Delete(p.used, at, at+1)
	delete(w.users, worldSlot{s.Instance(), s.Index()})
	p.broker.Release(s)
}

// change appends a view that differs in its members or instances.
func (w *world) change(edit func(epoch uint64, members []string, list []InstanceView) ([]string, []InstanceView)) {
	last := w.latest()
	epoch := last.Epoch() + 1
	list := NewView(0, nil, last.instances).instances
	members, list := edit(epoch, last.Members(), list)
	w.views = append(w.views, NewView(epoch, members, list))
}

// writeOff removes a dead member, whose requests have ended by then.
func (w *world) writeOff(name string) {
	for key, user := range w.users {
		if user == name {
			delete(w.users, key)
		}
	}
	w.change(func(epoch uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		members = slices.DeleteFunc(members, func(m string) bool { return m == name })
		for i := range list {
			list[i].Owners = ReassignOwners(list[i].ID, list[i].Owners, members, epoch)
		}
		return members, list
	})
}

func (w *world) join() {
	name := fmt.Sprintf("e%02d", len(w.names))
	w.change(func(_ uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		return append(members, name), list
	})
	w.start(name)
}

// rehome moves a slot to another home although the old one lives.
func (w *world) rehome() {
	in := rapid.IntRange(0, worldInstances-1).Draw(w.t, "instance")
	index := rapid.IntRange(0, worldSlots-1).Draw(w.t, "slot")
	entry := w.any(w.latest().Members())
	w.change(func(epoch uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		list[in].Owners[index] = Owner{Entry: entry, Epoch: epoch}
		return members, list
	})
}

// toggle opens or closes an instance to new work.
func (w *world) toggle() {
	in := rapid.IntRange(0, worldInstances-1).Draw(w.t, "instance")
	w.change(func(_ uint64, members []string, list []InstanceView) ([]string, []InstanceView) {
		list[in].Open = !list[in].Open
		return members, list
	})
}

// seeNext applies the next view that the process hasn't seen.
func (w *world) seeNext(name string) {
	p := w.processes[name]
	if p.seen+1 < len(w.views) {
		p.seen++
		p.broker.SetView(w.views[p.seen])
	}
}

// tick lets some steps pass at one member and takes its messages.
func (w *world) tick(name string, steps int) {
	w.now = w.now.Add(time.Duration(steps) * DefaultInterval)
	p := w.processes[name]
	p.broker.Tick(w.now)
	w.collect(name)
}

func (w *world) collect(name string) {
	for _, o := range w.processes[name].broker.TakeOutgoing() {
		data, err := json.Marshal(o.Message)
		if err != nil {
			w.t.Fatal(err)
		}
		w.network = append(w.network, flight{from: name, to: o.To, data: data})
	}
}

// deliver hands over the message at a place in the network, which stays there
// if it is duplicated.
func (w *world) deliver(at int, duplicate bool) {
	f := w.network[at]
	if !duplicate {
		w.network = slices.Delete(w.network, at, at+1)
	}
	p := w.processes[f.to]
	if !p.alive {
		return
	}
	var m Message
	if err := json.Unmarshal(f.data, &m); err != nil {
		w.t.Fatal(err)
	}
	p.broker.Handle(f.from, m)
	w.collect(f.to)
}
