package cransched

import (
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// rehearsal is a round of placement without any start. It adds a tentative run for each task that would start, as the
// next ones see the remaining capacity then, and removes them at the end.
type rehearsal struct {
	scheduler *Scheduler
	// job is the new job.
	job *job
	// byPool holds the targets that may take tasks.
	byPool map[string][]*target
	// full holds the shapes that have no room.
	full  map[poolShape]bool
	hosts []*target
	runs  []*run
	// tasks holds the tasks that would start. A stage may be in the list twice.
	tasks map[*task]bool
	// starts is how many tasks may still start.
	starts int
	// started holds what would start of the tenants with a cap.
	started map[string]cranjob.Resources
}

type poolShape struct {
	pool  string
	shape shape
}

// hindrance is what keeps the tasks of a stage from starting other than the targets.
type hindrance int

const (
	noHindrance hindrance = iota
	// startsLimited means that the limit on starts under way is reached, startsUncertain that the owner may not know
	// every cancellation that must be in effect.
	startsLimited
	startsUncertain
	// waitsForCap means that the cap of the tenant is used up.
	waitsForCap
	// waitsForTicket means that no target has a ticket for the stage.
	waitsForTicket
)

// rehearsed is what would happen to the first task of a stage.
type rehearsed struct {
	target    string
	score     float64
	hindrance hindrance
	excluded  map[cranexplain.Reason]int
}

// rehearse returns what the next round would do with the stages of a job that are among the candidates.
func (s *Scheduler) rehearse(list []candidate, j *job) map[*stage]*rehearsed {
	r := &rehearsal{scheduler: s, job: j, byPool: map[string][]*target{}, full: map[poolShape]bool{}, tasks: map[*task]bool{}, started: map[string]cranjob.Resources{}}
	defer r.end()
	for _, t := range s.sorted {
		if t.schedulable(s.clock.Steady) && !s.isKeptFree(t) {
			r.byPool[t.info.Pool] = append(r.byPool[t.info.Pool], t)
		}
	}
	r.starts = s.startsPaced.leftAt(s.clock.Steady, s.lag)
	r.placeOverdue(list)
	left := 0
	for i := range list {
		if list[i].job == j {
			left++
		}
	}
	outcomes := map[*stage]*rehearsed{}
	for i := 0; i < len(list) && left > 0; i++ {
		c := &list[i]
		if c.job != j {
			r.place(c)
			continue
		}
		left--
		outcomes[c.stage] = r.place(c)
	}
	return outcomes
}

// end removes the tentative runs.
func (r *rehearsal) end() {
	for i, run := range r.runs {
		r.hosts[i].remove(run)
	}
}

// start adds a tentative run.
func (r *rehearsal) start(t *task, host *target) {
	// The tentative runs of fitGang have the number -1.
	run := &run{name: t.name, number: -2, reserved: t.step.Reservation(), step: t.step}
	host.add(run)
	r.hosts, r.runs = append(r.hosts, host), append(r.runs, run)
	r.tasks[t] = true
	r.starts--
	if j := t.job; r.scheduler.limitsTenant(j) {
		r.started[j.Tenant] = r.started[j.Tenant].Add(t.step.Demand)
	}
}

// placeOverdue places a task of each overdue job as placeOverdue of the scheduler does.
func (r *rehearsal) placeOverdue(list []candidate) {
	s := r.scheduler
	if !s.mayStart() {
		return
	}
	full := map[string]bool{}
	least := r.starts - (r.starts+overdueShare-1)/overdueShare
	placed := map[string]bool{}
	for _, c := range s.overdueCandidates(list) {
		targets := r.byPool[c.job.Pool]
		switch {
		case r.starts <= least:
			return
		case full[c.job.Pool] || placed[c.job.ID] || !c.job.idle() || len(targets) == 0:
			continue
		case c.job.queue != nil && c.job.queue.RequiresTicket && !s.hasTickets(c.stage):
			continue
		}
		i := slices.IndexFunc(c.stage.tasks, func(t *task) bool { return s.mayPlace(t) })
		if i < 0 || !r.allows(c.stage) {
			continue
		}
		chosen := s.chooseTarget(c.stage, targets)
		if chosen == nil {
			full[c.job.Pool] = true
			continue
		}
		placed[c.job.ID] = true
		r.start(c.stage.tasks[i], chosen)
	}
}

// place places the waiting tasks of a candidate as placeCandidate does.
func (r *rehearsal) place(c *candidate) *rehearsed {
	s, st, pool := r.scheduler, c.stage, c.job.Pool
	switch {
	case !c.isWaiting():
		return nil
	case !s.mayStart():
		return r.explain(c, startsUncertain)
	case s.limitsTenant(c.job) && s.mayStartUnit(st) && !r.allows(st):
		return r.explain(c, waitsForCap)
	case len(r.byPool[pool]) == 0:
		return r.explain(c, noHindrance)
	case c.job.queue != nil && c.job.queue.RequiresTicket && !s.hasTickets(st):
		return r.explain(c, waitsForTicket)
	case r.starts <= 0:
		return r.explain(c, startsLimited)
	case r.full[poolShape{pool, st.shape()}]:
		return r.explain(c, noHindrance)
	case st.step.Gang:
		return r.placeGang(c)
	}
	var first *rehearsed
	for _, t := range st.tasks {
		if r.tasks[t] || !s.mayPlace(t) {
			continue
		}
		if r.starts <= 0 || !r.allows(st) {
			break
		}
		chosen := s.chooseTarget(st, r.byPool[pool])
		if chosen == nil {
			if first == nil {
				first = r.explain(c, noHindrance)
			}
			if st.step.LongRunning {
				r.byPool[pool] = s.withoutReserved(st, r.byPool[pool])
			}
			if st.fillsShape() {
				r.full[poolShape{pool, st.shape()}] = true
			}
			break
		}
		if first == nil {
			first = &rehearsed{target: chosen.info.ID, score: s.score(st, chosen)}
		}
		r.start(t, chosen)
	}
	return first
}

func (r *rehearsal) placeGang(c *candidate) *rehearsed {
	s, st := r.scheduler, c.stage
	if r.tasks[st.tasks[0]] || !s.mayStartUnit(st) {
		return nil
	}
	assigned := s.assignGang(st, r.byPool[c.job.Pool])
	if assigned == nil {
		return r.explain(c, noHindrance)
	}
	first := &rehearsed{target: assigned[0].info.ID, score: s.score(st, assigned[0])}
	for i, host := range assigned {
		r.start(st.tasks[i], host)
	}
	return first
}

// allows reports whether the cap of its tenant lets the next task of a stage start, or the gang, after the tasks that
// would start before.
func (r *rehearsal) allows(st *stage) bool {
	j := st.tasks[0].job
	if !r.scheduler.limitsTenant(j) {
		return true
	}
	d, started := st.step.Demand, r.started[j.Tenant]
	if st.step.Gang {
		d = multiply(d, len(st.tasks))
	}
	// The demand of several tasks must not be cut to the cap, which makes a single task above it fit.
	return r.scheduler.quota.Allows(j.Tenant, st.tasks[0].name, d.Add(started), st.step.Gang || started != (cranjob.Resources{}))
}

// explain returns why a stage of a new job has no target. It returns nil for other jobs, which needs no time.
func (r *rehearsal) explain(c *candidate, h hindrance) *rehearsed {
	s, st := r.scheduler, c.stage
	if c.job != r.job {
		return nil
	}
	e := &rehearsed{hindrance: h, excluded: map[cranexplain.Reason]int{}}
	for _, t := range s.sorted {
		if t.info.Pool == c.job.Pool && !t.ended {
			e.excluded[r.reasonAgainst(st, t)]++
		}
	}
	return e
}

// reasonAgainst returns the first reason for which a target doesn't get a task of a stage.
func (r *rehearsal) reasonAgainst(st *stage, t *target) cranexplain.Reason {
	s := r.scheduler
	isSchedulable := t.schedulable(s.clock.Steady)
	switch {
	case t.cordoned || t.retiring || t.info.Draining || s.isKeptFree(t):
		return cranexplain.Leaving
	case !isSchedulable:
		return cranexplain.NotSchedulable
	case !slices.Contains(r.byPool[t.info.Pool], t):
		return cranexplain.Leaving
	case st.step.Requires != "" && !t.hasLabel(st.step.Requires):
		return cranexplain.NoLabel
	case !s.meetsPlacementRules(st, t):
		return cranexplain.Limit
	case !t.free().Fits(st.step.Reservation()):
		return cranexplain.NoRoom
	}
	if q := st.tasks[0].job.queue; q != nil && q.RequiresTicket && t.validTicket(st.name, s.clock.Steady) == "" {
		return cranexplain.NoTicket
	}
	return cranexplain.Other
}

// isKeptFree reports whether a target takes no usual tasks, because of an order for its instance or a suspected task.
func (s *Scheduler) isKeptFree(t *target) bool {
	return t.reserved || s.hasPendingOrder(t) || t.hasProbation(s.clock.Steady)
}
