// Package cranwhole holds the tests that run the whole path as separate
// processes on the loopback interface: callers, entry instances, targets and
// a stand-in for the platform. Its verdicts come from the ledgers of the
// targets and of the platform and from what callers were told, never from
// what the entries say of themselves.
package cranwhole
