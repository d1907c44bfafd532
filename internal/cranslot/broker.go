package cranslot

import (
	"sync"
	"time"
)

// Broker uses, lends and borrows slots for one member. It is safe for
// concurrent use.
type Broker struct {
	// mutex guards table and start. The notify functions are called without it.
	mutex       sync.Mutex
	table       *table
	notifyFreed func(group string)
	// notifyOutgoing is called when messages are to be sent.
	notifyOutgoing func()
	// interval is the length of a step.
	interval time.Duration
	// start is the time from which steps are counted, one interval before the
	// first tick.
	start time.Time
}

// NewBroker returns the broker of the member self. It has no slots until
// SetView applies a view of which self is a member.
func NewBroker(self string, options ...Option) *Broker {
	b := &Broker{
		table:          newTable(self),
		notifyFreed:    func(string) {},
		notifyOutgoing: func() {},
		interval:       DefaultInterval,
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// TryAcquire takes a free slot of an open instance of the group. Among the
// instances with a free slot it chooses the one with the fewest requests in
// progress from this member. It skips instances for which avoid returns true;
// avoid may be nil. It returns false if no such slot is free at this member.
// The function avoid is called with the lock held and must not call the Broker.
func (b *Broker) TryAcquire(group string, avoid func(instance string) bool) (Slot, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.acquire(group, avoid)
}

// Release ends the use of a slot. A second Release of the same slot has no
// effect.
func (b *Broker) Release(s Slot) {
	b.applyAndNotify(func(t *table) { t.release(s) })
}

// SetWaiting sets the number of requests for the group that are queued at this
// member.
func (b *Broker) SetWaiting(group string, n int) {
	b.applyAndNotify(func(t *table) { t.setWaiting(group, n) })
}

// SetView applies a view of the control state. It ignores a view with a lower
// epoch than the last one.
func (b *Broker) SetView(v View) {
	b.applyAndNotify(func(t *table) { t.setView(v) })
}

// Handle applies a message from a peer. Messages may be delayed, duplicated or
// reordered.
func (b *Broker) Handle(from string, m Message) {
	b.applyAndNotify(func(t *table) { t.handleMessage(from, m) })
}

// Tick advances the time to now: it asks for slots where requests wait, returns
// idle borrowed slots and sends unanswered messages again. It must be called
// about once in an interval.
func (b *Broker) Tick(now time.Time) {
	b.applyAndNotify(func(t *table) {
		if b.start.IsZero() {
			b.start = now.Add(-b.interval)
		}
		t.advance(uint64(max(now.Sub(b.start), 0) / b.interval))
	})
}

// TakeOutgoing removes and returns the messages to send, at most one for each
// peer. It must be called after every Tick, and soon after each call that
// WithOutgoingNotify announces, so that slots aren't unused for long.
func (b *Broker) TakeOutgoing() []OutgoingMessage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.takeOutgoing()
}

// InProgress returns the number of slots of the instance that this member has
// in use.
func (b *Broker) InProgress(instance string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.table.inProgress(instance)
}

// applyAndNotify applies an event with the lock held. It then notifies of the
// slots that the event freed and of messages to send.
func (b *Broker) applyAndNotify(event func(*table)) {
	freedGroups, send := b.apply(event)
	for _, g := range freedGroups {
		b.notifyFreed(g)
	}
	if send {
		b.notifyOutgoing()
	}
}

// apply applies an event with the lock held. It returns the groups with waiting
// requests for which the event freed a slot, and whether there are messages to
// send.
func (b *Broker) apply(event func(*table)) ([]string, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	event(b.table)
	return b.table.takeFreed(), len(b.table.outbox) > 0
}
