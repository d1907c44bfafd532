// Package cranshard divides the jobs and the instances of a deployment into shards.
//
// One owner schedules a shard. A shard has a part of the jobs of every queue and a part of
// the instances of every pool, so an instance that moves to another pool stays in its
// shard, and no target ever changes its owner's shard. Owners therefore exchange nothing
// about targets or moves. What they share is the limit of a maintenance wave, which
// [Permits] divides.
//
// The layout is stored once and never changes while the deployment has data.
package cranshard
