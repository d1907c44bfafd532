// Package cranfault defines the typed error kinds shared by every part of
// the system.
//
// A fault has a kind, which programs act on, a message, which says what was
// wrong, and a remedy, which says what the reader can do about it. Kinds are
// also the label values of the refusal counters, so each kind is one short
// camel-case word that never changes.
package cranfault
