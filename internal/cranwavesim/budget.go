package cranwavesim

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// budget counts every transition and compares each planned step, into cordoned
// or stopping, with the pool's floor. It counts from
// effects alone, not from the reducer's own count of available instances.
type budget struct {
	floor     map[string]int
	available map[string]int
	// away holds the instances that planned stops keep out of service.
	away map[string]bool
	// planned counts away by pool.
	planned map[string]int
	// allowed is how many instances of a pool may be away by plan.
	allowed int
	// checks counts transitions, broken planned steps that broke a budget.
	checks, broken int
}

func newBudget(allowed int) *budget {
	return &budget{
		floor: map[string]int{}, available: map[string]int{}, away: map[string]bool{},
		planned: map[string]int{}, allowed: allowed,
	}
}

// note takes in one transition.
func (b *budget) note(e cranstate.InstanceChanged) {
	b.checks++
	if e.From == cranstate.PhaseServing {
		b.available[e.Pool]--
	}
	if e.To == cranstate.PhaseServing {
		b.available[e.Pool]++
		b.release(e)
	}
	switch e.To {
	case cranstate.PhaseCordoned:
		b.away[e.Instance] = true
		b.planned[e.Pool]++
		b.require(e.Pool)
	case cranstate.PhaseStopping:
		b.require(e.Pool)
	default:
	}
}

func (b *budget) release(e cranstate.InstanceChanged) {
	if b.away[e.Instance] {
		delete(b.away, e.Instance)
		b.planned[e.Pool]--
	}
}

// require counts a planned step that leaves a pool below its floor.
func (b *budget) require(pool string) {
	if b.available[pool] < b.floor[pool] || b.planned[pool] > b.allowed {
		b.broken++
	}
}
