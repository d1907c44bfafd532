// Package cranwhole holds the end-to-end tests. They run callers in the test
// process, and entry instances, targets and a stand-in for the platform as
// separate processes on the loopback interface. The tests check the ledgers of
// the targets and of the platform against the outcomes that callers received.
// They don't rely on what the entries report about requests.
package cranwhole
