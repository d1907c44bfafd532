// Package cranplan plans maintenance stops and moves of instances. It computes
// proposals from the control state alone; the reducer of cranstate checks each
// proposal again and may refuse it.
package cranplan
