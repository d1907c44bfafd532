// Package cranfault defines the typed errors, called faults, that all packages of
// the system share.
//
// A fault has a kind, on which programs act, a message, which states what went
// wrong, and a remedy, which states what the reader can do about it. Kinds are also
// label values of the refusal counters, so the text of each kind is a short
// camel-case identifier that never changes.
package cranfault
