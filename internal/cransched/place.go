package cransched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// candidate is a stage that is ready to be placed, with its sort keys.
type candidate struct {
	job   *job
	stage *stage
	// late is set for stages that can't be expected to complete in time any more; they come last.
	late bool
	// beyond is set for stages of jobs beyond the entitlement of their tenant, apart from
	// long-running ones. They come after all others, and rank orders their tenants.
	beyond bool
	rank   float64
	// slackMs is the time to the soft deadline minus the remaining critical path.
	slackMs int64
}

// place assigns waiting tasks to targets. In case the load exceeds the capacity of a pool,
// it places long-running tasks first, then the work within the entitlement of its tenant, then
// that beyond it. Within each, stages that can still complete in time come first, by priority
// and least slack, then the rest. Beyond the entitlement, the tenants' shares come before slack.
func (s *Scheduler) place() {
	if !s.mayStart() {
		s.recountQuota()
		return
	}
	s.beginQuota()
	byPool := map[string][]*target{}
	for _, t := range s.sorted {
		if t.schedulable(s.clock.Steady) && !s.hasPendingOrder(t) {
			byPool[t.info.Pool] = append(byPool[t.info.Pool], t)
		}
	}
	starvedBefore := maps.Clone(s.starved)
	clear(s.starved)
	// Pools that aren't reached before the starts of this round are planned keep their mark.
	mostPlanned := s.startsPaced.planned + s.startsPaced.left(s.clock.Steady, s.lag)
	rooms := idleRooms{}
	s.observeCapacities(byPool)
	list := s.candidates()
	s.tickets.waiting = false
	s.recordBacklog(list)
	s.placeSuspects(list, byPool)
	s.placeOverdue(list, byPool, (mostPlanned-s.startsPaced.planned+overdueShare-1)/overdueShare)
	s.startsLimited = false
	for _, c := range list {
		targets := byPool[c.job.Pool]
		if s.refusedByQuota(c.stage) {
			continue
		}
		if len(targets) == 0 {
			s.starved[c.job.Pool] = s.starved[c.job.Pool] || c.stage.step.LongRunning
			continue
		}
		if !s.ensureTicket(c, targets) {
			continue
		}
		if s.startsPaced.planned >= mostPlanned {
			s.startsLimited = true
			s.limitedRounds++
			maps.Copy(s.starved, starvedBefore)
			s.endQuota(false)
			return
		}
		if c.stage.step.Gang {
			s.placeGang(c, targets)
			continue
		}
		for _, t := range c.stage.tasks {
			if !s.mayPlace(t) {
				continue
			}
			if !s.allowsUnit(c.stage) {
				break
			}
			chosen := s.chooseTarget(c.stage, targets)
			if chosen == nil {
				switch {
				case c.stage.step.LongRunning:
					byPool[c.job.Pool] = s.reserveTarget(c.stage, targets)
				case !rooms.fits(c.stage.step, c.job.Pool, targets):
					s.starved[c.job.Pool] = true
				}
				break
			}
			s.startTask(t, chosen, t.Run+1)
			if s.startsPaced.planned >= mostPlanned {
				break
			}
		}
	}
	s.endQuota(true)
}

// reserveTarget selects a target to keep free for a long-running task that fits nowhere at
// present, and returns the other targets. Without it, smaller tasks would take all
// capacity that becomes free.
func (s *Scheduler) reserveTarget(st *stage, targets []*target) []*target {
	s.starved[st.tasks[0].job.Pool] = true
	best := -1
	for i, t := range targets {
		if !s.meetsConstraints(st, t) || !t.info.Capacity.Fits(t.longRunningResources().Add(st.step.Reservation())) {
			continue
		}
		if best < 0 || t.free().Memory > targets[best].free().Memory {
			best = i
		}
	}
	if best < 0 {
		return targets
	}
	return slices.Delete(slices.Clone(targets), best, best+1)
}

// idleRooms holds, for each pool, the resources that its targets have once only long-running
// tasks are left on them. They are computed when they are first needed.
type idleRooms map[string][]idleRoom

type idleRoom struct {
	target *target
	free   cranjob.Resources
}

// fits reports whether a task of a step would fit on one of the targets if only long-running
// tasks ran there. Otherwise it never fits, however much is free in the whole pool.
func (r idleRooms) fits(step *cranjob.Step, pool string, targets []*target) bool {
	rooms, known := r[pool]
	if !known {
		for _, t := range targets {
			rooms = append(rooms, idleRoom{t, t.info.Capacity.Sub(t.longRunningResources())})
		}
		r[pool] = rooms
	}
	reserved := step.Reservation()
	return slices.ContainsFunc(rooms, func(i idleRoom) bool {
		return i.free.Fits(reserved) && (step.Requires == "" || i.target.hasLabel(step.Requires))
	})
}

// candidates returns the ready stages with waiting tasks in placement order.
func (s *Scheduler) candidates() []candidate {
	list := make([]candidate, 0, len(s.order))
	for _, j := range s.jobsInOrder() {
		if !j.idle() || j.waitsSince == 0 {
			j.waitsSince = s.clock.Steady
		}
		if j.waiting == 0 || j.state.Final() {
			continue
		}
		ready := len(list)
		for _, st := range j.stages {
			if st.waiting == 0 || !j.ready(st, s.clock.UnixMs) {
				continue
			}
			s.updateEstimates(j)
			slack := s.orderSlackMs(j, st)
			list = append(list, candidate{
				job: j, stage: st, slackMs: slack, late: !st.step.LongRunning && (j.givenUp || slack < j.slackReserveMs(st)),
				beyond: j.beyond && !st.step.LongRunning,
			})
		}
		if len(list) == ready {
			j.waitsSince = s.clock.Steady
		}
	}
	slices.SortFunc(list, compareCandidates)
	s.rankBeyond(list)
	clear(s.order)
	s.order = s.order[:0]
	for i := range list {
		s.order = append(s.order, list[i].job)
	}
	return list
}

// jobsInOrder returns all jobs, those first that were candidates in the last round, in their order then. Sorting
// what is nearly sorted takes a small part of the time, which counts while thousands of jobs wait.
func (s *Scheduler) jobsInOrder() []*job {
	s.round++
	list := make([]*job, 0, len(s.jobs))
	add := func(j *job) {
		if j.round != s.round {
			j.round = s.round
			list = append(list, j)
		}
	}
	for _, j := range s.order {
		if s.jobs[j.ID] == j {
			add(j)
		}
	}
	for _, j := range s.jobs {
		add(j)
	}
	return list
}

// compareCandidates compares a field only if those before it are equal, since it is called for every pair that the
// sort compares.
func compareCandidates(a, b candidate) int {
	if c := compareBools(!a.stage.step.LongRunning, !b.stage.step.LongRunning); c != 0 {
		return c
	}
	if c := compareBools(a.beyond, b.beyond); c != 0 {
		return c
	}
	if c := compareBools(a.late, b.late); c != 0 {
		return c
	}
	if c := cmp.Compare(a.priority(), b.priority()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	if c := cmp.Compare(a.slackMs, b.slackMs); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.stage.name.Occurrence, b.stage.name.Occurrence),
		cmp.Compare(a.stage.name.Step, b.stage.name.Step),
	)
}

func (c candidate) priority() int {
	if c.job.queue == nil {
		return 0
	}
	return c.job.queue.Priority
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// chooseTarget returns the best target for a task of a stage, or nil if it fits on none.
func (s *Scheduler) chooseTarget(st *stage, targets []*target) *target {
	var best *target
	bestScore := 0.0
	for _, t := range targets {
		if !s.canPlace(st, t) {
			continue
		}
		if score := s.score(st, t); best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// canPlace reports whether a task of a stage may be placed on a target now.
func (s *Scheduler) canPlace(st *stage, t *target) bool {
	return t.free().Fits(st.step.Reservation()) && s.meetsConstraints(st, t)
}

// spreadTimeout is how long the tasks of a new long-running job wait for enough targets to
// spread over. An instance from a standby pool is ready within two seconds.
const spreadTimeout = 3 * time.Second

// minSpreadTargets is the number of targets over which the tasks of a long-running step
// with a MaxUnavailable are spread.
const minSpreadTargets = 3

// spreadLimitReached reports whether a target has as many tasks of a long-running step as
// spreading allows. The limit applies only while the job is new.
func (s *Scheduler) spreadLimitReached(st *stage, t *target) bool {
	age := time.Duration(s.clock.UnixMs-st.tasks[0].job.ReceivedMs) * time.Millisecond
	return st.step.LongRunning && st.step.MaxUnavailable > 0 && age < spreadTimeout && t.countRuns(st.name) >= st.spreadLimit()
}

// spreadLimit returns the number of tasks of a long-running step that one target should
// have at most.
func (st *stage) spreadLimit() int {
	return max(st.step.MaxUnavailable, (st.step.Count+minSpreadTargets-1)/minSpreadTargets)
}

// hasTickets reports whether any target has a valid ticket for a stage whose queue
// requires tickets. While none has, the lack of a ticket excludes no target, so that
// tickets can be requested for all of them.
func (s *Scheduler) hasTickets(st *stage) bool {
	q := st.tasks[0].job.queue
	if q == nil || !q.RequiresTicket {
		return false
	}
	for _, t := range s.sorted {
		if t.validTicket(st.name, s.clock.Steady) != "" {
			return true
		}
	}
	return false
}

// meetsConstraints reports whether a target satisfies all constraints of a stage other
// than free capacity.
func (s *Scheduler) meetsConstraints(st *stage, t *target) bool {
	return (!s.hasTickets(st) || t.validTicket(st.name, s.clock.Steady) != "") && s.meetsPlacementRules(st, t)
}

// meetsPlacementRules reports whether a target satisfies the constraints that the step itself sets.
func (s *Scheduler) meetsPlacementRules(st *stage, t *target) bool {
	step := st.step
	if step.Requires != "" && !t.hasLabel(step.Requires) {
		return false
	}
	if s.spreadLimitReached(st, t) {
		return false
	}
	if step.MaxPerTarget > 0 && t.countRuns(st.name) >= step.MaxPerTarget {
		return false
	}
	return true
}

const (
	// remoteDataPenalty applies to targets outside the rack that holds the task's data. It
	// exceeds any difference in free capacity between targets.
	remoteDataPenalty = 10
	// interferencePenalty keeps best-effort tasks and serving tasks on separate targets
	// where capacity allows.
	interferencePenalty = 2
	// spreadPenalty spreads long-running tasks with a MaxUnavailable, since evacuating a
	// target stops them only a few at a time.
	spreadPenalty = 1
	// leavingPenalty keeps tasks off targets whose instance is due for maintenance before
	// they would end.
	leavingPenalty = 5
	// failurePenalty is the weight of a target's failure rate.
	failurePenalty = 3
)

// score rates a target for a stage; the lowest score is best. Among otherwise equal
// targets the fullest one that fits is best, to leave capacity for large tasks on the
// others.
func (s *Scheduler) score(st *stage, t *target) float64 {
	remaining := t.free().Sub(st.step.Reservation())
	score := fraction(remaining.CPU, t.info.Capacity.CPU) + fraction(remaining.Memory, t.info.Capacity.Memory)
	if st.step.DataRack != "" && !t.hasLabel(st.step.DataRack) {
		score += remoteDataPenalty
	}
	if st.step.LongRunning && t.leaving || s.outlivesTarget(st, t) {
		score += leavingPenalty
	}
	if st.step.LongRunning && st.step.MaxUnavailable > 0 {
		score += spreadPenalty * float64(t.countRuns(st.name)/st.step.MaxUnavailable)
	}
	if st.step.BestEffort || st.step.MaxTailLatencyMs > 0 {
		score += interferencePenalty * float64(t.interferingRuns(st.step))
	}
	return score + failurePenalty*t.health.failureRate
}

// interferingRuns counts the runs on the target that interfere with tasks of the step:
// serving runs for a best-effort step, and best-effort runs for a serving step.
func (t *target) interferingRuns(step *cranjob.Step) int {
	n := 0
	for _, r := range t.runs {
		if r.step == nil {
			continue
		}
		if step.BestEffort && r.step.MaxTailLatencyMs > 0 || step.MaxTailLatencyMs > 0 && r.step.BestEffort {
			n++
		}
	}
	return n
}

func fraction(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// placeGang places all tasks of a stage under the same run number, or none. If the step
// prefers a single rack, each rack is tried before the targets of all racks.
func (s *Scheduler) placeGang(c candidate, targets []*target) {
	st := c.stage
	if st.waiting != len(st.tasks) {
		return
	}
	number := 0
	for _, t := range st.tasks {
		if t.notBefore > s.clock.Steady {
			return
		}
		number = max(number, t.Run+1)
	}
	groups := [][]*target{targets}
	if st.step.SameRack {
		groups = append(groupByRack(targets), targets)
	}
	for _, group := range groups {
		assigned := s.fitGang(st, group)
		if assigned == nil {
			continue
		}
		for i, t := range st.tasks {
			s.startTask(t, assigned[i], number)
		}
		return
	}
}

// fitGang returns a target for each task of a stage, or nil if they don't all fit. It adds
// a tentative run for each task, so that the next one sees the remaining capacity, and
// removes them before it returns.
func (s *Scheduler) fitGang(st *stage, targets []*target) []*target {
	var assigned []*target
	var tentative []*run
	for _, t := range st.tasks {
		chosen := s.chooseTarget(st, targets)
		if chosen == nil {
			break
		}
		r := &run{name: t.name, number: -1, reserved: st.step.Reservation(), step: st.step}
		chosen.add(r)
		assigned, tentative = append(assigned, chosen), append(tentative, r)
	}
	for i, r := range tentative {
		assigned[i].remove(r)
	}
	if len(assigned) < len(st.tasks) {
		return nil
	}
	return assigned
}

// groupByRack groups targets by rack, largest group first.
func groupByRack(targets []*target) [][]*target {
	racks := map[string][]*target{}
	for _, t := range targets {
		racks[t.rack()] = append(racks[t.rack()], t)
	}
	var groups [][]*target
	for _, group := range racks {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b []*target) int {
		return cmp.Or(cmp.Compare(len(b), len(a)), cmp.Compare(a[0].info.ID, b[0].info.ID))
	})
	return groups
}
