// Package cranfleet is the operator's library: it describes a fleet and
// prints the configuration that operators publish.
//
// A pool is a named set of instances. A service runs on every instance of
// one pool and declares its availability budget: how many instances the pool
// should hold and how many of them may be unavailable at once, planned or
// not. One pool is the spare: instances that no other pool claims belong to
// it. Prices tell the planner what an operator weighs: a move of an instance
// against a second of idle capacity against a late or refused request.
//
// A Config is immutable and valid. Its printed form is canonical JSON in camel
// case: equal configurations print the same bytes, whatever the order in
// which they were built. Diff lists what one changes against another.
//
// New and Decode refuse bad input with a *Faults, which holds everything that
// is wrong at once: each Fault says which option, or which place of the
// printed form, what is wrong there, and the remedy.
package cranfleet
