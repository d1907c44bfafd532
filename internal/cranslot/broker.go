package cranslot

import (
	"sync"
	"time"
)

// Broker is one member's part of the lending scheme. It is safe for
// concurrent use.
type Broker struct {
	// mutex guards table; notify is called without it.
	mutex  sync.Mutex
	table  *table
	notify func(group string)
	// outgoing is called without the lock when messages are to be sent.
	outgoing func()
	// interval is the length of a step.
	interval time.Duration
	// start is the time of the first tick, from which steps are counted.
	start time.Time
}

// NewBroker returns the broker of the member self. It owns no slot until
// SetView brings a view of which self is a member.
func NewBroker(self string, options ...Option) *Broker {
	b := &Broker{
		table:    newTable(self),
		notify:   func(string) {},
		outgoing: func() {},
		interval: DefaultInterval,
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// TryAcquire takes a free slot of an open instance of the group, of the
// instance with the fewest requests in progress here; it passes over the
// instances for which avoid returns true, and avoid may be nil. It reports
// false if no such slot is free here. Avoid is called under the lock and must
// not call the Broker.
func (b *Broker) TryAcquire(group string, avoid func(instance string) bool) (Slot, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.acquire(group, avoid)
}

// Release ends the use of a slot. A second Release of the same slot has no
// effect.
func (b *Broker) Release(s Slot) {
	b.do(func(t *table) { t.release(s) })
}

// SetWaiting says how many requests for the group are queued here now.
func (b *Broker) SetWaiting(group string, n int) {
	b.do(func(t *table) { t.setWaiting(group, n) })
}

// SetView applies a view of the control state. A view with a lower epoch than
// the last one is ignored.
func (b *Broker) SetView(v View) {
	b.do(func(t *table) { t.setView(v) })
}

// Handle applies a message from a peer. Messages may come late, twice or in
// any order.
func (b *Broker) Handle(from string, m Message) {
	b.do(func(t *table) { t.handle(from, m) })
}

// Tick lets the time pass: it asks for slots where requests wait, returns
// borrowed slots that aren't used, and repeats what was not answered. The
// owner calls it about once an interval.
func (b *Broker) Tick(now time.Time) {
	b.do(func(t *table) {
		if b.start.IsZero() {
			b.start = now.Add(-b.interval)
		}
		t.advance(uint64(max(now.Sub(b.start), 0) / b.interval))
	})
}

// TakeOutgoing returns the messages to send now, at most one for each peer.
// It is called after every Tick and, so that slots aren't unused for long,
// soon after the call that WithOutgoingNotify announces.
func (b *Broker) TakeOutgoing() []OutgoingMessage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.takeOutgoing()
}

// InProgress returns the number of slots of the instance in use here.
func (b *Broker) InProgress(instance string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.inProgress(instance)
}

// do applies an event under the lock and then notifies of slots that it
// freed and of messages to send.
func (b *Broker) do(event func(*table)) {
	freed, send := b.apply(event)
	for _, g := range freed {
		b.notify(g)
	}
	if send {
		b.outgoing()
	}
}

// apply applies an event under the lock. It returns the groups with requests
// waiting for which the event freed a slot, and whether there are messages to
// send.
func (b *Broker) apply(event func(*table)) ([]string, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	event(b.table)
	return b.table.takeFreed(), len(b.table.outbox) > 0
}
