// Package crannode runs an entry instance of the job service.
//
// All entry instances are equal, and a job is stored in one of several shards by its id
// (see package cranshard). An entry instance that owns no shard reads two topics: the
// operator's, for the configuration, and the digest (package crandigest), which has the state
// of every job. It stores submissions and cancellations in the shard of the job, and answers
// callers from the digest. For a job that the digest doesn't have it reads the newest
// submissions of the shard.
//
// Each shard is scheduled by one entry instance, its owner: the one whose claim in the digest
// is the newest. A claim carries an epoch, which fences the appends and orders of earlier
// owners. An owner renews its claim periodically. When renewals stop arriving, or the owner
// marks its claim as released, another entry instance claims the next epoch. All claims of one
// epoch carry the same sequence number, and the store accepts only the first of them. A process
// may own no shard, one or all of them, and each of its ownerships has a state of its own.
//
// A new owner reads its own claim back, fences the progress records of the shard, and only
// then loads them and the submissions, so that it knows everything that earlier owners have
// stored. It renews its claim meanwhile.
//
// One goroutine, the control goroutine, changes the state: the digest, the claims and the
// schedulers. Requests of callers read the digest under a lock. Every call to the store, a
// target or the platform runs in a goroutine of its own.
package crannode
