// Package cranslot shares the slots of target instances among entry
// instances, so that an instance never has more requests in progress than it
// has slots, without a counter in the middle.
//
// The control state gives every slot of every instance a home: one entry and
// the epoch (the log offset) at which the slot was assigned to it. Only the
// home may use the slot or lend it, and a borrower returns it to the home
// and never lends it on. The home keeps the ledger of its own slots, so one
// process decides about a slot at any time and the count is conserved: a lost
// message leaves a slot unused for a while and never lets it be used twice.
//
// A Broker is the part of one entry. It decides only: it does no I/O, starts
// no goroutine and reads no clock. Its owner feeds it views of the control
// state, messages from peers and ticks, and sends what TakeOutgoing returns.
package cranslot
