// Package cranstandin stands in for the systems around the product: the
// platform, which is a log and a fleet of instances, and the targets that
// run requests.
//
// Everything is kept in memory and can be used in two ways: embedded, where
// Log and Fleet implement the interfaces of cranplatform, or over HTTP, where
// Platform and Target are handlers. Time comes from the standard library, so
// that the virtual clock of testing/synctest governs an embedded stand-in.
//
// Faults are settable while a stand-in runs, by Go methods or by PUT /faults.
// The ledgers of the platform and of the targets record what happened,
// whatever the product says of itself; proofs are drawn from them. A ledger
// grows with the actions and requests; everything else is bounded by
// retention and by the number of instances.
package cranstandin
