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
	bound time.Duration
	// ended is set by the first release or report.
	ended atomic.Bool
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
	wall := now.Round(0).Sub(g.start.Round(0))
	return monotonic < g.bound && wall < g.bound
}
