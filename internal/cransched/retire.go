package cransched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

// retireHorizon is the longest time that a target may take to become empty for its instance to be
// retired. The peak of a pool lasts few seconds, and the move itself takes moveTime.
const retireHorizon = 2000 * time.Millisecond

// retireSurplus retires instances of pools that have more than they need while other pools lack some:
// their targets take no further tasks, so that they become empty and can be moved. It answers demand
// that turns from one pool to the next. The tasks of the pool whose peak is over are spread over all of
// its instances, and without it each of them would stay in use as long as any task is left to place.
func (s *Scheduler) retireSurplus(pools []cranpool.Pool, balances []cranpool.Balance) {
	supply, lacking := map[string]*cranpool.Supply{}, 0
	for i := range pools {
		p := &pools[i]
		supply[p.Name] = &p.Supply
		if p.Standby {
			lacking -= len(p.Supply.Empty)
		}
	}
	empty := func(b *cranpool.Balance) int { return min(max(b.Total-b.Needed, 0), len(supply[b.Pool].Empty)) }
	for i := range balances {
		b := &balances[i]
		lacking += max(b.Needed-b.Total, 0) - empty(b)
	}
	retired := map[*target]bool{}
	for i := range balances {
		b := &balances[i]
		free := b.Total + supply[b.Pool].Retiring - b.Needed - empty(b)
		for _, t := range s.soonestEmpty(b.Pool, min(free, lacking)) {
			retired[t] = true
			lacking--
		}
	}
	for _, t := range s.sorted {
		if t.retiring != retired[t] {
			t.retiring = retired[t]
			if t.retiring {
				s.emit(LogEntry{Kind: LogTargetRetiring, Target: t.info.ID, Reason: t.info.Pool})
			}
		}
	}
}

// soonestEmpty returns up to n targets of a pool that are in use, in the order in which they are expected
// to become empty. Those that are retiring already come first, so that the choice is stable.
func (s *Scheduler) soonestEmpty(pool string, n int) []*target {
	if n <= 0 {
		return nil
	}
	type choice struct {
		target *target
		left   time.Duration
	}
	var choices []choice
	for _, t := range s.sorted {
		if t.info.Pool != pool || len(t.runs) == 0 || t.leaving || !t.retiring && !t.schedulable(s.clock.Steady) ||
			s.hasPendingOrder(t) || t.hasLongRunning() {
			continue
		}
		if left := s.timeUntilEmpty(t); left <= retireHorizon {
			choices = append(choices, choice{t, left})
		}
	}
	slices.SortFunc(choices, func(a, b choice) int {
		return cmp.Or(compareBools(!a.target.retiring, !b.target.retiring), cmp.Compare(a.left, b.left), cmp.Compare(a.target.info.ID, b.target.info.ID))
	})
	targets := make([]*target, 0, min(n, len(choices)))
	for _, c := range choices[:min(n, len(choices))] {
		targets = append(targets, c.target)
	}
	return targets
}

// timeUntilEmpty returns the expected time until all runs on a target have ended.
func (s *Scheduler) timeUntilEmpty(t *target) time.Duration {
	var longest time.Duration
	for _, r := range t.runs {
		if r.task == nil {
			continue
		}
		left := s.atWork(r.task)
		if r.startedAt != 0 {
			left -= s.clock.Steady - r.startedAt
		}
		longest = max(longest, left)
	}
	return longest
}
