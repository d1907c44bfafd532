package cransched

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

// vacateDelay is how long a task waits for a target of its own pool before a target of another
// pool is emptied for it.
const vacateDelay = time.Second

// vacateForStarved empties a target of another pool for each pool with a task that fits on
// none of its targets, if no instance is empty. It answers the load under which
// every pool has more work than its instances can do, so that none of them ever becomes empty
// by itself.
func (s *Scheduler) vacateForStarved(supply map[string]*cranpool.Supply) {
	for _, pool := range slices.Sorted(maps.Keys(s.fleet.vacating)) {
		s.continueVacating(pool)
	}
	for pool := range s.fleet.starvedSince {
		if !s.starved[pool] {
			delete(s.fleet.starvedSince, pool)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(s.starved)) {
		p := supply[pool]
		if !s.starved[pool] || p == nil || p.Arriving > 0 || s.fleet.vacating[pool] != nil {
			continue
		}
		since, known := s.fleet.starvedSince[pool]
		if !known {
			s.fleet.starvedSince[pool] = s.clock.Steady
		}
		if !known || s.clock.Steady-since < vacateDelay {
			continue
		}
		if t := s.cheapestToVacate(pool); t != nil {
			t.cordoned = true
			s.fleet.vacating[pool] = t
			s.emit(LogEntry{Kind: LogTargetCordoned, Target: t.info.ID, Reason: t.info.Instance})
		}
	}
}

// continueVacating moves the instance of a target that is empty by now, or gives up if no task
// of the pool starves any more.
func (s *Scheduler) continueVacating(pool string) {
	t := s.fleet.vacating[pool]
	switch {
	case !s.starved[pool] || s.targets[t.info.ID] != t || t.ended || !t.listed:
		// A target that is missing from the store's list may be back later.
		delete(s.fleet.vacating, pool)
		s.uncordon(t)
	case len(t.runs) == 0 && !s.hasPendingOrder(t) && s.orderMove(t.info.Instance, pool):
		delete(s.fleet.vacating, pool)
	}
}

// isVacating reports whether a target is emptied for another pool.
func (s *Scheduler) isVacating(t *target) bool {
	for _, other := range s.fleet.vacating {
		if other == t {
			return true
		}
	}
	return false
}

// cheapestToVacate returns the target of another pool that becomes empty soonest: the one with
// the fewest runs, none of which is long-running. It returns nil if there is none.
func (s *Scheduler) cheapestToVacate(pool string) *target {
	var best *target
	for _, t := range s.sorted {
		if t.info.Pool == pool || s.starved[t.info.Pool] || !t.schedulable(s.clock.Steady) || s.hasPendingOrder(t) ||
			s.fleet.moves[t.info.Instance] != nil || t.hasLongRunning() {
			continue
		}
		if _, known := s.fleet.instances[t.info.Instance]; !known {
			continue
		}
		if best == nil || len(t.runs) < len(best.runs) {
			best = t
		}
	}
	return best
}

// hasLongRunning reports whether a run of a long-running task, or an unknown one, is on the
// target.
func (t *target) hasLongRunning() bool {
	for _, r := range t.runs {
		if r.step == nil || r.step.LongRunning {
			return true
		}
	}
	return false
}
