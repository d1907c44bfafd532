// Package cranoverload measures what the job service achieves while callers send more than its targets can
// serve. It simulates a surge in virtual time: callers, the admission of entry instances, the owner of one shard,
// and its targets. Admission (cranadmit), entitlements (cranfair) and the scheduler (cransched, which selects the
// jobs to be served in time with cranorder) are the real ones. Only the store, the targets and the callers are
// simulated.
//
// Jobs and targets are those of the overload test of cransched, tenants and entry instances those of the surge
// test of cranadmit: one tenant stays within its entitlement, while the other sends the rest of the load.
//
// No call is lost, no run fails, and the owner takes no time for its decisions. The figures are therefore
// those of the decisions alone.
package cranoverload
