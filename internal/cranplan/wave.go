package cranplan

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// NextStops returns the reboots that the waves in progress can start now,
// within the availability budgets and at most maxParallel of a wave at once.
// It spreads them over failure domains: the next instance is one of the
// domain with the fewest stops in progress, and among these one of the pool
// with the most rounds left, so that no pool is left over at the end.
func NextStops(s *cranstate.State, maxParallel int) []cranstate.StopProposed {
	var pools tallies
	var list []cranstate.StopProposed
	for _, w := range s.Waves() {
		free := maxParallel - len(w.Active())
		if w.Phase() != cranstate.WavePhaseActive || free <= 0 {
			continue
		}
		if pools == nil {
			pools = tallyPools(s)
		}
		list = append(list, nextOfWave(s, w, free, pools)...)
	}
	return list
}

func nextOfWave(s *cranstate.State, w cranstate.Wave, free int, pools tallies) []cranstate.StopProposed {
	candidates := candidatesOf(s, w, pools)
	var list []cranstate.StopProposed
	for free > len(list) {
		candidates = withSpare(candidates)
		if len(candidates) == 0 {
			break
		}
		i := first(candidates)
		c := candidates[i]
		candidates[i] = candidate{}
		c.pool.spare--
		c.pool.pending--
		c.domain.stops++
		list = append(list, cranstate.StopProposed{
			Instance: c.in.ID(), Kind: cranstate.StopReboot, Wave: w.ID(), Base: c.in.Version(),
		})
	}
	return list
}

// domain counts a wave's stops in one failure domain.
type domain struct{ stops int }

// candidate is an instance that a wave may stop; a zero one was taken.
type candidate struct {
	in     cranstate.Instance
	pool   *tally
	domain *domain
}

// candidatesOf returns the wave's pending instances that serve, in order of
// id.
func candidatesOf(s *cranstate.State, w cranstate.Wave, pools tallies) []candidate {
	domains := domainsOf(s, w)
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

func domainsOf(s *cranstate.State, w cranstate.Wave) map[string]*domain {
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

// withSpare keeps the candidates that are not taken and whose pool has budget
// left, in their order.
func withSpare(list []candidate) []candidate {
	kept := list[:0]
	for _, c := range list {
		if c.pool != nil && c.pool.spare > 0 {
			kept = append(kept, c)
		}
	}
	return kept
}

// first returns the index of the candidate to stop next.
func first(list []candidate) int {
	best := 0
	for i, c := range list {
		if c.before(list[best]) {
			best = i
		}
	}
	return best
}

// before reports whether c goes before d, which has a lower id.
func (c candidate) before(d candidate) bool {
	if c.domain.stops != d.domain.stops {
		return c.domain.stops < d.domain.stops
	}
	return c.pool.rounds() > d.pool.rounds()
}
