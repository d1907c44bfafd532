// Package cranembed runs the whole path in one process: the stand-ins for the
// platform and the targets, and entry instances, on loopback sockets. The
// demonstration and the measuring programs use it, so that they need nothing
// else.
package cranembed
