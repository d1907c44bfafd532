package cransched

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// isIdle reports whether nothing runs on an instance.
func (s *Scheduler) isIdle(instance string) bool {
	t := s.currentTarget(instance)
	return t == nil || t.fenced && len(t.runs) == 0
}

// sortByEvacuationCost returns the members whose maintenance has not started yet: first
// those with a stored order, then those on which nothing runs, then those that are already
// cordoned, then the others by the runs on them.
func (s *Scheduler) sortByEvacuationCost(w *wave) []*member {
	costs := make(map[*member]int, len(w.members))
	list := make([]*member, 0, len(w.members))
	for _, m := range w.members {
		if m.state != maintenanceStarted && s.exists(m) {
			costs[m] = s.evacuationCost(m)
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *member) int { return costs[a] - costs[b] })
	return list
}

// evacuationCost ranks a member whose maintenance has not started; a lower rank is
// evacuated earlier.
func (s *Scheduler) evacuationCost(m *member) int {
	if m.state == maintenanceOrdered {
		return -1
	}
	t := s.currentTarget(m.instance)
	switch {
	case t == nil || len(t.runs) == 0:
		return 0
	case t.cordoned:
		return 1
	case t.longRunningResources() != cranjob.Resources{}:
		// Instances with long-running tasks take the longest to empty. Those with the most
		// tasks of one step come first, because these leave one at a time.
		return 2 + maxRunsPerTarget - t.maxLongRunningPerStep()
	}
	// Other instances become empty when their tasks finish.
	return 3 + maxRunsPerTarget + len(t.runs)
}

// maxLongRunningPerStep returns the largest number of long-running tasks of one step on the
// target.
func (t *target) maxLongRunningPerStep() int {
	most := 0
	for key, r := range t.runs {
		if r.step != nil && r.step.LongRunning {
			most = max(most, t.countRuns(StepName{key.task.Job, key.task.Occurrence, key.task.Step}))
		}
	}
	return min(most, maxRunsPerTarget)
}

// currentTarget returns the target that currently runs on an instance, or nil. One that the list
// of instances doesn't name must have responded or have runs, since any entry may name an instance.
func (s *Scheduler) currentTarget(instance string) *target {
	if t := s.targets[s.fleet.instances[instance].Target]; t != nil && t.info.ID != "" {
		return t
	}
	for _, t := range s.sorted {
		if t.info.Instance == instance && t.listed && (t.fenced || len(t.runs) > 0) {
			return t
		}
	}
	return nil
}

// evacuate cordons the target of an instance and stops its long-running tasks, as far as
// their MaxUnavailable allows it, so that they are placed elsewhere. It reports whether
// nothing runs there any more.
func (s *Scheduler) evacuate(m *member) bool {
	i := s.fleet.instances[m.instance]
	t := s.currentTarget(m.instance)
	if t == nil {
		// If the list names a target, this owner doesn't know that target yet, nor what runs on it.
		// Instances in standby pools run nothing.
		return i.Up && (i.Target == "" || s.isStandby(i.Pool))
	}
	m.evacuating = true
	if !t.cordoned {
		t.cordoned = true
		s.emit(LogEntry{Kind: LogTargetCordoned, Target: t.info.ID, Reason: m.instance})
	}
	if !t.fenced {
		return false
	}
	for _, r := range t.sortedRuns() {
		if r.phase == planned {
			s.stopRun(t, r, "the instance is due for maintenance")
			continue
		}
		if r.phase == confirmed && r.step != nil && r.step.LongRunning && s.mayEvict(r) {
			s.stopRun(t, r, "the instance is due for maintenance")
		}
	}
	return len(t.runs) == 0
}

// evictLongRunning stops long-running tasks on the instances that are due for maintenance, from
// the beginning of the wave and on all of them, so that they are placed on other instances. The
// tasks of a step may only leave one after the other, and that takes the longest of all. Until
// its long-running tasks are gone, an instance goes on with other tasks.
func (s *Scheduler) evictLongRunning(w *wave) {
	var due []*target
	for _, m := range w.members {
		if t := s.currentTarget(m.instance); t != nil && m.state == pending && s.exists(m) {
			t.leaving = true
			due = append(due, t)
		}
	}
	for _, t := range due {
		if !t.fenced || t.cordoned || s.fleet.moves[t.info.Instance] != nil {
			continue
		}
		for _, r := range t.sortedRuns() {
			if r.phase == confirmed && r.step != nil && r.step.LongRunning && r.task != nil && s.mayEvict(r) && s.fitsElsewhere(r, t.info.Pool) {
				s.stopRun(t, r, "the instance is due for maintenance")
			}
		}
	}
}

// fitsElsewhere reports whether a long-running task fits on a target of the pool whose instance
// is not due for maintenance.
func (s *Scheduler) fitsElsewhere(r *run, pool string) bool {
	st := r.task.job.stageOf(r.task)
	return slices.ContainsFunc(s.sorted, func(t *target) bool {
		return t.info.Pool == pool && !t.leaving && t.schedulable(s.clock.Steady) && !s.hasPendingOrder(t) && s.canPlace(st, t)
	})
}

// mayEvict reports whether a long-running task may be stopped for maintenance: the number of
// other unavailable tasks of its step, for whatever reason, must be below MaxUnavailable.
func (s *Scheduler) mayEvict(r *run) bool {
	if r.task == nil || r.task.run != r {
		return true
	}
	// Targets report a run until it has ended, including runs that the predecessor has
	// ordered to stop. Wait until all of those have ended, and for a later report of each.
	stopsEndBy := s.predecessor.StoppedBy + s.timing.StopTime
	if s.clock.Steady < stopsEndBy+stopMargin {
		return false
	}
	unavailable := 0
	for _, other := range r.task.job.stageOf(r.task).tasks {
		if other == r.task {
			continue
		}
		if !s.isAvailable(other) || other.run.inherited && s.targets[other.Target].stateAsOf < stopsEndBy {
			unavailable++
		}
	}
	return r.step.MaxUnavailable == 0 || unavailable < r.step.MaxUnavailable
}

// stopMargin is added to the time that a stop takes, to allow for the delivery of the
// order and the next report.
const stopMargin = 400 * time.Millisecond

// maxReportAge is the age up to which a report counts as evidence that the tasks of a
// target are available: the longest wait of two heartbeats and their round trips. An owner
// that is short of CPU time reads responses late.
const maxReportAge = 2*heartbeatInterval + 400*time.Millisecond

// isAvailable reports whether a long-running task is known to be available. Tasks on a
// target without a recent report don't count as available.
func (s *Scheduler) isAvailable(t *task) bool {
	if t.run == nil || t.run.phase != confirmed || t.run.progress < fullShare {
		return false
	}
	host := s.targets[t.Target]
	return host != nil && host.listed && !host.overdue(s.clock.Steady) && s.clock.Steady-host.stateAsOf <= maxReportAge
}

// endEvacuation ends the evacuation of a member's instance for its wave. Its target takes tasks again
// unless it is cordoned for something else.
func (s *Scheduler) endEvacuation(m *member) {
	m.evacuating = false
	for _, t := range s.targetsOf(m.instance) {
		t.leaving = false
		s.uncordon(t)
	}
}

// uncordon lets a target take tasks again, unless a wave, a move or another pool still needs it to
// become empty.
func (s *Scheduler) uncordon(t *target) {
	t.cordoned = s.isEvacuating(t.info.Instance) || s.isMoving(t) || s.isVacating(t)
}

// isEvacuating reports whether a wave evacuates an instance.
func (s *Scheduler) isEvacuating(instance string) bool {
	for _, w := range s.fleet.waves {
		if slices.ContainsFunc(w.members, func(m *member) bool { return m.evacuating && m.instance == instance }) {
			return true
		}
	}
	return false
}

// targetsOf returns the targets whose entries name an instance. Any entry may name one.
func (s *Scheduler) targetsOf(instance string) []*target {
	var list []*target
	for _, t := range s.sorted {
		if t.info.Instance == instance && instance != "" {
			list = append(list, t)
		}
	}
	return list
}
