// Package cranadmit decides whether a job is admitted or refused at once, from the load that the owners of
// the shards publish. It is pure: it has no clock, network or goroutine; times are arguments.
//
// An owner publishes, for each queue with waiting work, how long that work takes at the rate of the last
// seconds ([QueueLoad]), and the tenants that are beyond their entitlement. An entry instance keeps the
// newest [Figures] of each shard on a [Board], adds the jobs that have been accepted since, and asks
// [Board.Decide] for each job.
//
// Work beyond its tenant's entitlement is refused first, if it can't be served in time: the owner's [Controller]
// chooses the share of it that is admitted, and none is while the wait exceeds the objective. Work within
// an entitlement is refused only if it can't end before it is worthless even if all other work gives way.
// Both choices depend on the job's id and on the figures alone, so all entry instances and all repeats of a
// request agree.
package cranadmit
