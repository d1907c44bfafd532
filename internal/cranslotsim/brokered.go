package cranslotsim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

const (
	// simGroup is the pool of all targets.
	simGroup = "pool"
	// meanService is the length of a mean service time for the brokers.
	meanService = time.Second
)

// brokered is the schemes in which each entry has a broker: own, forward and
// lending.
type brokered struct {
	*fleet
	nodes map[string]*node
	names []string
	// freeSeen is, in the forward scheme, the free slots of each entry at the
	// last exchange.
	freeSeen []int
}

// node is one entry.
type node struct {
	name   string
	broker *cranslot.Broker
	judge  *judge
	queue  []*job
	// owned is the number of slots that this entry owns.
	owned int
	busy  int
}

func newBrokered(f *fleet) *brokered {
	b := &brokered{fleet: f, nodes: make(map[string]*node), freeSeen: make([]int, f.settings.Entries)}
	for i := range f.settings.Entries {
		b.names = append(b.names, fmt.Sprintf("e%03d", i))
	}
	view := b.view()
	for i, name := range b.names {
		n := &node{name: name, judge: newJudge()}
		n.broker = cranslot.NewBroker(name,
			cranslot.WithSeed(f.settings.Seed+uint64(i)),
			cranslot.WithInterval(duration(f.settings.Interval)),
			cranslot.WithSlotFreedNotify(func(string) { b.drain(n) }),
			cranslot.WithOutgoingNotify(func() { b.flush(n) }))
		n.broker.SetView(view)
		b.nodes[name] = n
	}
	return b
}

func duration(serviceTimes float64) time.Duration {
	return time.Duration(serviceTimes * float64(meanService))
}

// view deals the slots of all targets out to the entries.
func (b *brokered) view() cranslot.View {
	held := make(map[string]int)
	count := func(entry string) int { return held[entry] }
	list := make([]cranslot.InstanceView, b.settings.Targets)
	for i := range list {
		iv := cranslot.InstanceView{ID: targetID(i), Group: simGroup, Open: true, FirstEpoch: 1}
		for _, e := range cranslot.AssignOwnersBalanced(iv.ID, b.settings.Slots, b.names, count) {
			iv.Owners = append(iv.Owners, cranslot.Owner{Entry: e, Epoch: 1})
		}
		for _, h := range iv.Owners {
			held[h.Entry]++
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
			b.Schedule(b.Now()+phase, func() { b.tick(n) })
		}
	case Forward:
		b.countOwned()
		b.exchange()
	}
}

// tick is what an entry does every interval.
func (b *brokered) tick(n *node) {
	n.broker.Tick(time.Unix(0, 0).Add(duration(b.Now())))
	b.Schedule(b.Now()+b.settings.Interval, func() { b.tick(n) })
}

// flush sends the messages of an entry.
func (b *brokered) flush(n *node) {
	if b.settings.Scheme != Lending {
		return
	}
	for _, o := range n.broker.TakeOutgoing() {
		data, err := cbor.Marshal(o.Message)
		if err != nil {
			panic(err)
		}
		b.sent(len(data))
		if b.random.Float64() < b.settings.Loss {
			continue
		}
		to := b.nodes[o.To]
		b.Schedule(b.Now()+b.settings.Hop, func() { b.receive(to, n.name, o.Message) })
	}
}

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

// drain starts queued requests while slots are free here.
func (b *brokered) drain(n *node) {
	avoid := func(id string) bool { return n.judge.avoids(targetIndex(id), b.Now()) }
	for len(n.queue) > 0 {
		s, ok := n.broker.TryAcquire(simGroup, avoid)
		if !ok {
			break
		}
		j := n.queue[0]
		n.queue = n.queue[1:]
		n.busy++
		b.run(j, targetIndex(s.Instance()), func(ok bool) { b.done(n, j, s, ok) })
	}
	n.broker.SetWaiting(simGroup, len(n.queue))
}

func (b *brokered) done(n *node, j *job, s cranslot.Slot, ok bool) {
	n.busy--
	n.judge.seen(targetIndex(s.Instance()), ok, b.Now())
	if !ok {
		n.queue = append([]*job{j}, n.queue...)
	}
	n.broker.SetWaiting(simGroup, len(n.queue))
	n.broker.Release(s)
	b.drain(n)
}

// targetIndex is the inverse of targetID.
func targetIndex(id string) int {
	n := 0
	for _, c := range id[1:] {
		n = 10*n + int(c-'0')
	}
	return n
}
