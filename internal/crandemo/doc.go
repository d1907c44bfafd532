// Package crandemo runs a whole deployment in one process and judges it.
//
// A demonstration starts stand-ins for the platform and the targets, and
// entry instances, through cranembed. Callers offer idempotent and
// non-idempotent requests whose demand surges pool by pool, while a script
// publishes configurations, maintains every pool in a wave, kills an entry,
// takes the log down for a while and moves instances.
//
// The verdict is a pure function over ledgers: what the callers were told,
// what the targets ran and what the platform did. Nothing that the entries
// say of themselves enters it.
package crandemo
