package cransched

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// surveyInterval is how often all jobs are looked at while more of them than surveyedAtOnce have not ended. It is
	// the interval at which the jobs to be served in time are selected.
	surveyInterval = orderInterval
	// defaultSurveyedAtOnce is the number of jobs up to which every round looks at all of them. A round over so many
	// takes less than 0.1 ms.
	defaultSurveyedAtOnce = 200
	// maxAdded is the number of jobs that have changed above which looking at all jobs again costs less than inserting
	// their stages one by one.
	maxAdded = 64
)

// candidate is a stage that is ready to be placed, with its sort keys.
type candidate struct {
	job   *job
	stage *stage
	// room tells whether targets have room for the stage; shape is that of its tasks there.
	room  *poolRoom
	shape int
	// late is set for stages that can't be expected to complete in time any more; they come last.
	late bool
	// beyond is set for stages of jobs beyond the entitlement of their tenant, apart from
	// long-running ones. They come after all others, and rank orders their tenants.
	beyond bool
	rank   float64
	// startByMs is the soft deadline minus the remaining critical path, in Unix milliseconds.
	startByMs int64
}

// isWaiting reports whether the stage still has waiting tasks. A candidate of an earlier round may have none.
func (c *candidate) isWaiting() bool { return c.stage.waiting > 0 && !c.job.state.Final() }

// survey holds the candidates in placement order. It answers a backlog: with thousands of waiting jobs, an owner that
// sorts them in every round has no processor time left to start them. So all jobs are looked at every surveyInterval,
// and in between only those with a stage that has become ready since.
type survey struct {
	// at is when all jobs were last looked at; the next round does so if due is set.
	at  time.Duration
	due bool
	// surveyedAtOnce is the number of jobs up to which every round looks at all of them.
	surveyedAtOnce int
	// jobs holds the jobs that have not ended, those of the last candidates first. Sorting what is nearly sorted takes
	// a small part of the time.
	jobs []*job
	list []candidate
	// added holds the jobs with a stage that has become ready since.
	added []*job
	rooms map[string]*poolRoom
	// hasCrashes is set if targets have crashed under the job of a candidate.
	hasCrashes bool
	round      uint64
}

// candidates returns the ready stages with waiting tasks in placement order. Some may have none any more.
func (s *Scheduler) candidates() []candidate {
	v := &s.survey
	if v.due || v.at == 0 || len(s.jobs) <= v.surveyedAtOnce || len(v.added) > maxAdded || s.clock.Steady-v.at >= surveyInterval {
		s.surveyJobs()
	} else {
		s.insertAdded()
	}
	for _, r := range v.rooms {
		r.reset()
	}
	return v.list
}

// ReadyStages returns the number of stages that had waiting tasks and could run when all jobs were last looked at.
func (s *Scheduler) ReadyStages() int { return len(s.survey.list) }

// surveyJobs looks at all jobs.
func (s *Scheduler) surveyJobs() {
	v := &s.survey
	v.at, v.due, v.hasCrashes, v.added = s.clock.Steady, false, false, v.added[:0]
	v.rooms = map[string]*poolRoom{}
	list := make([]candidate, 0, len(v.list))
	left := v.jobs[:0]
	for _, j := range v.jobs {
		if j.state.Final() {
			continue
		}
		left = append(left, j)
		if !j.idle() || j.waitsSince == 0 {
			j.waitsSince = s.clock.Steady
		}
		ready := len(list)
		list = s.appendCandidates(list, j)
		if len(list) == ready && j.waiting > 0 {
			j.waitsSince = s.clock.Steady
		}
		v.hasCrashes = v.hasCrashes || j.hasCrashes
	}
	clear(v.jobs[len(left):])
	slices.SortFunc(list, compareCandidates)
	s.rankBeyond(list, s.orderOf)
	v.list, v.jobs = list, v.inOrder(left, list)
	s.recordBacklog(list)
}

// inOrder returns the jobs with those of the candidates first, in their order.
func (v *survey) inOrder(jobs []*job, list []candidate) []*job {
	v.round++
	ordered := make([]*job, 0, len(jobs))
	add := func(j *job) {
		if j.round != v.round {
			j.round = v.round
			ordered = append(ordered, j)
		}
	}
	for i := range list {
		add(list[i].job)
	}
	for _, j := range jobs {
		add(j)
	}
	return ordered
}

// appendCandidates appends the ready stages of a job that have waiting tasks.
func (s *Scheduler) appendCandidates(list []candidate, j *job) []candidate {
	if j.waiting == 0 || j.state.Final() {
		return list
	}
	for _, st := range j.stages {
		if st.waiting == 0 || !j.ready(st, s.clock.UnixMs) {
			continue
		}
		c := s.candidateOf(j, st)
		c.room = s.survey.roomOf(j.Pool)
		c.shape = c.room.add(st, s.isBound(j))
		list = append(list, c)
	}
	return list
}

// candidateOf returns a stage with its sort keys, apart from its rank and its room.
func (s *Scheduler) candidateOf(j *job, st *stage) candidate {
	s.updateEstimates(j)
	slack := s.orderSlackMs(j, st)
	return candidate{
		job: j, stage: st, startByMs: s.clock.UnixMs + slack, late: !st.step.LongRunning && (j.givenUp || slack < j.slackReserveMs(st)),
		beyond: j.beyond && !st.step.LongRunning,
	}
}

// insertAdded inserts the stages that have become ready since the last round. Those beyond the entitlement of their
// tenant come last until all jobs are looked at.
func (s *Scheduler) insertAdded() {
	v := &s.survey
	for _, j := range v.added {
		if j.waitsSince == 0 {
			j.waitsSince = s.clock.Steady
		}
		for _, c := range s.appendCandidates(nil, j) {
			if c.beyond {
				c.rank = math.MaxFloat64
			}
			at, found := slices.BinarySearchFunc(v.list, c, compareCandidates)
			if !found {
				v.list = slices.Insert(v.list, at, c)
			}
		}
	}
	clear(v.added)
	v.added = v.added[:0]
}

// openJobs returns the jobs that have not ended.
func (s *Scheduler) openJobs() iter.Seq[*job] {
	return func(yield func(*job) bool) {
		for _, j := range s.survey.jobs {
			if !j.state.Final() && !yield(j) {
				return
			}
		}
	}
}

// addJob adds a job to those that are looked at.
func (s *Scheduler) addJob(j *job) {
	s.jobs[j.ID] = j
	s.survey.jobs = append(s.survey.jobs, j)
	s.survey.added = append(s.survey.added, j)
}

// setStatus changes the status of a task that has been placed, and records if a stage of its job may have become ready.
func (s *Scheduler) setStatus(t *task, status cranjob.Status) {
	t.job.setStatus(t, status)
	if st := t.job.stageOf(t); st.complete() || status == cranjob.Waiting && st.waiting == 1 {
		s.survey.added = append(s.survey.added, t.job)
	}
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
	if c := cmp.Compare(a.startByMs, b.startByMs); c != 0 {
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
