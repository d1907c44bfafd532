package cransched

import (
	"maps"
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

// yielding is a target with late work that is emptied for a pool.
type yielding struct {
	target *target
	pool   string
}

// yieldLateWork empties targets on which late work runs for pools that lack instances for punctual work, as
// package cranpool decides, and moves those that are empty by now.
func (s *Scheduler) yieldLateWork(pools []cranpool.Pool, balances []cranpool.Balance) {
	lacks := map[string]int{}
	for _, b := range balances {
		lacks[b.Pool] = b.Punctual - b.Total
	}
	for _, id := range slices.Sorted(maps.Keys(s.fleet.yielding)) {
		s.continueYielding(id, lacks)
	}
	for i := range pools {
		pools[i].Promised = s.countPromised(pools[i].Name)
	}
	for _, y := range s.fleet.planner.Yields(s.clock.Steady, pools, balances) {
		emptied := 0
		for ; emptied < y.Count; emptied++ {
			t := s.cheapestToYield(y.From)
			if t == nil {
				break
			}
			t.cordoned = true
			s.fleet.yielding[t.info.ID] = &yielding{target: t, pool: y.To}
			s.emit(LogEntry{Kind: LogTargetCordoned, Target: t.info.ID, Reason: t.info.Instance})
		}
		if emptied > 0 {
			s.emit(InstancesYielded{From: y.From, To: y.To, Instances: emptied})
		}
	}
}

// countPromised counts the targets that are emptied for a pool.
func (s *Scheduler) countPromised(pool string) int {
	n := 0
	for _, y := range s.fleet.yielding {
		if y.pool == pool {
			n++
		}
	}
	return n
}

// continueYielding moves the instance of a target that is empty by now, or gives up if its new pool lacks no
// instance any more. A target that has restarted takes tasks again.
func (s *Scheduler) continueYielding(id string, lacks map[string]int) {
	y := s.fleet.yielding[id]
	t := y.target
	switch {
	case !t.cordoned:
		delete(s.fleet.yielding, id)
	case lacks[y.pool] <= 0 || s.targets[id] != t || t.ended || !t.listed:
		t.cordoned = t.leaving || s.fleet.moves[t.info.Instance] != nil
		delete(s.fleet.yielding, id)
	case len(t.runs) == 0 && !s.hasPendingOrder(t) && s.fleet.budget.available() > 0 && s.orderMove(t.info.Instance, y.pool):
		lacks[y.pool]--
		delete(s.fleet.yielding, id)
	}
}

// cheapestToYield returns the target of a pool that becomes empty soonest: the one with the fewest runs, none of
// which is long-running. Targets of instances that are due for maintenance are left to their wave. It returns
// nil if there is none.
func (s *Scheduler) cheapestToYield(pool string) *target {
	var best *target
	for _, t := range s.sorted {
		if t.info.Pool != pool || !t.schedulable(s.clock.Steady) || s.hasPendingOrder(t) || t.hasLongRunning() || t.leaving || s.fleet.moves[t.info.Instance] != nil {
			continue
		}
		if _, known := s.fleet.instances[t.info.Instance]; known && (best == nil || len(t.runs) < len(best.runs)) {
			best = t
		}
	}
	return best
}
