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

// targetRun is a run with the target that ran it.
type targetRun struct {
	cranstandin.Run
	target string
}

// runsByKey gathers each key's runs over all targets.
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

// told reports whether any call of a request ended in a verdict.
func (r request) told(v crantraffic.Outcome) bool {
	return slices.ContainsFunc(r.calls, func(c call) bool { return c.verdict == v })
}

// outcome is what the caller of a request knows in the end. Where one call
// may have run the request, a retry that was not run does not change that.
func (r request) outcome() crantraffic.Outcome {
	switch {
	case r.told(crantraffic.Answered):
		return crantraffic.Answered
	case r.told(crantraffic.Unknown), r.told(noOutcome):
		return crantraffic.Unknown
	default:
		return crantraffic.NotRun
	}
}

// countOutcome counts the requests that ended in a verdict.
func countOutcome(requests []request, v crantraffic.Outcome) int {
	n := 0
	for _, r := range requests {
		if r.outcome() == v {
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

// countLost counts the requests that were answered and never ran, or got no
// outcome from an entry that was alive.
func countLost(requests []request, runs map[string][]targetRun, killed map[string]time.Time) int {
	n := 0
	for _, r := range requests {
		silent := slices.ContainsFunc(r.calls, func(c call) bool { return c.dropped(killed) })
		if silent || r.told(crantraffic.Answered) && len(runs[r.key]) == 0 {
			n++
		}
	}
	return n
}

// dropped reports whether a call got no outcome although its entry was alive
// when it ended.
func (c call) dropped(killed map[string]time.Time) bool {
	if c.verdict != noOutcome {
		return false
	}
	at, dead := killed[c.entry]
	return !dead || c.end.Before(at)
}

// countFalseNotRun counts the requests that ran although every call was told
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

// countCutOff counts the runs that planned stops cut off. The targets and the
// platform both note them; of each instance the higher count is taken.
func countCutOff(t timeline, targets []cranstandin.TargetLedger) int {
	noted := map[string]int{}
	for id, actions := range t.actions {
		for _, a := range actions {
			if planned(a) {
				noted[id] += max(a.InProgressAtStop, 0)
			}
		}
	}
	for _, l := range targets {
		cut := 0
		for _, r := range l.Runs {
			if r.Aborted && t.stoppedAt(l.Target, r.End) {
				cut++
			}
		}
		noted[l.Target] = max(noted[l.Target], cut)
	}
	n := 0
	for _, cut := range noted {
		n += cut
	}
	return n
}

// countBudgetBreaches counts the planned actions that the platform began
// while the other available instances of the pool were fewer than a service
// on it needs. The instance itself isn't available from that moment on.
func countBudgetBreaches(t timeline, config *cranfleet.Config) int {
	n := 0
	for id, actions := range t.actions {
		for _, a := range actions {
			if !planned(a) {
				continue
			}
			pool := t.pool(id, a.AtMs)
			if t.count(pool, a.AtMs) < floorOf(config, pool) {
				n++
			}
		}
	}
	return n
}

// floorOf returns how many instances of a pool must stay available, by the
// strictest service on it.
func floorOf(config *cranfleet.Config, name string) int {
	floor := 0
	pool, _ := config.Pool(name)
	for _, s := range config.Services() {
		if s.Pool() == name {
			floor = max(floor, pool.Instances()-s.MaxUnavailable())
		}
	}
	return floor
}

// countPoolConflicts counts the runs during which the instance belonged to
// another pool than the service's.
func countPoolConflicts(requests []request, runs map[string][]targetRun, t timeline, config *cranfleet.Config) int {
	n := 0
	for _, r := range requests {
		service, _ := config.Service(r.service)
		for _, run := range runs[r.key] {
			if t.conflicts(run, service.Pool()) {
				n++
			}
		}
	}
	return n
}

// conflicts reports whether the instance of a run left the pool, or was in
// another one, between its start and its end.
func (t timeline) conflicts(run targetRun, pool string) bool {
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

// countMoves counts the reassignments that the platform completed.
func countMoves(actions []cranstandin.LedgerEntry) int {
	n := 0
	for _, a := range actions {
		if a.Kind == cranplatform.ActionReassign && a.DoneMs != 0 {
			n++
		}
	}
	return n
}

// worstRollout returns the longest time from the acceptance of a
// configuration until the last live entry had it in force, in seconds.
func worstRollout(publications []publication) float64 {
	var worst time.Duration
	for _, p := range publications {
		worst = max(worst, p.inForce.Sub(p.accepted))
	}
	return worst.Seconds()
}
