package cranplan

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// poolBudget is the availability budget of a pool and its use.
type poolBudget struct {
	// remaining is the number of instances of the pool that may be stopped in
	// addition to those that are unavailable now.
	remaining int
	// pending is the number of instances of the pool that the wave still has to
	// stop.
	pending int
	// allowed is the number of instances of the pool that may be unavailable at
	// once.
	allowed int
}

// rounds returns the minimum number of rounds of stops that the pool still needs,
// as a fraction.
func (b *poolBudget) rounds() float64 { return float64(b.pending) / float64(max(b.allowed, 1)) }

// poolBudgets holds the budget of each pool that has instances, by name.
type poolBudgets map[string]*poolBudget

// budgetsByPool computes the budgets of all pools in one pass over the instances.
func budgetsByPool(s *cranstate.State) poolBudgets {
	pools := poolBudgets{}
	for _, in := range s.Instances() {
		b, known := pools[in.Pool()]
		if !known {
			b = newPoolBudget(s, in.Pool())
			pools[in.Pool()] = b
		}
		if in.Available() {
			b.remaining++
		}
	}
	return pools
}

func newPoolBudget(s *cranstate.State, name string) *poolBudget {
	b := &poolBudget{}
	floor := s.MinAvailable(name)
	b.remaining = -floor
	if config := s.Config(); config != nil {
		pool, _ := config.Pool(name)
		b.allowed = pool.Instances() - floor
	}
	return b
}
