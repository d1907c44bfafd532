// Package cransched decides which task runs on which target, and which
// instance is maintained when.
//
// A [Scheduler] is a state machine without clock, network or randomness: time
// comes with each event, and what has to be done leaves as effects. One
// process at a time owns it. Three rules make a successor safe:
//
//   - A start is stored before its order is sent, so a successor knows of
//     every run that may exist.
//   - The end of a run is stored before the target is told to forget it.
//   - Orders carry the epoch of the owner's claim as fencing token. A new
//     owner first holds every target with its own token, which shuts out
//     the orders of its predecessors, and compares what runs there with
//     what is stored. Until a target has answered, nothing is started there,
//     and what was placed there counts as running until its lease has
//     certainly lapsed.
//
// A call to a target without an answer may take effect seconds later. The run
// that it was to start is stopped first; only when the stop is acknowledged
// may the task start again elsewhere.
package cransched
