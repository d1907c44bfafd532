// Package cranjob holds the words of the job service: jobs made of steps,
// steps made of tasks, and the replicated book of what is known of each job.
//
// A job belongs to a queue, and a queue to the pool whose targets run its
// tasks. A job with occurrences runs its steps several times; a task is
// therefore named by job, occurrence, step and index. Each start of a task is
// a run, numbered from one.
//
// Everything that must last is a record under a key of the platform's store,
// where the newest record of a key replaces the older ones:
//
//   - a submission, written once by the entry instance that accepted the job,
//   - a cancellation, written by the entry instance that took it,
//   - the progress of a job, written only by the scheduler,
//   - the scheduler's own claim, and the orders for instances.
//
// A [Replica] applies these records. It is a function of the newest record of
// each key alone, so a reader that has lost the history of the store loads
// the newest records and goes on.
package cranjob
