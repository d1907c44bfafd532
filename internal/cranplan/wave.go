package cranplan

import (
	"sort"

	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// NextStops returns the reboots that the waves in progress can start now,
// within the availability budgets and at most maxParallel of a wave at once.
// It spreads them over failure domains: the next instance is one of the
// domain with the fewest stops in progress.
func NextStops(s *cranstate.State, maxParallel int) []cranstate.StopProposed {
	spare := map[string]int{}
	var list []cranstate.StopProposed
	for _, w := range s.Waves() {
		if w.Phase() != cranstate.WaveActive {
			continue
		}
		list = append(list, nextOfWave(s, w, maxParallel-len(w.Active()), spare)...)
	}
	return list
}

func nextOfWave(s *cranstate.State, w cranstate.Wave, free int, spare map[string]int) []cranstate.StopProposed {
	busy := busyDomains(s, w)
	var list []cranstate.StopProposed
	candidates := servingOf(s, w.Pending())
	for free > len(list) && len(candidates) > 0 {
		sort.SliceStable(candidates, func(i, j int) bool {
			return busy[candidates[i].Domain()] < busy[candidates[j].Domain()]
		})
		in := candidates[0]
		candidates = candidates[1:]
		if !takeSpare(s, in.Pool(), spare) {
			continue
		}
		busy[in.Domain()]++
		list = append(list, cranstate.StopProposed{
			Instance: in.ID(), Kind: cranstate.StopReboot, Wave: w.ID(), Base: in.Version(),
		})
	}
	return list
}

// takeSpare takes one instance out of what a pool's budget leaves.
func takeSpare(s *cranstate.State, pool string, spare map[string]int) bool {
	left, known := spare[pool]
	if !known {
		left = s.Available(pool) - s.Floor(pool)
	}
	if left <= 0 {
		spare[pool] = 0
		return false
	}
	spare[pool] = left - 1
	return true
}

func busyDomains(s *cranstate.State, w cranstate.Wave) map[string]int {
	busy := map[string]int{}
	for _, id := range w.Active() {
		if in, ok := s.Instance(id); ok {
			busy[in.Domain()]++
		}
	}
	return busy
}

func servingOf(s *cranstate.State, ids []string) []cranstate.Instance {
	var list []cranstate.Instance
	for _, id := range ids {
		if in, ok := s.Instance(id); ok && in.Available() {
			list = append(list, in)
		}
	}
	return list
}
