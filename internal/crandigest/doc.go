// Package crandigest defines the digest of the job service: the small topic that every
// entry instance reads, so that it can answer callers without reading the jobs themselves.
//
// The digest has the layout of the shards, the claim of each shard's owner, and for each job
// its state. An owner appends the changes of states in segments. When it has written
// [MergeThreshold] of them, it replaces them by one merged segment, so that a process that
// starts loads a few records instead of all changes. A state only rises, from queued over
// running to a final one, so segments may be applied in any order and more than once.
//
// The renewal of a claim carries the offset up to which the owner has read the submissions
// of its shard: every job before that offset is in the digest. A process that looks for a
// job that the digest doesn't have reads the submissions from there on.
//
// Each record takes the place of an older one under the same key, and the records of a shard
// are fenced by the epoch of its owner's claim.
package crandigest
