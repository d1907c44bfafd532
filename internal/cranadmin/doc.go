// Package cranadmin is the operators' side of an entry instance: JSON over
// HTTP on the admin address, and a client for it.
//
// A proposal is answered only after the reducer has decided on its record.
// The answer is 200 with the record's offset, 409 or 422 with a fault that
// names the remedy, 403 for addresses that may not ask, or 504 when the outcome is unknown: the proposal may
// still be accepted, and repeating it is safe, since a repeat is refused if
// the first one was accepted.
package cranadmin
