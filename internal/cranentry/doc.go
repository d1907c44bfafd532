// Package cranentry is an entry instance: it puts the control state, the log,
// the peers, the slots and the traffic together. It holds no rules of its own
// but those of its own right to serve.
//
// One control thread owns the control state. It applies the records of the
// log, publishes immutable views of the state to the traffic threads, and
// sends heartbeats. Everything else asks it through calls that it runs
// between records.
//
// An entry serves while it holds its membership lease, judged by its own
// clock from the moment before the heartbeat was sent, so that it stops
// before anybody can write it off. While the log is down for everybody no
// lease can be renewed; an entry then goes on as long as it hears from a
// majority of the members that they lack the log as well.
//
// The holder of the effects lease turns what the state says into actions on
// the platform: it reports the platform's list, probes instances, repeats
// pending actions and proposes the next stops of waves.
package cranentry
