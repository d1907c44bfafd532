// Package cranpeer carries messages between entry instances: JSON-RPC 2 over
// TCP connections that are opened on demand and kept.
//
// A peer is another member of the control state. The first message on a
// connection names the caller's incarnation; the server admits it only if
// the control state has that member at the address that the connection comes
// from. Everybody else is a stranger: every call of theirs is refused with a
// typed fault and counted, and the connection is closed.
//
// A call either returns its answer or a fault. After a fault of kind timeout
// the peer may have acted on the call all the same.
package cranpeer
