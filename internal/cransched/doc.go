// Package cransched decides which task runs on which target, to which pool each
// instance belongs, and when each instance is maintained. An instance is a
// machine of the platform; a target is the process on it that runs tasks.
//
// A [Scheduler] is a state machine without clock, network or randomness. The
// caller passes the time with each event and performs the effects that the
// scheduler returns. A scheduler has the jobs, targets and instances of one shard, and
// one process at a time owns the shard. When another process takes over, a task must not run twice at the same time and no result
// may get lost. Three rules ensure this:
//
//   - A start is stored before it is sent, so a successor knows every run that
//     may exist.
//   - The end of a run is stored before it is acknowledged to the target, which
//     then stops reporting it.
//   - Orders carry the epoch of the owner's claim as a fencing token. A new
//     owner first sends a heartbeat with its token to every target, after which
//     the target rejects orders of earlier owners, and compares the runs that
//     the target reports with the stored ones. Until a target has answered,
//     nothing is started there, and the tasks placed there count as running
//     until its lease has expired with certainty.
//
// A call that got no response may take effect seconds later. The run that an
// unanswered start was to create is therefore stopped first. Only when the stop
// is acknowledged may the task start again elsewhere.
package cransched
