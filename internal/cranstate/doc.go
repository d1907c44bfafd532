// Package cranstate holds the control state of the fleet and the one reducer
// that changes it.
//
// The platform's log is the only place where anything is agreed. Every entry
// instance applies the same records in the same order to its own State, so a
// decision is a record at an offset that the reducer accepted. The reducer
// has no clock, does no I/O and draws no random numbers: the time is the
// platform's stamp on each record. What the world must be told comes back as
// effects, which are data.
//
// The concepts are these. A member is one incarnation of an entry instance;
// it holds a lease that its heartbeats renew. An instance is a target; it
// belongs to exactly one pool. A stop is a planned interruption of an
// instance, a reboot or a move: the instance is first cordoned, then every
// member that was present reports that it has no request in progress there
// (the drain barrier), and only then is the platform asked to act. A wave is
// a set of reboots that goes on by itself and halts when instances fail
// inside it. A service's availability budget bounds how many instances of
// its pool may be unavailable before another planned stop is accepted.
//
// The reducer refuses a proposal that would break a rule and leaves the
// state as it was; the refusal is an effect that carries a typed fault.
package cranstate
