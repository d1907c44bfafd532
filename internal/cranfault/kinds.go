package cranfault

import "slices"

// kinds holds every kind, in the order in which the constants are declared.
var kinds = []Kind{
	Invalid, StaleRevision, UnknownInstance, UnknownPool, UnknownService, UnknownMember,
	BudgetSpent, Busy, LeaseHeld, LeaseLost, WaveHalted, LogUnavailable, RecordsExpired,
	Isolated, NotReady, QueueFull, DeadlineTooShort, NoTarget, AlreadyClaimed, Malformed,
	TooLarge, UnknownPeer, Conflict, Cancelled, Unauthenticated, Timeout,
}

// Kinds returns all kinds, for example to initialise counters.
func Kinds() []Kind { return slices.Clone(kinds) }
