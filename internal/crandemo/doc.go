// Package crandemo runs a whole deployment in one process and checks that it keeps its
// guarantees.
//
// A demonstration uses cranembed to start entry instances and stand-ins for the platform and
// the targets. Callers send idempotent and non-idempotent requests, and the demand surges in
// one pool after the other. Meanwhile a script publishes configurations, reboots every pool
// in a maintenance wave, kills an entry, makes the log unavailable for a while and moves
// instances between pools.
//
// The report is a pure function of ledgers: the outcomes that the callers received, the runs
// that the targets recorded and the actions that the platform performed. It uses nothing
// that the entries report about themselves.
package crandemo
