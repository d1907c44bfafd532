package cransched

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// missingReports is how many reports in a row must lack a run that was
// confirmed before it counts as ended: reports may overtake other answers.
const missingReports = 2

// Held takes in the answer to a hold.
func (s *Scheduler) HandleHeartbeatResponse(id TargetRef, a HeartbeatResponse) {
	t := s.targets[id.ID]
	if t == nil || t.info.Address != id.Address {
		return
	}
	t.holding = false
	t.holdAt = s.clock.Steady + retryPause
	t.unanswered = a.Status != StatusOK
	switch a.Status {
	case StatusOK:
		s.report(t, a)
	case StatusFenced:
		s.superseded(t)
	case StatusOtherTarget:
		s.otherLife(t)
	}
}

// superseded takes in that a target has seen the token of a later owner.
func (s *Scheduler) superseded(t *target) {
	t.superseded = true
	s.emit(LogEntry{Kind: LogTargetSuperseded, Target: t.info.ID})
}

// otherLife takes in that another target answers at the address.
func (s *Scheduler) otherLife(t *target) {
	s.emit(LogEntry{Kind: LogTargetGone, Target: t.info.ID, Reason: "another target has its address"})
	s.leftLife(t, "the target is gone")
}

// leftLife takes in that the life of a target has ended for good.
func (s *Scheduler) leftLife(t *target, reason string) {
	s.releaseAll(t, reason)
	t.left = true
	t.listed = false
	t.info.Address = ""
}

// report takes in what runs at a target and what has ended there.
func (s *Scheduler) report(t *target, a HeartbeatResponse) {
	if !s.sameLife(t, a.Response) {
		return
	}
	t.learn(a.Response, s.clock.Steady)
	t.fenced = true
	for _, e := range a.Finished {
		if e.Number <= t.seen {
			continue
		}
		t.seen = e.Number
		s.ended(t, e)
	}
	present := make(map[runName]bool, len(a.Running))
	for _, r := range a.Running {
		present[runName{r.Task, r.Run}] = true
		s.running(t, r)
	}
	for _, r := range t.sortedRuns() {
		if !present[runName{r.name, r.number}] {
			s.absent(t, r, a.SentAt)
		}
	}
	s.pace(t)
	switch {
	case t.clockAt > 0 && t.leaseMs == 0:
		t.holdAt = s.clock.Steady
	case t.withheld > 0, len(t.runs) == 0 && t.seen == t.stored:
		// A target with an end that is listed again and again answers at once.
		t.holdAt = s.clock.Steady + renewEvery
	default:
		t.holdAt = s.clock.Steady + holdPause
	}
	t.awaitStore = t.acknowledged() > t.stored
}

// sameLife takes in which life of a target has answered, and reports whether
// the answer is of its present one.
func (s *Scheduler) sameLife(t *target, a Response) bool {
	switch {
	case a.ProcessStartMs == 0:
		return true
	case t.info.ProcessStartMs == 0:
		t.info.ProcessStartMs = a.ProcessStartMs
	case a.ProcessStartMs < t.info.ProcessStartMs:
		return false
	case a.ProcessStartMs > t.info.ProcessStartMs:
		s.reborn(t, a.ProcessStartMs)
	}
	return true
}

// running takes in that a run is present.
func (s *Scheduler) running(t *target, report RunReport) {
	r := t.runs[runName{report.Task, report.Run}]
	if r == nil {
		r = s.stray(t, report)
	}
	if r.phase == planned || r.phase == ordered || r.phase == doubtful || r.phase == unproved {
		if r.phase == unproved {
			r.startedAt = s.clock.Steady
			r.inherited = true
		}
		r.phase = present
	}
	r.missing = 0
	r.started = true
	r.percent, r.gauge = report.Percent, report.Gauge
	if r.task == nil || r.task.run != r {
		return
	}
	if report.Checkpoint != "" {
		r.task.Checkpoint = report.Checkpoint
	}
	s.noteRunning(r)
}

// stray takes in a run that nothing is known of, and has it stopped. It
// occupies room until then.
func (s *Scheduler) stray(t *target, report RunReport) *run {
	r := &run{name: report.Task, number: report.Run, phase: stopping, stopReason: "unknown run", pace: fullPace}
	if e, found := s.book.Lookup(report.Task.Job); found && report.Task.Step < len(e.Job().Steps) {
		r.step = &e.Job().Steps[report.Task.Step]
		r.room = r.step.Room()
	} else {
		// A run of unknown size may take all that is free.
		r.room = t.free()
	}
	t.add(r)
	s.emit(LogEntry{Kind: LogUnknownRun, Job: report.Task.Job, Task: report.Task.String(), Run: report.Run, Target: t.info.ID})
	return r
}

// absent takes in that a report lacks a run.
func (s *Scheduler) absent(t *target, r *run, sentAt time.Duration) {
	switch r.phase {
	case unproved:
		// The token of this owner was seen before the report was made, so no
		// order of an earlier owner can start the run any more.
		s.release(t, r, "a predecessor's order was not carried out")
	case doubtful:
		if sentAt > r.answeredAt {
			// The order may still come: it is shut out by a stop.
			s.stopRun(t, r, "the start was not answered")
		}
	case present:
		if r.answeredAt > sentAt {
			return
		}
		r.missing++
		if r.missing >= missingReports {
			s.stopRun(t, r, "missing from the report")
		}
	case stopping:
		if r.answeredAt > 0 && sentAt > r.answeredAt {
			s.release(t, r, r.stopReason)
		}
	}
}

// ended takes in the end of a run.
func (s *Scheduler) ended(t *target, e EndReport) {
	r := t.runs[runName{e.Task, e.Run}]
	if r != nil {
		t.remove(r)
	}
	owner := s.taskOf(e.Task)
	if r == nil && e.Outcome == OutcomeDone && s.startedAgain(owner, e) {
		s.withhold(t, e)
	}
	s.gate(LogEntry{Kind: LogRunEnded, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Target: t.info.ID, Reason: string(e.Outcome)})
	if owner == nil || owner.Status == cranjob.Done {
		return
	}
	current := r != nil && owner.run == r
	switch e.Outcome {
	case OutcomeDone:
		t.health.record(false, s.clock.Steady)
		if current && r.phase == present {
			s.learnDuration(owner, r)
		}
		s.succeeded(owner, r)
	case OutcomeFailed:
		t.health.record(true, s.clock.Steady)
		s.failed(owner, e.Run, current)
	default:
		if e.Checkpoint != "" {
			owner.Checkpoint = e.Checkpoint
		}
		if current {
			owner.job.setStatus(owner, cranjob.Waiting)
		}
	}
	if !owner.job.state.Final() {
		s.mark(owner.job)
		s.settle(owner.job)
	}
}

// learnDuration takes in how long a run took. Runs that an earlier owner had
// started, or that resumed, tell nothing.
func (s *Scheduler) learnDuration(owner *task, r *run) {
	if r.inherited || r.resumed || owner.step.Lasting {
		return
	}
	p := s.predictors[owner.job.Queue]
	if p == nil {
		p = &predictor{}
		s.predictors[owner.job.Queue] = p
	}
	p.add(owner.step.EstimateMs, (s.clock.Steady - r.startedAt).Milliseconds())
	if p.N >= p.stored+storeAfter {
		p.stored = p.N
		s.records = append(s.records, cranstore.Record{Key: cranjob.DurationsKey(owner.job.Queue), Value: cranjob.Encode(p.Durations)})
	}
}

// startedAgain reports whether a task was started again after a run of which
// only now is known that it had succeeded.
func (s *Scheduler) startedAgain(owner *task, e EndReport) bool {
	if owner != nil {
		return owner.Run > e.Run && !owner.step.Lasting
	}
	entry, found := s.book.Lookup(e.Task.Job)
	if !found || entry.Progress() == nil || !inside(entry.Job(), e.Task) {
		return false
	}
	at := entry.Job().Position(e.Task)
	runs := entry.Progress().Runs
	return at < len(runs) && runs[at] > e.Run
}

// withhold keeps an end unacknowledged: acknowledging it would confirm a run
// beside the one that was started in its place after the lease had lapsed.
func (s *Scheduler) withhold(t *target, e EndReport) {
	if t.withheld == 0 {
		t.withheld = e.Number
	}
	s.emit(LogEntry{Kind: LogEndWithheld, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Target: t.info.ID})
}

// taskOf returns a task of a job that has not ended.
func (s *Scheduler) taskOf(name cranjob.TaskName) *task {
	j := s.jobs[name.Job]
	if j == nil {
		return nil
	}
	if !inside(j.Job, name) {
		return nil
	}
	return j.tasks[j.Position(name)]
}

// inside reports whether a job has a task of the name.
func inside(j *cranjob.Job, name cranjob.TaskName) bool {
	return name.Occurrence >= 0 && name.Occurrence < j.Occurrences() && name.Step >= 0 && name.Step < len(j.Steps) &&
		name.Index >= 0 && name.Index < j.Steps[name.Step].Count
}

// succeeded takes in that a run of a task ended as done. One such end stands
// for all members of a gang.
func (s *Scheduler) succeeded(owner *task, r *run) {
	if owner.step.Lasting {
		if owner.run == r || owner.run == nil {
			owner.job.setStatus(owner, cranjob.Waiting)
		}
		return
	}
	members := []*task{owner}
	if owner.step.Gang {
		members = owner.job.stageOf(owner).tasks
	}
	for _, m := range members {
		if m.run != r {
			s.detach(m, "another run has succeeded")
		}
		owner.job.setStatus(m, cranjob.Done)
	}
}

// failed counts a failure and puts off the next run, or ends the job. Lasting
// tasks are started again without limit.
func (s *Scheduler) failed(owner *task, number int, current bool) {
	if current {
		owner.job.setStatus(owner, cranjob.Waiting)
	}
	if slices.Contains(owner.Failed, number) {
		return
	}
	owner.Failed = append(owner.Failed, number)
	if !owner.step.Lasting && owner.job.queue != nil && len(owner.Failed) >= owner.job.queue.Attempts {
		s.endJob(owner.job, cranjob.Failed, owner.name.String()+" has failed too often")
		return
	}
	if extra := len(owner.Failed) - cranjob.MaxFailed; extra > 0 && owner.step.Lasting {
		owner.Failed = slices.Delete(owner.Failed, 0, extra)
	}
	pause := failurePauseMax
	if doublings := len(owner.Failed) - 1; doublings < 5 {
		pause = min(failurePause<<doublings, failurePauseMax)
	}
	owner.notBefore = s.clock.Steady + pause
}
