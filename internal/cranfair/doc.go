// Package cranfair decides which jobs are within the entitlement of their tenant, and in which
// order the others get room.
//
// A [Ledger] holds a token bucket for each tenant. A job that gets a token when it is received is
// within the entitlement, and any other is beyond it. Each owner of a shard has a ledger of its
// own, with an equal part of the rate and of the depth. What the other shards don't use, by the
// totals that they publish, is added to it. An [Order] ranks the work beyond the entitlement, so
// that the tenants get room in proportion to their weights.
//
// The package has no clock and no I/O, and its types are not safe for concurrent use.
package cranfair
