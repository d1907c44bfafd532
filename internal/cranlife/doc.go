// Package cranlife follows a job through the logs of entry instances.
//
// The life of a job is every line that bears its id, and of the lines about
// targets and the scheduling those that explain what happened to it meanwhile.
// A gap is an outcome that the lines don't explain, such as a run that was
// placed and of which nothing more is said.
package cranlife
