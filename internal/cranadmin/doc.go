// Package cranadmin implements the operators' API of an entry instance, which
// is JSON over HTTP on the admin address, and a client for it.
//
// A proposal is answered only after the reducer has decided on its record. The
// answer has status 200 with the record's offset, or the status of a fault
// with its remedy: 409 or 422 for a refused proposal, 403 for an address that
// is not allowed, and 504 if the outcome is unknown. In the last case the
// proposal may still be accepted. Repeating it is safe, since the repeat is
// refused if the first one was accepted.
package cranadmin
