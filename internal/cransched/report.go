package cransched

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// maxMissedReports is the number of consecutive reports without a confirmed run after
// which the run is stopped. A single report proves nothing, since responses may arrive out
// of order.
const maxMissedReports = 2

// HandleHeartbeatResponse handles the response to a Heartbeat.
func (s *Scheduler) HandleHeartbeatResponse(ref TargetRef, resp HeartbeatResponse) {
	t := s.targets[ref.ID]
	if t == nil {
		return
	}
	t.heartbeatInFlight = false
	if t.heartbeatsUnderWay = max(t.heartbeatsUnderWay-1, 0); t.heartbeatsUnderWay == 0 {
		t.acknowledgementArrivesBy = 0
	}
	t.nextHeartbeatAt = s.clock.Steady + retryPause + s.lag
	t.heartbeatFailed = resp.Status != StatusOK
	if t.info.Address != ref.Address {
		t.heartbeatFailed = true
		return
	}
	switch resp.Status {
	case StatusOK:
		s.applyReport(t, resp)
	case StatusFenced:
		s.markSuperseded(t)
	case StatusOtherTarget:
		s.handleOtherTarget(t, ref.Address)
	case StatusNotSent:
		t.noStartsBefore = max(t.noStartsBefore, s.clock.Steady+refusalPause)
	}
}

// markSuperseded records that a target has seen the token of a later owner.
func (s *Scheduler) markSuperseded(t *target) {
	t.superseded = true
	s.emit(LogEntry{Kind: LogTargetSuperseded, Target: t.info.ID})
}

// handleOtherTarget handles the response of another target at an address. It says nothing about
// a target that has answered at another one, nor about runs of an earlier owner while their target
// hasn't answered this one: its entry may be of another writer.
func (s *Scheduler) handleOtherTarget(t *target, address string) {
	if address != t.info.Address {
		return
	}
	if t.answeredAddress != "" && t.answeredAddress != address {
		t.info.Address = t.answeredAddress
		return
	}
	if t.answeredAddress == "" && len(t.runs) > 0 {
		return
	}
	s.emit(LogEntry{Kind: LogTargetGone, Target: t.info.ID, Reason: "another target has its address"})
	lost := s.lossOf(t)
	s.endTarget(t, "the target is gone")
	s.recordCrash(lost, "another target has its address")
}

// endTarget records that a target no longer exists and releases its runs.
func (s *Scheduler) endTarget(t *target, reason string) {
	s.releaseRuns(t, reason)
	t.ended = true
	t.listed = false
	t.endedAddress = t.info.Address
	t.info.Address = ""
}

// applyReport updates the runs of a target from its report of running and finished runs.
func (s *Scheduler) applyReport(t *target, resp HeartbeatResponse) {
	if !s.fromCurrentProcess(t, resp.Response) {
		return
	}
	t.recordResponse(resp.Response, s.clock.Steady)
	t.unansweredBy = 0
	if !t.fenced && t.addedAt > s.fleet.listRequestedAt && t.describesProcess() {
		s.observeArrival(t)
	}
	t.fenced = t.fenced || resp.SentAt >= t.awaitsResponseSince
	t.answeredAddress = t.info.Address
	s.settleEntry(t, resp.SentAt)
	if resp.SentAt >= t.restartSuspectedSince {
		t.restartSuspectedSince = 0
	}
	s.recordCrashOfInstance(t)
	delete(s.suspensions.wanted, t.info.ID)
	t.firstListedEnd = 0
	for _, e := range resp.Finished {
		if t.firstListedEnd == 0 || e.Number < t.firstListedEnd {
			t.firstListedEnd = e.Number
		}
		if e.Number <= t.endsSeen {
			continue
		}
		t.endsSeen = e.Number
		s.handleRunEnd(t, e)
	}
	reported := make(map[runName]bool, len(resp.Running))
	for _, r := range resp.Running {
		reported[runName{r.Task, r.Run}] = true
		s.applyRunningRun(t, r, resp.SentAt)
	}
	missing := 0
	for _, r := range t.sortedRuns() {
		switch {
		case reported[runName{r.name, r.number}]:
		case resp.MoreEnds:
			missing++
			s.handleUnlistedRun(t, r, resp.SentAt)
		default:
			s.handleMissingRun(t, r, resp.SentAt)
		}
	}
	if resp.MoreEnds && !t.hasUnlistedEnds {
		s.emit(LogEntry{Kind: LogEndsUnlisted, Target: t.info.ID, Run: missing})
	}
	t.hasUnlistedEnds = resp.MoreEnds
	s.adjustShares(t)
	switch {
	case s.suspensions.active(t.info.ID):
		t.nextHeartbeatAt = s.clock.Steady + minHeartbeatGap
	case t.hasTrial():
		t.nextHeartbeatAt = s.clock.Steady
	case t.clockAt > 0 && t.leaseEndMs == 0:
		// No lease could be granted until this report, the first with the target's clock.
		t.nextHeartbeatAt = s.clock.Steady
	case len(t.runs) == 0 && t.endsSeen == t.endsStored && !t.listsStoredEnd():
		t.nextHeartbeatAt = s.clock.Steady + heartbeatInterval
	default:
		t.nextHeartbeatAt = s.clock.Steady + s.heartbeatGap()
	}
	t.awaitsStore = t.endsSeen > t.endsStored
}

// fromCurrentProcess reports whether a response is from the current process of a target.
// It handles a restart if the response is from a newer process.
func (s *Scheduler) fromCurrentProcess(t *target, resp Response) bool {
	switch {
	case resp.ProcessStartMs == 0:
		return true
	case resp.ProcessStartMs < t.processStartMs:
		return false
	case t.processStartMs != 0 && resp.ProcessStartMs > t.processStartMs:
		s.handleRestart(t)
	}
	t.processStartMs = resp.ProcessStartMs
	return true
}

// applyRunningRun records that a run is present on a target.
func (s *Scheduler) applyRunningRun(t *target, report RunReport, sentAt time.Duration) {
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
	r.startConfirmed, r.inCurrentProcess, r.awaitsReport = true, true, false
	r.progress, r.gauge = report.Percent, report.Gauge
	if r.task == nil || r.task.run != r {
		return
	}
	if report.Checkpoint != "" {
		r.task.Checkpoint = report.Checkpoint
	}
	s.observePresence(r, sentAt)
	s.markJobRunning(r)
}

// addUnknownRun adds a run that the scheduler doesn't know and stops it. It occupies
// resources until it has ended.
func (s *Scheduler) addUnknownRun(t *target, report RunReport) *run {
	r := &run{name: report.Task, number: report.Run, phase: stopping, stopReason: "unknown run", share: fullShare}
	if e, found := s.stored.Lookup(report.Task.Job); found && report.Task.Step < len(e.Job().Steps) {
		r.step = &e.Job().Steps[report.Task.Step]
		r.reserved, r.tenant = r.step.Reservation(), e.Job().Tenant
	} else {
		// A run of unknown size may use all free resources.
		r.reserved = t.free().NonNegative()
	}
	t.add(r)
	s.emit(LogEntry{Kind: LogUnknownRun, Job: report.Task.Job, Task: report.Task.String(), Run: report.Run, Target: t.info.ID})
	return r
}

// handleUnlistedRun handles a run that is absent from a report that may leave ends out. A later report may list its end,
// so the absence proves nothing. A start without an answer is settled all the same: until then the target gets no
// acknowledgement, without which it lists no further ends.
func (s *Scheduler) handleUnlistedRun(t *target, r *run, sentAt time.Duration) {
	switch {
	case r.answeredAt == 0 || sentAt <= r.answeredAt:
	case r.phase == startUnanswered:
		s.stopRun(t, r, "the start was not answered")
	case r.phase == stopping:
		r.stopSettled = true
	}
}

// handleMissingRun handles a run that is absent from a report that lists all ends.
func (s *Scheduler) handleMissingRun(t *target, r *run, sentAt time.Duration) {
	switch r.phase {
	case unverified:
		// The target saw the token of this owner before it made the report, so no order of
		// an earlier owner can start the run any more.
		s.releaseRun(t, r, "a predecessor's order was not carried out")
		s.recordLossOfInherited(r, t.info.ID)
	case startUnanswered:
		if sentAt > r.answeredAt {
			// The start may still arrive later. A stop makes the target reject it.
			s.stopRun(t, r, "the start was not answered")
		}
	case confirmed:
		if r.answeredAt > sentAt {
			return
		}
		if r.awaitsReport {
			s.releaseRun(t, r, "the target has restarted")
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

// handleRunEnd handles the reported end of a run.
func (s *Scheduler) handleRunEnd(t *target, e EndReport) {
	r := t.runs[runName{e.Task, e.Run}]
	if r != nil {
		t.remove(r)
	}
	parent := s.findTask(e.Task)
	if r == nil && e.Outcome == OutcomeDone && s.hasNewerRun(parent, e) {
		// The task was started again because the lease of this run had expired, so the end was never taken note of under
		// that lease, and may be acknowledged. Otherwise the target would list it for good, and few later ones.
		s.emit(LogEntry{Kind: LogEndSuperseded, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Target: t.info.ID})
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
		if current {
			s.observeLoss(t, r)
		}
		s.handleFailure(parent, e.Run, current)
	default:
		if e.Checkpoint != "" {
			parent.Checkpoint = e.Checkpoint
		}
		if current {
			s.observeLoss(t, r)
			s.setStatus(parent, cranjob.Waiting)
		}
	}
	if !parent.job.state.Final() {
		s.markDirty(parent.job)
		s.completeIfDone(parent.job)
	}
}

// recordDuration adds the duration of a run to the predictor of its queue. Runs that an
// earlier owner started or that resumed from a checkpoint are excluded, since their
// measured duration covers only part of the work.
func (s *Scheduler) recordDuration(parent *task, r *run) {
	if r.inherited || r.resumed || parent.step.LongRunning {
		return
	}
	p := s.predictors[parent.job.Queue]
	if p == nil {
		p = &predictor{}
		s.predictors[parent.job.Queue] = p
	}
	durationMs := (s.clock.Steady - r.startedAt).Milliseconds()
	s.observeEnd(parent, r, durationMs)
	parent.job.recordDuration(parent, float64(durationMs))
	p.add(parent.step.EstimateMs, durationMs)
	if p.N >= p.storedCount+durationsPerRecord {
		p.storedCount = p.N
		s.pendingRecords = append(s.pendingRecords, cranstore.Record{Key: cranjob.DurationsKey(parent.job.Queue), Value: cranjob.Encode(p.Durations)})
	}
}

// hasNewerRun reports whether a task was started again after the run whose success is
// reported only now.
func (s *Scheduler) hasNewerRun(parent *task, e EndReport) bool {
	if parent != nil {
		return parent.Run > e.Run && !parent.step.LongRunning
	}
	entry, found := s.stored.Lookup(e.Task.Job)
	if !found || entry.Progress() == nil || !containsTask(entry.Job(), e.Task) {
		return false
	}
	position := entry.Job().Position(e.Task)
	runs := entry.Progress().Runs
	return position < len(runs) && runs[position] > e.Run
}

// findTask returns a task of a job that has not ended, or nil.
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

// containsTask reports whether a job has a task with the name.
func containsTask(j *cranjob.Job, name cranjob.TaskName) bool {
	return name.Occurrence >= 0 && name.Occurrence < j.Occurrences() && name.Step >= 0 && name.Step < len(j.Steps) &&
		name.Index >= 0 && name.Index < j.Steps[name.Step].Count
}

// handleSuccess marks a task as done. One success counts for all members of a gang.
func (s *Scheduler) handleSuccess(parent *task, r *run) {
	if parent.step.LongRunning {
		if parent.run == r || parent.run == nil {
			s.setStatus(parent, cranjob.Waiting)
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
		s.setStatus(m, cranjob.Done)
	}
}

// handleFailure counts a failed run and delays the next one, or fails the job after too
// many. Long-running tasks are restarted without limit.
func (s *Scheduler) handleFailure(parent *task, number int, current bool) {
	if current {
		s.setStatus(parent, cranjob.Waiting)
	}
	if slices.Contains(parent.Failed, number) {
		return
	}
	parent.Failed = append(parent.Failed, number)
	if !parent.step.LongRunning && parent.job.queue != nil && len(parent.Failed) >= parent.job.queue.Attempts {
		s.endJob(parent.job, cranjob.Failed, parent.name.String()+" has failed too often")
		return
	}
	if excess := len(parent.Failed) - cranjob.MaxFailed; excess > 0 && parent.step.LongRunning {
		parent.Failed = slices.Delete(parent.Failed, 0, excess)
	}
	backoff := maxFailureBackoff
	if doublings := len(parent.Failed) - 1; doublings < 5 {
		backoff = min(failureBackoff<<doublings, maxFailureBackoff)
	}
	parent.notBefore = s.clock.Steady + backoff
}
