// Package cranplatform is the boundary to the platform: an append-only log
// with offsets, a lagging list of instances, and actions on instances.
//
// The log stamps every record with its own clock when it appends it, so that
// stamps never decrease along a stream; leases are judged by these stamps
// alone. The log keeps records for a limited time: a read below the oldest
// kept offset fails with cranfault.RecordsExpired and never skips. An
// append's answer can be lost after it took effect. Actions carry an id, and
// the platform performs one id once.
//
// The published protocol is JSON over HTTP:
//
//	POST /streams/{stream}/records              append, answers the offsets
//	GET  /streams/{stream}/records?from=&max=&waitMs=   read, long poll
//	GET  /instances                             the lagging list
//	POST /actions                               reboot or reassign an instance
//	GET  /actions/{id}                          the outcome of an action
package cranplatform
