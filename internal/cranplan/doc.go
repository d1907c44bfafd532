// Package cranplan decides what to propose: pure functions from the control
// state to proposals. The reducer has the last word on each of them.
package cranplan
