package cransched

import (
	"cmp"
	"maps"
	"slices"
)

// yielding is a target that is emptied so that its instance can be moved to a pool.
type yielding struct {
	target *target
	pool   string
}

// yieldToPunctual empties targets of pools whose work is late already for pools that lack
// instances for work that can still complete in time. It answers the load after an outage or a
// surge: a backlog that can't be served in time any more would keep the instances of its pool
// busy for seconds, while the demand has turned to another pool. Late work is delayed, but not
// dropped: each pool keeps the instances that its long-running and its punctual work needs.
func (s *Scheduler) yieldToPunctual(balances []*poolBalance, supply map[string]*poolSupply) {
	s.continueYielding(balances)
	_, reserve := s.reserve(supply)
	available := len(reserve)
	var donors []*target
	for _, b := range balances {
		available += len(b.surplus(supply[b.pool]))
		donors = append(donors, s.donors(b)...)
	}
	sortByRuns(donors)
	for _, b := range balances {
		lacking := max(b.current-b.total, 0)
		covered := min(available, lacking)
		available -= covered
		for n := lacking - covered; n > 0 && len(donors) > 0; n-- {
			t := donors[0]
			donors = donors[1:]
			t.cordoned = true
			s.fleet.yielding[t.info.Instance] = yielding{t, b.pool}
			s.emit(LogEntry{Kind: LogTargetCordoned, Target: t.info.ID, Reason: t.info.Instance})
		}
	}
}

// continueYielding moves the instances of targets that are empty by now. It gives up those for
// whose pool enough instances have come from elsewhere.
func (s *Scheduler) continueYielding(balances []*poolBalance) {
	byPool := map[string]*poolBalance{}
	for _, b := range balances {
		byPool[b.pool] = b
	}
	for _, instance := range slices.Sorted(maps.Keys(s.fleet.yielding)) {
		y := s.fleet.yielding[instance]
		t, b := y.target, byPool[y.pool]
		switch {
		case s.targets[t.info.ID] != t || t.ended || !t.listed:
			delete(s.fleet.yielding, instance)
		case b == nil || b.total > b.punctual:
			t.cordoned = false
			delete(s.fleet.yielding, instance)
			if b != nil {
				b.total--
			}
		case len(t.runs) > 0 || !t.fenced:
			// The end of a wave or of a failed move makes targets schedulable again.
			t.cordoned = true
		case s.fleet.budget.allows() && s.orderMove(instance, y.pool):
			delete(s.fleet.yielding, instance)
		}
	}
}

// donors returns the targets of a pool that may be emptied: as many as only its late work needs,
// and none with long-running tasks. A pool without late work empties by itself.
func (s *Scheduler) donors(b *poolBalance) []*target {
	excess := min(b.members, b.needed) - b.punctual
	if excess <= 0 {
		return nil
	}
	var donors []*target
	for _, t := range s.sorted {
		if t.info.Pool != b.pool || len(t.runs) == 0 || t.leaving || !t.schedulable(s.clock.Steady) || t.hasLongRunning() ||
			s.hasPendingOrder(t) || s.fleet.moves[t.info.Instance] != nil {
			continue
		}
		if _, known := s.fleet.instances[t.info.Instance]; known {
			donors = append(donors, t)
		}
	}
	sortByRuns(donors)
	return donors[:min(excess, len(donors))]
}

// sortByRuns sorts targets by the number of their runs, so that the first one is empty soonest.
func sortByRuns(targets []*target) {
	slices.SortStableFunc(targets, func(a, b *target) int { return cmp.Compare(len(a.runs), len(b.runs)) })
}
