package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// noCapacityPause is how long a target gets no further start after it has refused one
	// for lack of capacity.
	noCapacityPause = 400 * time.Millisecond
	// refusalPause is how long a target gets no further start after it has refused one for
	// another reason, or any connection.
	refusalPause = 800 * time.Millisecond
	// taskRefusalPause is the delay before a task is placed again whose start was refused.
	taskRefusalPause = 150 * time.Millisecond
)

// HandleStartResponse handles the response to a StartRun.
func (s *Scheduler) HandleStartResponse(e StartRun, resp Response) {
	s.startsPaced.answered(runName{e.Task, e.Run})
	defer s.sendQueuedStarts()
	t := s.targets[e.Target.ID]
	if t == nil {
		return
	}
	switch {
	case resp.Status == StatusOtherTarget:
		s.handleOtherTarget(t, e.Target.Address)
	case resp.Status != StatusUnanswered && !s.fromCurrentProcess(t, resp):
		return
	case resp.ClockMs > 0:
		t.recordResponse(resp, s.clock.Steady)
		s.suspectRestart(t, resp)
	}
	r := t.runs[runName{e.Task, e.Run}]
	if r != nil && resp.Status == StatusOK {
		r.startConfirmed = true
		r.inCurrentProcess = r.inCurrentProcess || resp.ProcessStartMs != 0
		r.answeredInTime = !t.isFromRestarted(resp)
	}
	if r == nil || r.phase != startSent {
		s.handleLateStartResponse(t, r, resp)
		return
	}
	now := s.clock.Steady
	switch resp.Status {
	case StatusOK:
		r.phase = confirmed
		r.answeredAt = now
		r.presentSince = now
		if r.apart {
			t.advanceHeartbeat(now)
		} else {
			t.advanceHeartbeat(now + s.heartbeatGap())
		}
		s.markJobRunning(r)
	case StatusUnanswered:
		s.emit(LogEntry{Kind: LogStartUnanswered, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Target: t.info.ID, AgeMs: (now - resp.SentAt).Milliseconds()})
		r.phase = startUnanswered
		r.answeredAt = now
		t.advanceHeartbeat(now + s.lag)
	default:
		s.handleStartRefused(t, r, resp.Status)
	}
}

// handleLateStartResponse handles the response to a start whose run was ordered to stop in
// the meantime. If the start was refused, there is nothing to stop.
func (s *Scheduler) handleLateStartResponse(t *target, r *run, resp Response) {
	if r != nil && r.phase == stopping && resp.Status != StatusOK && resp.Status != StatusUnanswered {
		s.releaseRun(t, r, "the start was refused")
	}
}

// markJobRunning changes the state of a queued job to running when the first of its runs
// is confirmed.
func (s *Scheduler) markJobRunning(r *run) {
	if r.task == nil {
		return
	}
	if j := r.task.job; j.state == cranjob.Queued {
		j.state = cranjob.Running
		s.publish(j)
		s.markDirty(j)
	}
}

// handleStartRefused handles a start that had no effect.
func (s *Scheduler) handleStartRefused(t *target, r *run, status CallStatus) {
	now := s.clock.Steady
	if status == StatusWithheld {
		if r.task != nil {
			r.task.notBefore = now + taskRefusalPause
		}
		s.releaseRun(t, r, "the start was withheld")
		return
	}
	s.emit(LogEntry{Kind: LogStartRefused, Job: r.name.Job, Task: r.name.String(), Run: r.number, Target: t.info.ID, Reason: status.String()})
	switch status {
	case StatusFenced:
		s.markSuperseded(t)
	case StatusNoCapacity:
		t.noStartsBefore = max(t.noStartsBefore, now+noCapacityPause)
	case StatusInvalidTicket:
		t.tickets = nil
	case StatusRefused, StatusNotSent:
		t.noStartsBefore = max(t.noStartsBefore, now+refusalPause)
	}
	if r.task != nil {
		r.task.notBefore = now + taskRefusalPause
	}
	s.releaseRun(t, r, "the start was refused")
}

// stopRun stops a run. Its resources stay reserved until it has ended.
func (s *Scheduler) stopRun(t *target, r *run, reason string) {
	switch r.phase {
	case stopping:
		return
	case planned:
		// The start has not been sent, and releaseRun prevents it from being sent.
		s.releaseRun(t, r, reason)
		return
	}
	s.observeLoss(t, r)
	r.phase = stopping
	r.answeredAt = 0
	r.stopReason = reason
	s.sendStop(t, r)
}

func (s *Scheduler) sendStop(t *target, r *run) {
	r.nextStopAt = s.clock.Steady + stopRetryInterval
	if t.info.Address == "" || t.superseded {
		return
	}
	s.emit(LogEntry{Kind: LogRunStopped, Job: r.name.Job, Task: r.name.String(), Run: r.number, Target: t.info.ID, Reason: r.stopReason})
	s.emit(StopRun{Target: t.address(), Task: r.name, Run: r.number, Token: s.token})
}

// stopRetryInterval is the time after which a stop is sent again if the end of the run
// hasn't been reported. It is longer than a stop takes.
const stopRetryInterval = 1500 * time.Millisecond

// HandleStopResponse handles the response to a StopRun.
func (s *Scheduler) HandleStopResponse(e StopRun, resp Response) {
	t := s.targets[e.Target.ID]
	if t == nil {
		return
	}
	now := s.clock.Steady
	if resp.Status == StatusOtherTarget {
		s.handleOtherTarget(t, e.Target.Address)
		if r := t.runs[runName{e.Task, e.Run}]; r != nil {
			r.nextStopAt = now + retryPause
		}
		return
	}
	if resp.ClockMs > 0 && s.fromCurrentProcess(t, resp) {
		t.recordResponse(resp, s.clock.Steady)
		s.suspectRestart(t, resp)
	}
	r := t.runs[runName{e.Task, e.Run}]
	if r == nil || r.phase != stopping {
		return
	}
	switch resp.Status {
	case StatusOK:
		if r.answeredAt == 0 {
			r.answeredAt = now
		}
		t.advanceHeartbeat(now + s.heartbeatGap())
	case StatusFenced:
		s.markSuperseded(t)
	default:
		r.nextStopAt = now + retryPause
	}
}

// HandleThrottleResponse handles the response to a Throttle.
func (s *Scheduler) HandleThrottleResponse(e Throttle, resp Response) {
	t := s.targets[e.Target.ID]
	if t == nil || resp.Status == StatusOK {
		return
	}
	if r := t.runs[runName{e.Task, e.Run}]; r != nil {
		// It isn't known which share is in effect; the next adjustment sets it.
		r.share = unknownShare
	}
}

// String returns the status as it is written to logs and metrics.
func (c CallStatus) String() string {
	return [...]string{"unanswered", "done", "fenced", "old", "late", "room", "ticket", "refused", "invalid", "otherLife", "unreached", "withheld", "busy"}[c]
}
