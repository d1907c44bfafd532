// Package cranslot distributes the slots of target instances among entry
// instances, so that an instance never has more requests in progress than it
// has slots. It needs no central counter.
//
// A member is one incarnation of an entry instance, that is, one run of its
// process. The control state assigns every slot of every instance to an owner,
// which is a member. The log offset of the assignment is its epoch. Only the
// owner may use the slot or lend it. A borrower may use the slot, returns it to
// the owner and never lends it on. Since the owner records where each of its
// slots is, a single process decides about a slot at any time, and no slot is
// used twice. A lost message leaves a slot unused for a while and never
// duplicates it.
//
// A [Broker] implements this for one member. It does no I/O, starts no goroutine
// and reads no clock. Its caller passes it views of the control state, messages
// from other members and ticks, and sends the messages of TakeOutgoing.
package cranslot
