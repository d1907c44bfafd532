// Package cranfleet describes the configuration of a fleet. Operators use it to
// build, encode, decode and compare the configurations that they publish.
//
// A pool is a named set of instances and has a wanted number of them. A service
// runs on every instance of one pool and declares its availability budget,
// which is how many of the wanted instances may be unavailable at once, whether
// planned or not. One pool is the spare pool, to which all instances belong
// that no other pool claims. Prices tell the planner how to weigh a move of an
// instance, a second of idle capacity and a late or refused request against
// each other.
//
// A Config is immutable and valid. It is encoded as canonical JSON with
// camel-case keys: equal configurations have the same encoding, whatever the
// order in which they were built. Diff lists the changes between two of them.
//
// New and Decode refuse invalid input with a *Faults, which holds all faults at
// once. Each Fault has the option or the position in the encoded configuration,
// a message and a remedy.
package cranfleet
