// Package cranslot distributes the slots of target instances among entry
// instances, so that an instance never has more requests in progress than it
// has slots. It needs no central counter.
//
// The control state assigns every slot of every instance to an owner: an entry
// together with the epoch, which is the log offset of the assignment. Only the
// owner may use the slot or lend it. A borrower returns the slot to the owner
// and never lends it on. Since the owner records where each of its slots is, a
// single process decides about a slot at any time, and no slot is used twice. A
// lost message leaves a slot unused for a while and never duplicates it.
//
// A [Broker] implements this for one entry. It does no I/O, starts no goroutine
// and reads no clock. Its caller passes it views of the control state, messages
// from other members and ticks, and sends the messages of TakeOutgoing.
package cranslot
