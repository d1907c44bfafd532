package cranslot

import (
	"math/rand/v2"
	"time"
)

// DefaultInterval is the length of a step unless WithInterval sets another.
const DefaultInterval = 10 * time.Millisecond

// Option adjusts a Broker at construction.
type Option func(*Broker)

// WithSlotFreedNotify sets the function that is called, outside the Broker's lock,
// when a slot became free here for a group that has requests waiting. It is
// called on the goroutine of the call that freed the slot. The slot may be
// gone again by then; TryAcquire decides.
func WithSlotFreedNotify(notify func(group string)) Option {
	return func(b *Broker) { b.notify = notify }
}

// WithOutgoingNotify sets the function that is called, outside the Broker's lock,
// after each call that left messages for TakeOutgoing. It is called on the
// goroutine of that call.
func WithOutgoingNotify(outgoing func()) Option {
	return func(b *Broker) { b.outgoing = outgoing }
}

// WithSeed sets the seed of the random choices among equals. The default is
// 1; members of one fleet should have different seeds.
func WithSeed(seed uint64) Option {
	return func(b *Broker) { b.table.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithInterval sets the length of a step, in which a member asks at most once
// for a group. About a tenth of a mean service time suits; d must be above 0.
func WithInterval(d time.Duration) Option {
	return func(b *Broker) { b.interval = d }
}
