// Package cranentry implements an entry instance. It connects the control
// state, the replicated log, the peers, the slot broker and the traffic proxy.
// It also decides whether this entry may serve requests.
//
// One goroutine, the control thread, owns the control state. It applies the
// records of the log, publishes immutable views of the state to the goroutines
// that serve traffic, and sends heartbeats. All other goroutines access the
// state through calls that the control thread runs between records.
//
// An entry serves requests while it holds its membership lease. It computes
// the end of the lease by its own clock, from a time before it sent the
// heartbeat, so that it stops serving before another member can declare it
// dead. During a log outage that affects all members no lease can be renewed.
// An entry then continues to serve as long as a majority of the members,
// itself included, report that they can't reach the log either.
//
// The holder of the effects lease reconciles the platform with the control
// state: it reports the platform's list of instances, probes instances,
// requests pending actions until they are done, and proposes the next stops
// of waves.
package cranentry
