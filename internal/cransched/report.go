package cransched

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// missingReports is how many reports in a row must lack a run that was
// confirmed before it counts as ended: reports may overtake other answers.
const maxMissedReports = 2

// Held takes in the answer to a hold.
func (s *Scheduler) HandleHeartbeatResponse(id TargetRef, a HeartbeatResponse) {
	t := s.targets[id.ID]
	if t == nil || t.info.Address != id.Address {
		return
	}
	t.heartbeatInFlight = false
	t.nextHeartbeatAt = s.clock.Steady + retryPause
	t.heartbeatUnanswered = a.Status != StatusOK
	switch a.Status {
	case StatusOK:
		s.applyReport(t, a)
	case StatusFenced:
		s.markSuperseded(t)
	case StatusOtherTarget:
		s.handleOtherTarget(t)
	}
}

// superseded takes in that a target has seen the token of a later owner.
func (s *Scheduler) markSuperseded(t *target) {
	t.superseded = true
	s.emit(LogEntry{Kind: LogTargetSuperseded, Target: t.info.ID})
}

// otherLife takes in that another target answers at the address.
func (s *Scheduler) handleOtherTarget(t *target) {
	s.emit(LogEntry{Kind: LogTargetGone, Target: t.info.ID, Reason: "another target has its address"})
	s.endTarget(t, "the target is gone")
}

// leftLife takes in that the life of a target has ended for good.
func (s *Scheduler) endTarget(t *target, reason string) {
	s.releaseRuns(t, reason)
	t.ended = true
	t.listed = false
	t.info.Address = ""
}

// report takes in what runs at a target and what has ended there.
func (s *Scheduler) applyReport(t *target, a HeartbeatResponse) {
	if !s.fromCurrentProcess(t, a.Response) {
		return
	}
	t.recordResponse(a.Response, s.clock.Steady)
	t.fenced = true
	for _, e := range a.Finished {
		if e.Number <= t.endsSeen {
			continue
		}
		t.endsSeen = e.Number
		s.handleRunEnd(t, e)
	}
	present := make(map[runName]bool, len(a.Running))
	for _, r := range a.Running {
		present[runName{r.Task, r.Run}] = true
		s.applyRunningRun(t, r)
	}
	for _, r := range t.sortedRuns() {
		if !present[runName{r.name, r.number}] {
			s.handleMissingRun(t, r, a.SentAt)
		}
	}
	s.adjustShares(t)
	switch {
	case t.clockAt > 0 && t.leaseEndMs == 0:
		t.nextHeartbeatAt = s.clock.Steady
	case t.withheldEnd > 0, len(t.runs) == 0 && t.endsSeen == t.endsStored:
		// A target with an end that is listed again and again answers at once.
		t.nextHeartbeatAt = s.clock.Steady + heartbeatInterval
	default:
		t.nextHeartbeatAt = s.clock.Steady + minHeartbeatGap
	}
	t.awaitsStore = t.acknowledgeableEnd() > t.endsStored
}

// sameLife takes in which life of a target has answered, and reports whether
// the answer is of its present one.
func (s *Scheduler) fromCurrentProcess(t *target, a Response) bool {
	switch {
	case a.ProcessStartMs == 0:
		return true
	case t.info.ProcessStartMs == 0:
		t.info.ProcessStartMs = a.ProcessStartMs
	case a.ProcessStartMs < t.info.ProcessStartMs:
		return false
	case a.ProcessStartMs > t.info.ProcessStartMs:
		s.handleRestart(t, a.ProcessStartMs)
	}
	return true
}

// running takes in that a run is present.
func (s *Scheduler) applyRunningRun(t *target, report RunReport) {
	r := t.runs[runName{report.Task, report.Run}]
	if r == nil {
		r = s.addUnknownRun(t, report)
	}
	if r.phase == planned || r.phase == startSent || r.phase == startUnanswered || r.phase == unverified {
		if r.phase == unverified {
			r.startedAt = s.clock.Steady
			r.inherited = true
		}
		r.phase = confirmed
	}
	r.missedReports = 0
	r.startConfirmed = true
	r.progress, r.gauge = report.Percent, report.Gauge
	if r.task == nil || r.task.run != r {
		return
	}
	if report.Checkpoint != "" {
		r.task.Checkpoint = report.Checkpoint
	}
	s.markJobRunning(r)
}

// stray takes in a run that nothing is known of, and has it stopped. It
// occupies room until then.
func (s *Scheduler) addUnknownRun(t *target, report RunReport) *run {
	r := &run{name: report.Task, number: report.Run, phase: stopping, stopReason: "unknown run", share: fullShare}
	if e, found := s.stored.Lookup(report.Task.Job); found && report.Task.Step < len(e.Job().Steps) {
		r.step = &e.Job().Steps[report.Task.Step]
		r.reserved = r.step.Room()
	} else {
		// A run of unknown size may take all that is free.
		r.reserved = t.free()
	}
	t.add(r)
	s.emit(LogEntry{Kind: LogUnknownRun, Job: report.Task.Job, Task: report.Task.String(), Run: report.Run, Target: t.info.ID})
	return r
}

// absent takes in that a report lacks a run.
func (s *Scheduler) handleMissingRun(t *target, r *run, sentAt time.Duration) {
	switch r.phase {
	case unverified:
		// The token of this owner was seen before the report was made, so no
		// order of an earlier owner can start the run any more.
		s.releaseRun(t, r, "a predecessor's order was not carried out")
	case startUnanswered:
		if sentAt > r.answeredAt {
			// The order may still come: it is shut out by a stop.
			s.stopRun(t, r, "the start was not answered")
		}
	case confirmed:
		if r.answeredAt > sentAt {
			return
		}
		r.missedReports++
		if r.missedReports >= maxMissedReports {
			s.stopRun(t, r, "missing from the report")
		}
	case stopping:
		if r.answeredAt > 0 && sentAt > r.answeredAt {
			s.releaseRun(t, r, r.stopReason)
		}
	}
}

// ended takes in the end of a run.
func (s *Scheduler) handleRunEnd(t *target, e EndReport) {
	r := t.runs[runName{e.Task, e.Run}]
	if r != nil {
		t.remove(r)
	}
	parent := s.findTask(e.Task)
	if r == nil && e.Outcome == OutcomeDone && s.hasNewerRun(parent, e) {
		s.withholdEnd(t, e)
	}
	s.emitOnceStored(LogEntry{Kind: LogRunEnded, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Target: t.info.ID, Reason: string(e.Outcome)})
	if parent == nil || parent.Status == cranjob.Done {
		return
	}
	current := r != nil && parent.run == r
	switch e.Outcome {
	case OutcomeDone:
		t.health.record(false, s.clock.Steady)
		if current && r.phase == confirmed {
			s.recordDuration(parent, r)
		}
		s.handleSuccess(parent, r)
	case OutcomeFailed:
		t.health.record(true, s.clock.Steady)
		s.handleFailure(parent, e.Run, current)
	default:
		if e.Checkpoint != "" {
			parent.Checkpoint = e.Checkpoint
		}
		if current {
			parent.job.setStatus(parent, cranjob.Waiting)
		}
	}
	if !parent.job.state.Final() {
		s.markDirty(parent.job)
		s.completeIfDone(parent.job)
	}
}

// learnDuration takes in how long a run took. Runs that an earlier owner had
// started, or that resumed, tell nothing.
func (s *Scheduler) recordDuration(parent *task, r *run) {
	if r.inherited || r.resumed || parent.step.Lasting {
		return
	}
	p := s.predictors[parent.job.Queue]
	if p == nil {
		p = &predictor{}
		s.predictors[parent.job.Queue] = p
	}
	p.add(parent.step.EstimateMs, (s.clock.Steady - r.startedAt).Milliseconds())
	if p.N >= p.storedCount+durationsPerRecord {
		p.storedCount = p.N
		s.pendingRecords = append(s.pendingRecords, cranstore.Record{Key: cranjob.DurationsKey(parent.job.Queue), Value: cranjob.Encode(p.Durations)})
	}
}

// startedAgain reports whether a task was started again after a run of which
// only now is known that it had succeeded.
func (s *Scheduler) hasNewerRun(parent *task, e EndReport) bool {
	if parent != nil {
		return parent.Run > e.Run && !parent.step.Lasting
	}
	entry, found := s.stored.Lookup(e.Task.Job)
	if !found || entry.Progress() == nil || !containsTask(entry.Job(), e.Task) {
		return false
	}
	at := entry.Job().Position(e.Task)
	runs := entry.Progress().Runs
	return at < len(runs) && runs[at] > e.Run
}

// withhold keeps an end unacknowledged: acknowledging it would confirm a run
// beside the one that was started in its place after the lease had lapsed.
func (s *Scheduler) withholdEnd(t *target, e EndReport) {
	if t.withheldEnd == 0 {
		t.withheldEnd = e.Number
	}
	s.emit(LogEntry{Kind: LogEndWithheld, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Target: t.info.ID})
}

// taskOf returns a task of a job that has not ended.
func (s *Scheduler) findTask(name cranjob.TaskName) *task {
	j := s.jobs[name.Job]
	if j == nil {
		return nil
	}
	if !containsTask(j.Job, name) {
		return nil
	}
	return j.tasks[j.Position(name)]
}

// inside reports whether a job has a task of the name.
func containsTask(j *cranjob.Job, name cranjob.TaskName) bool {
	return name.Occurrence >= 0 && name.Occurrence < j.Occurrences() && name.Step >= 0 && name.Step < len(j.Steps) &&
		name.Index >= 0 && name.Index < j.Steps[name.Step].Count
}

// succeeded takes in that a run of a task ended as done. One such end stands
// for all members of a gang.
func (s *Scheduler) handleSuccess(parent *task, r *run) {
	if parent.step.Lasting {
		if parent.run == r || parent.run == nil {
			parent.job.setStatus(parent, cranjob.Waiting)
		}
		return
	}
	members := []*task{parent}
	if parent.step.Gang {
		members = parent.job.stageOf(parent).tasks
	}
	for _, m := range members {
		if m.run != r {
			s.abandonRun(m, "another run has succeeded")
		}
		parent.job.setStatus(m, cranjob.Done)
	}
}

// failed counts a failure and puts off the next run, or ends the job. Lasting
// tasks are started again without limit.
func (s *Scheduler) handleFailure(parent *task, number int, current bool) {
	if current {
		parent.job.setStatus(parent, cranjob.Waiting)
	}
	if slices.Contains(parent.Failed, number) {
		return
	}
	parent.Failed = append(parent.Failed, number)
	if !parent.step.Lasting && parent.job.queue != nil && len(parent.Failed) >= parent.job.queue.Attempts {
		s.endJob(parent.job, cranjob.Failed, parent.name.String()+" has failed too often")
		return
	}
	if extra := len(parent.Failed) - cranjob.MaxFailed; extra > 0 && parent.step.Lasting {
		parent.Failed = slices.Delete(parent.Failed, 0, extra)
	}
	backoff := maxFailureBackoff
	if doublings := len(parent.Failed) - 1; doublings < 5 {
		backoff = min(failureBackoff<<doublings, maxFailureBackoff)
	}
	parent.notBefore = s.clock.Steady + backoff
}
