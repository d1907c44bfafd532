// Package cranpeer implements calls between entry instances. It uses JSON-RPC 2
// over TCP connections that are opened on demand and kept open.
//
// A peer is another member listed in the control state. The first call on a
// connection, hello, names the incarnation of the peer that opened it. The server
// asks its [Handler] whether it admits that member from the address that the
// connection comes from. Calls of a peer that was not admitted are refused with a
// typed fault and counted, and the connection is closed.
//
// A call returns either its response or a fault. After a fault of kind timeout the
// peer may still have acted on the call.
package cranpeer
