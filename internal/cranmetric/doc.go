// Package cranmetric holds the counters and gauges of one entry instance and
// serves them at /metrics.
//
// Every label has a closed set of values: the kinds of fault, the reasons of
// a retry, the outcomes of a request, the phases of an instance, and the
// services of the configuration in force. A value outside its set is counted
// under "other", so that callers can't make series. Series of a closed set
// exist from the start at zero, so that a rate over them is never absent.
//
// Gauges of the control state are the same at every entry instance that has
// applied the same offset; the page docs/operators.md says of each metric
// what it measures, and how to add it up over processes.
package cranmetric
