// Package cranembed runs a whole system in one process on loopback sockets: stand-ins
// for the platform and the targets, and entry instances. The demonstration and the
// programs that measure capacity use it, so that they need no other process.
package cranembed
