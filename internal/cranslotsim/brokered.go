package cranslotsim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

const (
	// poolName is the pool of all targets.
	poolName = "pool"
	// meanServiceTime is the real duration that brokers see for one unit of virtual time.
	meanServiceTime = time.Second
)

// brokered implements the schemes in which each entry has a cranslot.Broker: own, forward and
// lending.
type brokered struct {
	*fleet
	nodes map[string]*node
	names []string
	// lastFree holds the number of free slots of each entry at the last exchange of counts.
	// Only the forward scheme uses it.
	lastFree []int
}

// node is one entry with its broker and its queue of requests.
type node struct {
	name     string
	broker   *cranslot.Broker
	detector *outlierDetector
	queue    []*job
	// owned is the number of slots that this entry owns.
	owned int
	busy  int
}

// newBrokered returns a scheme in which each entry has a broker and owns some slots.
func newBrokered(f *fleet) *brokered {
	b := &brokered{fleet: f, nodes: make(map[string]*node), lastFree: make([]int, f.settings.Entries)}
	for i := range f.settings.Entries {
		b.names = append(b.names, fmt.Sprintf("e%03d", i))
	}
	view := b.assignSlots()
	for i, name := range b.names {
		n := &node{name: name, detector: newOutlierDetector()}
		n.broker = cranslot.NewBroker(name,
			cranslot.WithSeed(f.settings.Seed+uint64(i)),
			cranslot.WithInterval(duration(f.settings.Interval)),
			cranslot.WithSlotFreedNotify(func(string) { b.drain(n) }),
			cranslot.WithOutgoingNotify(func() { b.sendOutgoing(n) }))
		n.broker.SetView(view)
		b.nodes[name] = n
	}
	return b
}

// duration converts mean service times to a real duration.
func duration(serviceTimes float64) time.Duration {
	return time.Duration(serviceTimes * float64(meanServiceTime))
}

// assignSlots assigns the owners of the slots of all targets evenly.
func (b *brokered) assignSlots() cranslot.View {
	owned := make(map[string]int)
	count := func(entry string) int { return owned[entry] }
	list := make([]cranslot.InstanceView, b.settings.Targets)
	for i := range list {
		iv := cranslot.InstanceView{ID: targetID(i), Group: poolName, Open: true, FirstEpoch: 1}
		for _, e := range cranslot.AssignOwnersBalanced(iv.ID, b.settings.Slots, b.names, count) {
			iv.Owners = append(iv.Owners, cranslot.Owner{Entry: e, Epoch: 1})
		}
		for _, o := range iv.Owners {
			owned[o.Entry]++
		}
		list[i] = iv
	}
	return cranslot.NewView(1, b.names, list)
}

func (b *brokered) start() {
	switch b.settings.Scheme {
	case Lending:
		for i, name := range b.names {
			n := b.nodes[name]
			phase := b.settings.Interval * float64(i) / float64(len(b.names))
			b.Schedule(b.Now()+phase, func() { b.runInterval(n) })
		}
	case Forward:
		b.countOwned()
		b.exchange()
	}
}

// runInterval runs an entry's periodic work and schedules the next run.
func (b *brokered) runInterval(n *node) {
	n.broker.Tick(time.Unix(0, 0).Add(duration(b.Now())))
	b.Schedule(b.Now()+b.settings.Interval, func() { b.runInterval(n) })
}

// sendOutgoing sends the pending messages of an entry in the lending scheme. A share of the
// messages is lost.
func (b *brokered) sendOutgoing(n *node) {
	if b.settings.Scheme != Lending {
		return
	}
	for _, o := range n.broker.TakeOutgoing() {
		data, err := cbor.Marshal(o.Message)
		if err != nil {
			panic(err)
		}
		b.countMessage(len(data))
		if b.random.Float64() < b.settings.Loss {
			continue
		}
		to := b.nodes[o.To]
		b.Schedule(b.Now()+b.settings.Hop, func() { b.receive(to, n.name, o.Message) })
	}
}

// receive passes a message to an entry and starts requests that can now get a slot.
func (b *brokered) receive(n *node, from string, m cranslot.Message) {
	n.broker.Handle(from, m)
	b.drain(n)
}

func (b *brokered) arrive(j *job) {
	n := b.nodes[b.names[j.entry]]
	n.queue = append(n.queue, j)
	b.drain(n)
	if b.settings.Scheme == Forward {
		b.forward(n, j)
	}
}

// drain starts queued requests of the entry while it can acquire slots.
func (b *brokered) drain(n *node) {
	ejected := func(id string) bool { return n.detector.ejected(targetIndex(id), b.Now()) }
	for len(n.queue) > 0 {
		s, ok := n.broker.TryAcquire(poolName, ejected)
		if !ok {
			break
		}
		j := n.queue[0]
		n.queue = n.queue[1:]
		n.busy++
		b.run(j, targetIndex(s.Instance()), func(ok bool) { b.finish(n, j, s, ok) })
	}
	n.broker.SetWaiting(poolName, len(n.queue))
}

// finish records the end of an attempt. A failed request goes back to the front of the queue.
func (b *brokered) finish(n *node, j *job, s cranslot.Slot, ok bool) {
	n.busy--
	n.detector.observe(targetIndex(s.Instance()), ok, b.Now())
	if !ok {
		n.queue = append([]*job{j}, n.queue...)
	}
	n.broker.SetWaiting(poolName, len(n.queue))
	n.broker.Release(s)
	b.drain(n)
}

// targetIndex returns the index of a target by its id. It is the inverse of targetID.
func targetIndex(id string) int {
	n := 0
	for _, c := range id[1:] {
		n = 10*n + int(c-'0')
	}
	return n
}
