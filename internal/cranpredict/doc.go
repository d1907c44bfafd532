// Package cranpredict predicts how long tasks run. It learns from finished runs, and from runs that were
// stopped or lost, which took at least as long as they had lasted.
//
// The logarithm of a duration is modelled as a line over the logarithm of the caller's estimate, plus what a
// step of a job differs from others of its class, plus what a task differs from the others of its step. Lines
// are fitted for a queue, for each image, step and demand in it, and for each tenant of these. A narrower line
// is shrunk to the wider one by the number of its samples. The tasks of one step run about equally long, so a
// step counts as one sample, and its finished tasks tell most about the others.
//
// A [Model] is pure: the time is passed in. It is not safe for concurrent use.
package cranpredict
