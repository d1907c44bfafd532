// Package cranstate holds the control state of the fleet and the deterministic
// reducer that changes it.
//
// Entry instances agree only through the platform's log. Each of them applies
// the same records in the same order to its own State, so a decision is a
// record that the reducer accepted at its offset. The reducer reads no clock,
// does no I/O and draws no random numbers: its time is the platform's timestamp
// on each record. It returns effects, which are plain data that describe what
// changed; the caller acts on them.
//
// The main concepts are as follows. A member is one incarnation of an entry
// instance, that is, one run of its process; it holds a lease that its
// heartbeats renew. An instance is a target that serves requests in a number of
// slots; it belongs to exactly one pool. Each slot has an owner, the member that
// decides which request uses the slot. A stop is a planned interruption of an
// instance, either a reboot or a move to another pool: the instance is first
// cordoned, so that it takes no new requests. The drain barrier passes once
// every member that was present at the cordon has reported that it has no
// request in progress on the instance, or has left the membership. Only then is
// the platform asked to act. A wave reboots all instances of some pools and
// halts when too many of them fail. A service's availability budget bounds how
// many instances of its pool may be unavailable; a planned stop beyond the
// budget is refused.
//
// A proposal that would break an invariant is refused and leaves the state
// unchanged; the refusal is an effect that carries a typed fault.
package cranstate
