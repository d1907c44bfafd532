package cranclaim

import (
	"sync/atomic"
	"time"
)

// Grant is the right to run one request once.
type Grant struct {
	key     Key
	attempt uint64
	offset  uint64
	// start is when the claim was made, before its append.
	start time.Time
	// startWall is the same moment by the wall clock alone.
	startWall time.Time
	bound     time.Duration
	// ended is set by the first release or report.
	ended atomic.Bool
}

// newGrant returns the grant of a claim that was made at start.
func newGrant(key Key, attempt, offset uint64, start time.Time, bound time.Duration) *Grant {
	return &Grant{
		key: key, attempt: attempt, offset: offset,
		start: start, startWall: start.Round(0), bound: bound,
	}
}

// Key returns the key that is held.
func (g *Grant) Key() Key { return g.key }

// Offset returns the place of the claim in its stream.
func (g *Grant) Offset() uint64 { return g.offset }

// Deadline returns the time from which the grant may not be used any more.
func (g *Grant) Deadline() time.Time { return g.start.Add(g.bound) }

// Usable reports whether the request may be sent at the local time now. It is
// asked right before the request is sent. It goes by the monotonic clock and
// by the wall clock as well, since some machines stop the monotonic one while
// they are suspended.
func (g *Grant) Usable(now time.Time) bool {
	if g.ended.Load() {
		return false
	}
	monotonic := now.Sub(g.start)
	wall := now.Round(0).Sub(g.startWall)
	return monotonic < g.bound && wall < g.bound
}
