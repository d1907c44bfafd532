// Package cranjob defines the data model of the job service: jobs, which consist of
// steps, steps, which consist of tasks, and the replicated state of the jobs of a shard.
//
// A job belongs to a queue, and a queue to the pool whose targets run its
// tasks. A job with occurrences runs its steps several times; a task is
// therefore named by job, occurrence, step and index. Each start of a task is
// a run, numbered from one.
//
// All persistent state is kept in records under keys of the platform's store, where
// the newest record of a key replaces the older ones:
//
//   - a submission, written once by the entry instance that accepted the job,
//   - a cancellation, written by the entry instance that received it,
//   - the progress of a job, written only by the owner of its shard,
//   - the claim of an owner,
//   - the orders to the platform for instances,
//   - the statistics of task durations of each queue.
//
// A [Replica] applies these records. It is a function of the newest record of
// each key alone, so a reader that has lost the history of the store loads
// the newest records and goes on.
package cranjob
