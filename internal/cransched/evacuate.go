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

// byEffort returns the members with those under way first, then those whose
// instances are cordoned, then by the number of runs to be moved.
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

// effort ranks a member that has not begun its maintenance.
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
	case t.lastingResources() != cranjob.Resources{}:
		// These take longest: first those with the most tasks of one step.
		return 2 + maxRunsPerTarget - t.maxLastingPerStep()
	}
	// Others become empty by themselves.
	return 3 + maxRunsPerTarget + len(t.runs)
}

// crowd returns the most lasting tasks of one step at the target.
func (t *target) maxLastingPerStep() int {
	most := 0
	for key, r := range t.runs {
		if r.step != nil && r.step.Lasting {
			most = max(most, t.countRuns(StepName{key.task.Job, key.task.Occurrence, key.task.Step}))
		}
	}
	return min(most, maxRunsPerTarget)
}

// lifeOf returns the target that is the present life of an instance.
func (s *Scheduler) currentTarget(instance string) *target {
	if t := s.targets[s.fleet.instances[instance].Target]; t != nil && t.info.ID != "" {
		return t
	}
	for _, t := range s.sorted {
		if t.info.Instance == instance && t.listed {
			return t
		}
	}
	return nil
}

// evacuate keeps new work away from an instance and moves its lasting tasks
// elsewhere. It reports whether nothing runs there any more.
func (s *Scheduler) evacuate(m *member) bool {
	i := s.fleet.instances[m.instance]
	t := s.currentTarget(m.instance)
	if t == nil {
		// An instance that is up has a life that this owner doesn't know yet,
		// unless its pool is switched off.
		return i.Up && (i.Target == "" || s.isStandby(i.Pool))
	}
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
		if r.phase == confirmed && r.step != nil && r.step.Lasting && s.mayEvict(r) {
			s.stopRun(t, r, "the instance is due for maintenance")
		}
	}
	return len(t.runs) == 0
}

// mayEvict reports whether planned work may take a lasting task away: fewer
// others of its step than allowed are away, for whatever reason.
func (s *Scheduler) mayEvict(r *run) bool {
	if r.task == nil || r.task.run != r {
		return true
	}
	// Targets list a run until it has ended, also one that the former owner
	// has had stopped.
	if s.clock.Steady < s.predecessor.StoppedBy+s.timing.StopTime+stopMargin {
		return false
	}
	unavailable := 0
	for _, other := range r.task.job.stageOf(r.task).tasks {
		if other == r.task {
			continue
		}
		if !s.isAvailable(other) {
			unavailable++
		}
	}
	return r.step.MaxUnavailable == 0 || unavailable < r.step.MaxUnavailable
}

// stopMargin is added to the time that a stop takes, for the order's journey
// and the next report.
const stopMargin = 400 * time.Millisecond

// evidenceBound is how old the word of a target may be that its tasks work: the
// longest wait of two holds, and their journeys. An owner that is short of
// processor time reads answers late.
const maxReportAge = 2*heartbeatInterval + 400*time.Millisecond

// atWork reports whether a lasting task serves, as far as is known. Nothing is
// known of a target that doesn't answer.
func (s *Scheduler) isAvailable(t *task) bool {
	if t.run == nil || t.run.phase != confirmed || t.run.progress < fullShare {
		return false
	}
	dest := s.targets[t.Target]
	return dest != nil && dest.listed && !dest.responseOverdue(s.clock.Steady) && s.clock.Steady-dest.stateAsOf <= maxReportAge
}

// uncordon lets the lives of a finished wave take work; those that went down
// have left anyway.
func (s *Scheduler) uncordon(w *wave) {
	for _, m := range w.members {
		if t := s.currentTarget(m.instance); t != nil {
			t.cordoned = false
		}
	}
}
