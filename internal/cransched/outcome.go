package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// roomPause is how long a target that refused a start for want of room
	// gets no other.
	noCapacityPause = 400 * time.Millisecond
	// refusalPause is how long a target that refused a start for another
	// reason gets no other.
	refusalPause = 800 * time.Millisecond
	// taskRefusalPause puts off a task whose start was refused.
	taskRefusalPause = 150 * time.Millisecond
)

// Started takes in the answer to a start.
func (s *Scheduler) HandleStartResponse(e StartRun, a Response) {
	t := s.targets[e.Target.ID]
	if t == nil {
		return
	}
	if a.Status != StatusUnanswered && a.Status != StatusOtherTarget && !s.fromCurrentProcess(t, a) {
		return
	}
	if a.ClockMs > 0 {
		t.recordResponse(a, s.clock.Steady)
	}
	r := t.runs[runName{e.Task, e.Run}]
	if r != nil && a.Status == StatusOK {
		r.startConfirmed = true
	}
	if r == nil || r.phase != startSent {
		s.handleLateStartResponse(t, r, a)
		return
	}
	now := s.clock.Steady
	switch a.Status {
	case StatusOK:
		r.phase = confirmed
		r.answeredAt = now
		t.advanceHeartbeat(now + minHeartbeatGap)
		s.markJobRunning(r)
	case StatusUnanswered:
		s.emit(LogEntry{Kind: LogStartUnanswered, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Target: t.info.ID, AgeMs: (now - a.SentAt).Milliseconds()})
		r.phase = startUnanswered
		r.answeredAt = now
		t.advanceHeartbeat(now)
	case StatusOtherTarget:
		s.handleOtherTarget(t)
	default:
		s.handleStartRefused(t, r, a.Status)
	}
}

// lateAnswer takes in the answer to a start that was given up meanwhile: if
// it was refused, nothing is left to stop.
func (s *Scheduler) handleLateStartResponse(t *target, r *run, a Response) {
	if r != nil && r.phase == stopping && a.Status != StatusOK && a.Status != StatusUnanswered {
		s.releaseRun(t, r, "the start was refused")
	}
}

// noteRunning takes in that a target has a run of a job.
func (s *Scheduler) markJobRunning(r *run) {
	if r.task == nil {
		return
	}
	if j := r.task.job; j.state == cranjob.Queued {
		j.state = cranjob.Running
		s.markDirty(j)
	}
}

// refused takes in that a start had no effect.
func (s *Scheduler) handleStartRefused(t *target, r *run, status CallStatus) {
	now := s.clock.Steady
	s.emit(LogEntry{Kind: LogStartRefused, Job: r.name.Job, Task: r.name.String(), Run: r.number, Target: t.info.ID, Reason: status.String()})
	switch status {
	case StatusFenced:
		s.markSuperseded(t)
	case StatusNoCapacity:
		t.noStartsBefore = now + noCapacityPause
	case StatusInvalidTicket:
		t.tickets = nil
	case StatusRefused:
		t.noStartsBefore = now + refusalPause
	}
	if r.task != nil {
		r.task.notBefore = now + taskRefusalPause
	}
	s.releaseRun(t, r, "the start was refused")
}

// stopRun has a run stopped. Its room stays taken until it has ended.
func (s *Scheduler) stopRun(t *target, r *run, reason string) {
	switch r.phase {
	case stopping:
		return
	case planned:
		// The order has not left and will not.
		s.releaseRun(t, r, reason)
		return
	}
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

// stopRepeat is when a stop is sent again if its end isn't listed; it is
// longer than a stop takes.
const stopRetryInterval = 1500 * time.Millisecond

// Stopped takes in the answer to a stop.
func (s *Scheduler) HandleStopResponse(e StopRun, a Response) {
	t := s.targets[e.Target.ID]
	if t == nil {
		return
	}
	now := s.clock.Steady
	if a.Status == StatusOtherTarget {
		s.handleOtherTarget(t)
		return
	}
	if a.ClockMs > 0 && s.fromCurrentProcess(t, a) {
		t.recordResponse(a, s.clock.Steady)
	}
	r := t.runs[runName{e.Task, e.Run}]
	if r == nil || r.phase != stopping {
		return
	}
	switch a.Status {
	case StatusOK:
		if r.answeredAt == 0 {
			r.answeredAt = now
		}
		t.advanceHeartbeat(now + minHeartbeatGap)
	case StatusFenced:
		s.markSuperseded(t)
	default:
		r.nextStopAt = now + retryPause
	}
}

// Paced takes in the answer to a pace.
func (s *Scheduler) HandleThrottleResponse(e Throttle, a Response) {
	t := s.targets[e.Target.ID]
	if t == nil || a.Status == StatusOK {
		return
	}
	if r := t.runs[runName{e.Task, e.Run}]; r != nil {
		// The share at which it works isn't known; the next decision sets it.
		r.share = unknownShare
	}
}

// String returns the word for the log.
func (v CallStatus) String() string {
	return [...]string{"unanswered", "done", "fenced", "old", "late", "room", "ticket", "refused", "invalid", "otherLife", "unreached", "busy"}[v]
}
