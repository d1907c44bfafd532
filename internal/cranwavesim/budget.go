package cranwavesim

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// budget checks that planned stops keep the availability budgets of the pools. At each planned
// step, the transition of an instance to cordoned or stopping, it checks the pool of the
// instance. It counts available instances by the effects of events only, so the check does
// not depend on the reducer's own count.
type budget struct {
	// minAvailable is the number of instances of each pool that must stay available.
	minAvailable map[string]int
	// available is the current number of available instances of each pool.
	available map[string]int
	// plannedOut holds the instances that planned stops keep out of service.
	plannedOut map[string]bool
	// plannedOutByPool counts the instances in plannedOut by pool.
	plannedOutByPool map[string]int
	// maxUnavailable is how many instances of a pool planned stops may keep out of service
	// at once.
	maxUnavailable int
	// transitions counts all transitions. breaches counts planned steps that breached a
	// budget.
	transitions, breaches int
}

func newBudget(maxUnavailable int) *budget {
	return &budget{
		minAvailable: map[string]int{}, available: map[string]int{}, plannedOut: map[string]bool{},
		plannedOutByPool: map[string]int{}, maxUnavailable: maxUnavailable,
	}
}

// record updates the counts with one transition and checks it if it is a planned step.
func (b *budget) record(e cranstate.InstanceChanged) {
	b.transitions++
	if e.From == cranstate.PhaseServing {
		b.available[e.Pool]--
	}
	if e.To == cranstate.PhaseServing {
		b.available[e.Pool]++
		b.endPlanned(e)
	}
	switch e.To {
	case cranstate.PhaseCordoned:
		b.plannedOut[e.Instance] = true
		b.plannedOutByPool[e.Pool]++
		b.checkPool(e.Pool)
	case cranstate.PhaseStopping:
		b.checkPool(e.Pool)
	default:
	}
}

// endPlanned ends the planned stop of an instance that is back in service, if it had one.
func (b *budget) endPlanned(e cranstate.InstanceChanged) {
	if b.plannedOut[e.Instance] {
		delete(b.plannedOut, e.Instance)
		b.plannedOutByPool[e.Pool]--
	}
}

// checkPool counts a breach if too few instances of the pool are available, or if planned
// stops keep too many of them out of service.
func (b *budget) checkPool(pool string) {
	if b.available[pool] < b.minAvailable[pool] || b.plannedOutByPool[pool] > b.maxUnavailable {
		b.breaches++
	}
}
