// Package cranstandin simulates the external systems that cranberrypick works
// with: the platform, which consists of an append-only log and a fleet of
// instances, and the targets, which run requests.
//
// All state is in memory. The package can be used in two ways: embedded, where
// Log and Fleet implement the interfaces of cranplatform, or over HTTP, where
// Platform and Target are handlers. Timers come from the standard library, so
// an embedded simulation follows the virtual clock of testing/synctest.
//
// Faults can be injected at run time, with Go methods or with PUT /faults. The
// platform and each target keep a ledger of what they did. Checks of
// cranberrypick's behaviour use these ledgers rather than its own reports. A
// ledger grows with the number of actions or requests. The size of everything
// else is limited by the retention of the log and by the number of instances.
package cranstandin
