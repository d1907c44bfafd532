package cranadmit

import (
	"math"
	"time"
)

const (
	// memory is the time constant over which a controller estimates what callers offer. It exceeds the time
	// from a change of the share until the jobs that it has let in are counted, about a second.
	memory = 2 * time.Second
	// correctionTime is the time over which the wait is brought to targetWait of the longest one that meets
	// the objective. In the surge of the tests, 2 s gave 0.03 less goodput and more late jobs.
	correctionTime = 8 * time.Second
	targetWait     = 0.5
	// minShare keeps some jobs coming in, by which the end of a surge shows.
	minShare = 0.005
)

// Controller chooses the admitted share of the work beyond entitlements in a queue of a shard. A share that the
// entry instances derived from the wait alone would let in several times as much as can be served whenever a few
// jobs less wait, since the figures are up to a second old and none of them knows what the others let in.
type Controller struct {
	// arrived is the number of jobs beyond entitlements that arrived, and exposed the time for which callers
	// were let in, as the share in force times the time, both decaying with memory.
	arrived, exposed float64
	share            float64
	updatedAt        time.Duration
}

// NewController returns a controller that admits all work.
func NewController() *Controller { return &Controller{share: 1, exposed: memory.Seconds()} }

// Share returns the admitted share.
func (c *Controller) Share() float64 { return c.share }

// Update returns the share of the work beyond entitlements to be admitted from now on. The objective is that of the
// queue's jobs.
func (c *Controller) Update(q *QueueLoad, objective, now time.Duration) float64 {
	elapsed := min(now-c.updatedAt, memory).Seconds()
	if c.updatedAt == 0 {
		elapsed = 0
	}
	c.updatedAt = now
	kept := math.Exp(-elapsed / memory.Seconds())
	c.arrived = c.arrived*kept + max(q.Arrivals-q.ArrivalsWithin, 0)*elapsed
	c.exposed = c.exposed*kept + c.share*elapsed
	if q.JobTime <= 0 {
		c.share = 1
		return c.share
	}
	served := q.shareBeyond() * (1 + q.Arriving) / q.JobTime.Seconds()
	target := targetWait * max(objective-q.Path, 0).Seconds() * served
	waiting := q.Ahead.Seconds() / q.JobTime.Seconds()
	wanted := max(served+(target-waiting)/correctionTime.Seconds(), 0)
	offered := c.arrived / max(c.exposed, minShare)
	if offered <= wanted {
		c.share = 1
		return c.share
	}
	c.share = max(wanted/offered, minShare)
	return c.share
}
