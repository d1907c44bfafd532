package cranfault

import "slices"

// kinds holds every kind, in the order of the constants.
var kinds = []Kind{
	Invalid, StaleRevision, UnknownInstance, UnknownPool, UnknownService, UnknownMember,
	BudgetSpent, Busy, LeaseHeld, LeaseLost, WaveHalted, LogUnavailable, RecordsExpired,
	Isolated, NotReady, QueueFull, DeadlineTooShort, NoTarget, AlreadyClaimed, Malformed,
	TooLarge, UnknownPeer, Conflict, Cancelled, Timeout,
}

// Kinds returns every kind, so that counters and pages can list them.
func Kinds() []Kind { return slices.Clone(kinds) }
