// Package cranexplain holds the answer to the question where a job would go if it were submitted now, and its text.
// The answer is encoded as JSON by its tags. The package has no clock, network or goroutine.
package cranexplain
