// Package cranslotsim measures how well entries share the slots of targets. It simulates
// discrete events in virtual time: arrivals of requests, messages between entries, and the
// ends of requests. There are no sockets and no processes. The lending scheme runs the real
// cranslot.Broker.
//
// The unit of time is the mean service time. All schemes with otherwise equal settings get the
// same requests, with the same arrival times, entries and service times.
//
// The schemes are
//
//	pooled   one queue for all slots, which gives the lower bound of the waits
//	own      each entry uses only the slots that it owns
//	forward  like own, but a request that gets no slot is forwarded to the entry
//	         that had the most free slots at the last exchange of counts
//	choices  each request goes to the less loaded of two random targets, by the
//	         entry's own counts, and queues at the target
//	lending  cranslot.Broker, whose entries lend each other slots by messages
package cranslotsim
