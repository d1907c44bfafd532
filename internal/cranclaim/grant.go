package cranclaim

import (
	"sync/atomic"
	"time"
)

// Grant is the right to run the request of a key once.
type Grant struct {
	key     Key
	attempt uint64
	offset  uint64
	// start is the time at which the claim was made, before its append.
	start time.Time
	// startWall is start without its monotonic clock reading.
	startWall time.Time
	// timeout is the time from start after which the grant is no longer usable.
	timeout time.Duration
	// ended is set by the first release or report.
	ended atomic.Bool
}

// newGrant returns the grant of a claim that was made at start.
func newGrant(key Key, attempt, offset uint64, start time.Time, timeout time.Duration) *Grant {
	return &Grant{
		key: key, attempt: attempt, offset: offset,
		start: start, startWall: start.Round(0), timeout: timeout,
	}
}

// Key returns the claimed key.
func (g *Grant) Key() Key { return g.key }

// Offset returns the offset of the claim in its stream.
func (g *Grant) Offset() uint64 { return g.offset }

// Deadline returns the time from which on the grant must not be used.
func (g *Grant) Deadline() time.Time { return g.start.Add(g.timeout) }

// Usable reports whether the request may be sent at the local time now. Call it
// right before sending. It checks both the monotonic and the wall clock, since
// some machines stop the monotonic clock while they are suspended.
func (g *Grant) Usable(now time.Time) bool {
	if g.ended.Load() {
		return false
	}
	monotonic := now.Sub(g.start)
	wall := now.Round(0).Sub(g.startWall)
	return monotonic < g.timeout && wall < g.timeout
}
