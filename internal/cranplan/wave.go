package cranplan

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// NextStops returns the reboots that the waves in progress can start now,
// within the availability budgets of the pools and with at most maxParallel stops
// of a wave in progress. It spreads the stops over failure domains: the next
// instance is from the domain with the fewest stops in progress. If several
// instances qualify, it is from the pool that needs the most further rounds, so that
// no single pool prolongs the wave.
func NextStops(s *cranstate.State, maxParallel int) []cranstate.StopProposed {
	var pools poolBudgets
	var list []cranstate.StopProposed
	for _, w := range s.Waves() {
		free := maxParallel - len(w.Active())
		if w.Phase() != cranstate.WavePhaseActive || free <= 0 {
			continue
		}
		if pools == nil {
			pools = budgetsByPool(s)
		}
		list = append(list, nextStopsOfWave(s, w, free, pools)...)
	}
	return list
}

func nextStopsOfWave(s *cranstate.State, w cranstate.Wave, free int, pools poolBudgets) []cranstate.StopProposed {
	candidates := listCandidates(s, w, pools)
	var list []cranstate.StopProposed
	for free > len(list) {
		candidates = withinBudget(candidates)
		if len(candidates) == 0 {
			break
		}
		i := nextCandidate(candidates)
		c := candidates[i]
		candidates[i] = candidate{}
		c.pool.remaining--
		c.pool.pending--
		c.domain.stops++
		list = append(list, cranstate.StopProposed{
			Instance: c.in.ID(), Kind: cranstate.StopReboot, Wave: w.ID(), Base: c.in.Version(),
		})
	}
	return list
}

// domain counts a wave's stops in progress in one failure domain.
type domain struct{ stops int }

// candidate is an instance that a wave may stop. Its zero value replaces a candidate
// in a list once its stop has been proposed.
type candidate struct {
	in     cranstate.Instance
	pool   *poolBudget
	domain *domain
}

// listCandidates returns the wave's pending instances that are available, in the
// order of their ids, and counts the pending instances of each pool.
func listCandidates(s *cranstate.State, w cranstate.Wave, pools poolBudgets) []candidate {
	domains := stopsByDomain(s, w)
	var list []candidate
	for _, id := range w.Pending() {
		in, ok := s.Instance(id)
		if !ok {
			continue
		}
		pools[in.Pool()].pending++
		if !in.Available() {
			continue
		}
		if domains[in.Domain()] == nil {
			domains[in.Domain()] = &domain{}
		}
		list = append(list, candidate{in: in, pool: pools[in.Pool()], domain: domains[in.Domain()]})
	}
	return list
}

func stopsByDomain(s *cranstate.State, w cranstate.Wave) map[string]*domain {
	domains := map[string]*domain{}
	for _, id := range w.Active() {
		in, ok := s.Instance(id)
		if !ok {
			continue
		}
		if domains[in.Domain()] == nil {
			domains[in.Domain()] = &domain{}
		}
		domains[in.Domain()].stops++
	}
	return domains
}

// withinBudget filters the list in place. It keeps the candidates that have not been
// proposed yet and whose pool has budget left, in their order.
func withinBudget(list []candidate) []candidate {
	kept := list[:0]
	for _, c := range list {
		if c.pool != nil && c.pool.remaining > 0 {
			kept = append(kept, c)
		}
	}
	return kept
}

// nextCandidate returns the index of the candidate to stop next.
func nextCandidate(list []candidate) int {
	best := 0
	for i, c := range list {
		if c.before(list[best]) {
			best = i
		}
	}
	return best
}

// before reports whether c is to be stopped before d, which has a lower id.
func (c candidate) before(d candidate) bool {
	if c.domain.stops != d.domain.stops {
		return c.domain.stops < d.domain.stops
	}
	return c.pool.rounds() > d.pool.rounds()
}
