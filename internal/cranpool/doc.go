// Package cranpool decides how many instances each pool of a shard has. It is pure: the supply and the
// demand of each pool and the time are arguments, and the result is a list of moves.
//
// Demand surges in one pool at a time, beyond its capacity, while the others are idle. The pool under
// load therefore gets the instances that the others leave empty, and instances that no pool needs go to
// a standby pool, where they are switched off.
package cranpool
