// Package cranlife reconstructs the history of a job from the logs of entry
// instances.
//
// The history of a job consists of every line with its id, and of the lines about
// its targets and about the scheduler that were logged meanwhile. A gap is an event
// that is missing from the history, such as the end of a run that was placed.
package cranlife
