package crandemo

import (
	"path"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// targetRun is a run of a request together with the id of its target.
type targetRun struct {
	cranstandin.Run
	target string
}

// runsByKey groups the runs of all targets by the key of their request.
func runsByKey(targets []cranstandin.TargetLedger) map[string][]targetRun {
	runs := map[string][]targetRun{}
	for _, t := range targets {
		for _, r := range t.Runs {
			key := path.Base(r.Path)
			runs[key] = append(runs[key], targetRun{Run: r, target: t.Target})
		}
	}
	return runs
}

// endedWith reports whether any call of the request ended with the outcome.
func (r request) endedWith(o crantraffic.Outcome) bool {
	return slices.ContainsFunc(r.calls, func(c call) bool { return c.outcome == o })
}

// outcome returns the outcome of all calls of a request taken together. If one call may have
// run the request, the outcome stays unknown even if the retry was not run.
func (r request) outcome() crantraffic.Outcome {
	switch {
	case r.endedWith(crantraffic.Answered):
		return crantraffic.Answered
	case r.endedWith(crantraffic.Unknown), r.endedWith(noOutcome):
		return crantraffic.Unknown
	default:
		return crantraffic.NotRun
	}
}

// countOutcome counts the requests with the given outcome.
func countOutcome(requests []request, o crantraffic.Outcome) int {
	n := 0
	for _, r := range requests {
		if r.outcome() == o {
			n++
		}
	}
	return n
}

// countDoubled counts the non-idempotent requests that ran more than once.
func countDoubled(requests []request, runs map[string][]targetRun) int {
	n := 0
	for _, r := range requests {
		if !r.idempotent && len(runs[r.key]) > 1 {
			n++
		}
	}
	return n
}

// countLost counts the requests that were answered although they never ran, or that received
// no outcome from an entry that was alive.
func countLost(requests []request, runs map[string][]targetRun, killedAt map[string]time.Time) int {
	n := 0
	for _, r := range requests {
		dropped := slices.ContainsFunc(r.calls, func(c call) bool { return c.dropped(killedAt) })
		if dropped || r.endedWith(crantraffic.Answered) && len(runs[r.key]) == 0 {
			n++
		}
	}
	return n
}

// dropped reports whether a call received no outcome although its entry was alive when the
// call ended.
func (c call) dropped(killedAt map[string]time.Time) bool {
	if c.outcome != noOutcome {
		return false
	}
	at, wasKilled := killedAt[c.entry]
	return !wasKilled || c.end.Before(at)
}

// countFalseNotRun counts the requests that ran although every call ended with the outcome
// notRun.
func countFalseNotRun(requests []request, runs map[string][]targetRun) int {
	n := 0
	for _, r := range requests {
		if r.outcome() == crantraffic.NotRun && len(runs[r.key]) > 0 {
			n++
		}
	}
	return n
}

// countCutOff counts the runs that were aborted by planned stops. The targets and the
// platform both record aborted runs; for each instance the higher count is used.
func countCutOff(t timeline, targets []cranstandin.TargetLedger) int {
	abortedRuns := map[string]int{}
	for id, actions := range t.actions {
		for _, a := range actions {
			if isPlanned(a) {
				abortedRuns[id] += max(a.InProgressAtStop, 0)
			}
		}
	}
	for _, l := range targets {
		aborted := 0
		for _, r := range l.Runs {
			if r.Aborted && t.underPlannedAction(l.Target, r.End) {
				aborted++
			}
		}
		abortedRuns[l.Target] = max(abortedRuns[l.Target], aborted)
	}
	n := 0
	for _, aborted := range abortedRuns {
		n += aborted
	}
	return n
}

// countBudgetBreaches counts the planned actions that the platform began
// while the pool had fewer other available instances than one of its services needs. The
// instance itself no longer counts as available from the start of the action.
func countBudgetBreaches(t timeline, config *cranfleet.Config) int {
	n := 0
	for id, actions := range t.actions {
		for _, a := range actions {
			if !isPlanned(a) {
				continue
			}
			pool := t.pool(id, a.AtMs)
			if t.count(pool, a.AtMs) < minAvailable(config, pool) {
				n++
			}
		}
	}
	return n
}

// minAvailable returns how many instances of a pool must stay available for the service
// with the strictest availability budget.
func minAvailable(config *cranfleet.Config, name string) int {
	floor := 0
	pool, _ := config.Pool(name)
	for _, s := range config.Services() {
		if s.Pool() == name {
			floor = max(floor, pool.Instances()-s.MaxUnavailable())
		}
	}
	return floor
}

// countPoolConflicts counts the runs during which the instance belonged to a pool other than
// the service's.
func countPoolConflicts(requests []request, runs map[string][]targetRun, t timeline, config *cranfleet.Config) int {
	n := 0
	for _, r := range requests {
		service, _ := config.Service(r.service)
		for _, run := range runs[r.key] {
			if t.outsidePool(run, service.Pool()) {
				n++
			}
		}
	}
	return n
}

// outsidePool reports whether the instance of a run was in another pool, or left the given
// pool, between the start and the end of the run.
func (t timeline) outsidePool(run targetRun, pool string) bool {
	start, end := run.Start.UnixMilli(), run.End.UnixMilli()
	if run.End.IsZero() {
		end = start
	}
	if t.pool(run.target, start) != pool {
		return true
	}
	return slices.ContainsFunc(t.actions[run.target], func(a cranstandin.LedgerEntry) bool {
		return a.Kind == cranplatform.ActionReassign && a.Pool != pool && start < a.DoneMs && a.DoneMs <= end
	})
}

// countMoves counts the moves between pools that the platform completed.
func countMoves(actions []cranstandin.LedgerEntry) int {
	n := 0
	for _, a := range actions {
		if a.Kind == cranplatform.ActionReassign && a.DoneMs != 0 {
			n++
		}
	}
	return n
}

// longestRollout returns the longest time from the acceptance of a
// configuration until the last live entry had applied it, in seconds.
func longestRollout(publications []publication) float64 {
	var worst time.Duration
	for _, p := range publications {
		worst = max(worst, p.inForceAt.Sub(p.acceptedAt))
	}
	return worst.Seconds()
}
