package cranslot

import (
	"math/rand/v2"
	"time"
)

// DefaultInterval is the default length of a step.
const DefaultInterval = 10 * time.Millisecond

// Option configures a Broker.
type Option func(*Broker)

// WithSlotFreedNotify sets the function that is called when a slot became free
// at this member for a group with waiting requests. It is called without the
// Broker's lock, on the goroutine of the call that freed the slot. The slot may
// be taken by then, so the function must call TryAcquire to get one.
func WithSlotFreedNotify(notify func(group string)) Option {
	return func(b *Broker) { b.notifyFreed = notify }
}

// WithOutgoingNotify sets the function that is called after each call that left
// messages for TakeOutgoing. It is called without the Broker's lock, on the
// goroutine of that call.
func WithOutgoingNotify(outgoing func()) Option {
	return func(b *Broker) { b.notifyOutgoing = outgoing }
}

// WithSeed sets the seed of the random choices between equivalent instances or
// peers. The default is 1; the members of a fleet should have different seeds.
func WithSeed(seed uint64) Option {
	return func(b *Broker) { b.table.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithInterval sets the length of a step, in which a member asks for slots of a
// group at most once. About a tenth of the mean service time is suitable. The
// length must be positive.
func WithInterval(d time.Duration) Option {
	return func(b *Broker) { b.interval = d }
}
