// Package cranmetric holds the metrics of one entry instance and provides the handler
// that serves them at /metrics.
//
// Every label has a closed set of values: the kinds of fault, the reasons of
// a retry, the outcomes of a request, the phases of an instance, and the
// services of the configuration in force. A value outside its set is counted
// under "other", so that callers can't create series. The series of a closed set
// exist from the start with the value zero, so that a rate over them is never
// absent.
//
// Gauges of the control state have the same value at every entry instance that has
// applied the log up to the same offset. The page docs/operators.md describes what
// each metric measures and how to aggregate it over processes.
package cranmetric
