// Package cranslotsim measures how well entries share the slots of targets,
// by discrete events in virtual time: arrivals, hops between entries, and
// service. There are no sockets and no processes; the lending scheme is the
// real cranslot.Broker.
//
// The unit of time is the mean service time. All schemes of one setting see
// the same requests: the same arrival times, entries and service times.
//
// The schemes are
//
//	pooled   one queue in front of all slots, the lower bound
//	own      each entry uses the slots that it owns, and no others
//	forward  own, but a request that finds no slot goes to the entry that had
//	         the most free slots in the last exchange of counts
//	choices  each request goes to the better of two random targets by the
//	         entry's own counts, and queues at the target
//	lending  cranslot.Broker with messages between the entries
package cranslotsim
