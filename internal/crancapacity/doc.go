// Package crancapacity measures how costs grow with the size of a fleet. From these figures,
// docs/CAPACITY.md extrapolates the cost of each role at the design size. It measures
//
//   - the reducer and the snapshot by the number of instances,
//   - the control traffic of an entry by the number of entries,
//   - claims by their rate,
//   - the roll-out of a configuration by the delay of the log.
//
// All measurements run the real code, with a stand-in for the platform in the same process.
package crancapacity
