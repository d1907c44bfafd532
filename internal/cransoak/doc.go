// Package cransoak runs soak tests of the cranberrypick program. It starts several
// entry instances as separate processes on one machine, together with stand-ins for
// the targets and the platform's store. It submits jobs and injects faults from
// outside the processes:
//
//   - Proxies on the loopback interface delay, stall or reset connections or drop
//     responses.
//   - Signals stop, kill, pause or resume processes, or make them reload settings.
//     Processes that were stopped or killed are started again.
//   - The store is unavailable, loses responses to appends or drops its history.
//   - New versions of the configuration are published.
//   - Processes are limited to a share of a processor and their links to a rate, as on
//     small machines.
//
// Afterwards it compares the outcomes that callers received with what the targets
// ran. All random choices follow from a seed.
package cransoak
