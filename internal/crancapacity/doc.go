// Package crancapacity measures the slopes from which docs/CAPACITY.md works
// out what each role costs at the size to design for: the reducer and the
// snapshot against the number of instances, the control traffic of an entry
// against the number of entries, claims against their rate, and the roll-out
// of a configuration against the delay of the log.
//
// Every figure comes from the real code; the platform is a stand-in in the
// same process.
package crancapacity
