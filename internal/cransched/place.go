package cransched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// candidate is a stage whose turn has come, with what orders it.
type candidate struct {
	job   *job
	stage *stage
	// hopeless stages can't be complete in time; they come last.
	late bool
	// slackMs is the time left beyond the remaining chain of work.
	slackMs int64
}

// place gives waiting tasks to targets. It answers a load that at times
// exceeds a pool: lasting tasks come first, then what can still be in time by
// least slack, then the rest.
func (s *Scheduler) place() {
	byPool := map[string][]*target{}
	for _, t := range s.sorted {
		if t.schedulable(s.clock.Steady) && !s.hasPendingOrder(t) {
			byPool[t.info.Pool] = append(byPool[t.info.Pool], t)
		}
	}
	clear(s.starved)
	for _, c := range s.candidates() {
		targets := byPool[c.job.Pool]
		if len(targets) == 0 {
			s.starved[c.job.Pool] = s.starved[c.job.Pool] || c.stage.step.Lasting
			continue
		}
		if !s.ensureTicket(c, targets) {
			continue
		}
		if c.stage.step.Gang {
			s.placeGang(c, targets)
			continue
		}
		for _, t := range c.stage.tasks {
			if t.Status != cranjob.Waiting || t.notBefore > s.clock.Steady {
				continue
			}
			chosen := s.chooseTarget(c.stage, targets)
			if chosen == nil {
				if c.stage.step.Lasting {
					byPool[c.job.Pool] = s.reserveTarget(c.stage, targets)
				}
				break
			}
			s.startTask(t, chosen, t.Run+1)
		}
	}
}

// reserve keeps a target free for a lasting task that finds no room, and
// returns the others: smaller tasks would take whatever becomes free.
func (s *Scheduler) reserveTarget(st *stage, targets []*target) []*target {
	s.starved[st.tasks[0].job.Pool] = true
	best := -1
	for i, t := range targets {
		if !s.meetsConstraints(st, t) || !t.info.Capacity.Fits(t.lastingResources().Add(st.step.Room())) {
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

// candidates returns the stages with waiting tasks in the order in which they
// are placed.
func (s *Scheduler) candidates() []candidate {
	var list []candidate
	for _, j := range s.jobs {
		if j.waiting == 0 || j.state.Final() {
			continue
		}
		for _, st := range j.stages {
			if st.waiting == 0 || !j.ready(st, s.clock.UnixMs) {
				continue
			}
			j.updateEstimates(s.predictors[j.Queue], s.clock.Steady)
			slack := j.targetEndMs(st.name.Occurrence) - s.clock.UnixMs - int64(j.criticalPathMs[st.name.Step])
			list = append(list, candidate{
				job: j, stage: st, slackMs: slack, late: slack < 0 && !st.step.Lasting,
			})
		}
	}
	slices.SortFunc(list, compareCandidates)
	return list
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareBools(!a.stage.step.Lasting, !b.stage.step.Lasting),
		compareBools(a.late, b.late),
		cmp.Compare(a.priority(), b.priority()),
		cmp.Compare(a.slackMs, b.slackMs),
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

// boolOrder puts false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// choose returns the target for a task of a stage; nil if none has room.
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

// allowed reports whether a target may take a task of a stage.
func (s *Scheduler) canPlace(st *stage, t *target) bool {
	return t.free().Fits(st.step.Room()) && s.meetsConstraints(st, t)
}

// spreadPatience is how long the tasks of a new lasting job wait for targets to
// spread over; an instance that is switched off serves within two seconds.
const spreadTimeout = 3 * time.Second

// spreadTargets is how many targets the tasks of a lasting step are spread
// over, if few of them may be away at a time.
const minSpreadTargets = 3

// crowded reports whether a target has its share of a new job's lasting tasks.
func (s *Scheduler) spreadLimitReached(st *stage, t *target) bool {
	age := time.Duration(s.clock.UnixMs-st.tasks[0].job.ReceivedMs) * time.Millisecond
	return st.step.Lasting && st.step.MaxUnavailable > 0 && age < spreadTimeout && t.countRuns(st.name) >= st.spreadLimit()
}

// perTarget returns how many tasks of a lasting step one target should have.
func (st *stage) spreadLimit() int {
	return max(st.step.MaxUnavailable, (st.step.Count+minSpreadTargets-1)/minSpreadTargets)
}

// needsTicket reports whether a stage has been given tickets: before that any
// target may be asked for.
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

// suits reports whether a target may take a task of a stage if it has room.
func (s *Scheduler) meetsConstraints(st *stage, t *target) bool {
	step := st.step
	if step.Requires != "" && !t.hasLabel(step.Requires) {
		return false
	}
	if s.hasTickets(st) && t.validTicket(st.name, s.clock.Steady) == "" {
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
	// farPenalty outweighs any difference in room between targets.
	remoteDataPenalty = 10
	// mixPenalty keeps filling tasks apart from serving ones where there is room.
	interferencePenalty = 2
	// crowdPenalty spreads lasting tasks of which few may be away at a time:
	// planned work takes them off a target one after the other.
	spreadPenalty = 1
	// failurePenalty weighs the share of failures seen at a target.
	failurePenalty = 3
)

// score ranks targets for a stage; the lowest is best. Among equals the
// fullest target that still fits is taken, so that large tasks find room.
func (s *Scheduler) score(st *stage, t *target) float64 {
	remaining := t.free().Sub(st.step.Room())
	score := fraction(remaining.CPU, t.info.Capacity.CPU) + fraction(remaining.Memory, t.info.Capacity.Memory)
	if st.step.DataRack != "" && !t.hasLabel(st.step.DataRack) {
		score += remoteDataPenalty
	}
	if st.step.Lasting && st.step.MaxUnavailable > 0 {
		score += spreadPenalty * float64(t.countRuns(st.name)/st.step.MaxUnavailable)
	}
	if st.step.Filling || st.step.TailTargetMs > 0 {
		score += interferencePenalty * float64(t.interferingRuns(st.step))
	}
	return score + failurePenalty*t.health.failureRate
}

// opposed counts the runs at a target that the step would disturb or be
// disturbed by.
func (t *target) interferingRuns(step *cranjob.Step) int {
	n := 0
	for _, r := range t.runs {
		if r.step == nil {
			continue
		}
		if step.Filling && r.step.TailTargetMs > 0 || step.TailTargetMs > 0 && r.step.Filling {
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

// placeGang places all tasks of a stage under one number, or none.
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

// fitAll returns a target for each task of a stage, or nil.
func (s *Scheduler) fitGang(st *stage, targets []*target) []*target {
	var assigned []*target
	var tentative []*run
	for _, t := range st.tasks {
		chosen := s.chooseTarget(st, targets)
		if chosen == nil {
			break
		}
		r := &run{name: t.name, number: -1, reserved: st.step.Room(), step: st.step}
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

// byRack groups targets by rack, the rack with the most targets first.
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

// start places a task; the order leaves once this is stored.
func (s *Scheduler) startTask(t *task, dest *target, number int) {
	if j := t.job; !j.placedBefore && j.Times == 0 {
		j.placedBefore = true
		s.emitOnceStored(LogEntry{Kind: LogFirstStart, AgeMs: s.clock.UnixMs - j.ReceivedMs})
	}
	t.Run = number
	t.job.setStatus(t, cranjob.Placed)
	t.Target = dest.info.ID
	t.run = &run{name: t.name, number: number, reserved: t.step.Room(), phase: planned, task: t, step: t.step, share: fullShare, resumed: t.Checkpoint != ""}
	dest.add(t.run)
	s.markDirty(t.job)
	s.emitOnceStored(LogEntry{Kind: LogRunPlaced, Job: t.job.ID, Task: t.name.String(), Run: number, Target: dest.info.ID, AgeMs: (s.clock.Steady - dest.lastResponseAt).Milliseconds()})
	s.emitOnceStored(StartRun{
		Target: dest.address(), Task: t.name, Run: number, Spec: t.job.Spec, Token: s.token, Checkpoint: t.Checkpoint,
		Ticket: dest.validTicket(t.job.stageOf(t).name, s.clock.Steady),
	})
}
