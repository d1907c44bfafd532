// Package cranplatform defines the interface to the platform on which the fleet
// runs, and its HTTP client. The platform offers an append-only log with offsets, a
// list of instances that lags behind their actual state, and actions on instances.
//
// The log adds a timestamp of its own clock to every appended record. Timestamps
// never decrease along a stream, and the expiry of leases depends on them alone. The
// log keeps records for a limited time: a read below the oldest offset that it keeps
// fails with cranfault.RecordsExpired and never skips records. The response to an
// append can be lost after the append took effect. Each action has an id, and the
// platform performs the actions with the same id only once.
//
// The published protocol is JSON over HTTP:
//
//	POST /streams/{stream}/records              append; returns the offsets
//	GET  /streams/{stream}/records?from=&max=&waitMs=   read with a long poll
//	GET  /instances                             list the instances
//	POST /actions                               reboot or reassign an instance
//	GET  /actions/{id}                          status of an action
package cranplatform
