package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// Quota limits what each tenant may have running on the targets of the shard. Units are what starts as a whole: a task,
// or a gang, which is named by its first task.
type Quota interface {
	// Active reports whether any tenant has a cap, and Limited whether the tenant has.
	Active() bool
	Limited(tenant string) bool
	// Begin begins a round of placement, and Recount repeats the count of the runs on targets. End ends a round; it
	// is complete if every waiting unit was considered.
	Begin(now time.Duration, unixMs int64, runs func(count func(tenant string, d cranjob.Resources, longRunning bool)))
	Recount(runs func(count func(tenant string, d cranjob.Resources, longRunning bool)))
	End(complete bool)
	// Allows reports whether a unit may start. If it may not, Wait records it with the demand of all that wait with it;
	// if it starts, Start counts it.
	Allows(tenant string, unit cranjob.TaskName, d cranjob.Resources, gang bool) bool
	Wait(tenant string, unit cranjob.TaskName, d, all cranjob.Resources, gang bool)
	Start(tenant string, unit cranjob.TaskName, d cranjob.Resources, longRunning bool)
	// Exceeded reports whether a tenant may no longer start a run that was counted, and Release takes one back.
	Exceeded(tenant string, d cranjob.Resources) bool
	Release(tenant string, d cranjob.Resources)
	// Room returns what a tenant may still start, and its cap.
	Room(tenant string) (room, whole cranjob.Resources)
	// HasRemoved reports whether the caps of removed tenants are kept, and Forget drops those of tenants without jobs.
	HasRemoved() bool
	Forget(present func(tenant string) bool)
}

// quotaState is the scheduler's side of the caps of tenants.
type quotaState struct {
	quota Quota
	// hidden holds what a predecessor may have left running.
	hidden hiddenRuns
	// capped holds the tenants of which a task waited for the cap in the last round.
	capped map[string]bool
	// waits collects them in the current round.
	waits map[string]bool
}

// SetQuota sets what limits the tenants. Without it, nothing does.
func (s *Scheduler) SetQuota(q Quota) {
	s.quota, s.hidden = q, findHiddenRuns(s.stored, s.clock.UnixMs)
	s.survey.due = true
}

// hasQuota reports whether any tenant has a cap.
func (s *Scheduler) hasQuota() bool { return s.quota != nil && s.quota.Active() }

// countRuns counts all runs that are or may be on targets of the shard, in any phase. A run whose submission isn't known
// counts for no tenant.
func (s *Scheduler) countRuns(count func(tenant string, d cranjob.Resources, longRunning bool)) {
	for _, t := range s.sorted {
		for _, r := range t.runs {
			if r.tenant != "" && r.step != nil {
				count(r.tenant, r.step.Demand, r.step.LongRunning)
			}
		}
	}
	for tenant, d := range s.hidden {
		count(tenant, d, false)
	}
}

// beginQuota begins a round of placement.
func (s *Scheduler) beginQuota() {
	if !s.hasQuota() {
		return
	}
	s.waits = map[string]bool{}
	s.settleHiddenRuns()
	s.quota.Begin(s.clock.Steady, s.clock.UnixMs, s.countRuns)
}

// endQuota ends a round of placement.
func (s *Scheduler) endQuota(complete bool) {
	if !s.hasQuota() {
		s.capped = nil
		return
	}
	s.quota.End(complete)
	s.capped = s.waits
	if s.quota.HasRemoved() {
		present := map[string]bool{}
		for _, j := range s.jobs {
			present[j.Tenant] = true
		}
		s.quota.Forget(func(tenant string) bool { return present[tenant] })
	}
}

// limitsTenant reports whether the tenant of a job has a cap.
func (s *Scheduler) limitsTenant(j *job) bool {
	return j.Tenant != "" && s.quota != nil && s.quota.Limited(j.Tenant)
}

// allowsUnit reports whether the cap of its tenant lets the next task of a stage start, or the gang. If not, it records
// that the waiting tasks of the stage wait for the cap. They are no demand for room then: they don't count as starved,
// reserve no target, and let no pool grow.
func (s *Scheduler) allowsUnit(st *stage) bool {
	st.waitsForCap = false
	j := st.tasks[0].job
	if !s.limitsTenant(j) {
		return true
	}
	d, unit := st.step.Demand, st.tasks[0].name
	if st.step.Gang {
		d = multiply(d, len(st.tasks))
	}
	if s.quota.Allows(j.Tenant, unit, d, st.step.Gang) {
		return true
	}
	st.waitsForCap = true
	s.waits[j.Tenant] = true
	s.quota.Wait(j.Tenant, unit, d, multiply(st.step.Demand, st.waiting), st.step.Gang)
	return false
}

// mayStartUnit reports whether a stage has a task, or is a gang, that could be placed now.
func (s *Scheduler) mayStartUnit(st *stage) bool {
	if !st.step.Gang {
		for _, t := range st.tasks {
			if s.mayPlace(t) {
				return true
			}
		}
		return false
	}
	if st.waiting != len(st.tasks) {
		return false
	}
	for _, t := range st.tasks {
		if t.notBefore > s.clock.Steady {
			return false
		}
	}
	return true
}

// refusedByQuota reports whether a stage has tasks that could be placed now if the cap of their tenant allowed it. What
// suspected tasks wait for is decided before.
func (s *Scheduler) refusedByQuota(st *stage) bool {
	if !s.limitsTenant(st.tasks[0].job) {
		st.waitsForCap = false
		return false
	}
	return s.mayStartUnit(st) && !s.allowsUnit(st)
}

// countStart counts a task that starts.
func (s *Scheduler) countStart(t *task) {
	if s.limitsTenant(t.job) {
		s.quota.Start(t.job.Tenant, t.job.stageOf(t).tasks[0].name, t.step.Demand, t.step.LongRunning)
	}
}

// recountQuota counts the runs again before stored starts are sent. The caps may have changed since they were decided.
func (s *Scheduler) recountQuota() {
	if s.hasQuota() {
		s.quota.Recount(s.countRuns)
	}
}

// exceedsCap reports whether a planned run would exceed the cap of its tenant.
func (s *Scheduler) exceedsCap(r *run) bool {
	return r.tenant != "" && r.step != nil && s.hasQuota() && s.quota.Exceeded(r.tenant, r.step.Demand)
}

// releasePlanned releases a planned run that must not be sent.
func (s *Scheduler) releasePlanned(t *target, r *run, reason string) {
	if r.tenant != "" && r.step != nil && s.hasQuota() {
		s.quota.Release(r.tenant, r.step.Demand)
	}
	s.releaseRun(t, r, reason)
}

// limitToCap returns the parallelism that a stage can have while its waiting tasks wait for the cap of their tenant.
func (st *stage) limitToCap(parallelism float64) float64 {
	if !st.waitsForCap {
		return parallelism
	}
	return min(parallelism, float64(len(st.tasks)-st.done-st.waiting))
}

func multiply(d cranjob.Resources, n int) cranjob.Resources {
	return cranjob.Resources{CPU: n * d.CPU, Memory: n * d.Memory, Accelerators: n * d.Accelerators}
}
