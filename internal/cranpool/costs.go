package cranpool

import "time"

// Costs are the prices by which the planner decides, in any common unit.
type Costs struct {
	// IdlePerSecond is what an instance costs per second in a pool that isn't a standby pool.
	IdlePerSecond float64
	// Move is what the move of an instance costs.
	Move float64
}

// DefaultCosts returns the costs in seconds of an instance. On the users' bench a move costs about as much as
// 0.6 s of an instance.
func DefaultCosts() Costs { return Costs{IdlePerSecond: 1, Move: 0.6} }

// breakEven returns the time in which an idle instance costs as much as a move to a standby pool and back.
func (c Costs) breakEven() time.Duration {
	if c.IdlePerSecond <= 0 {
		return time.Hour
	}
	return time.Duration(2 * c.Move / c.IdlePerSecond * float64(time.Second))
}
