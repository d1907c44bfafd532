package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// roomPause is how long a target that refused a start for want of room
	// gets no other.
	roomPause = 400 * time.Millisecond
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
	if a.Status != StatusUnanswered && a.Status != StatusOtherTarget && !s.sameLife(t, a) {
		return
	}
	if a.ClockMs > 0 {
		t.learn(a, s.clock.Steady)
	}
	r := t.runs[runName{e.Task, e.Run}]
	if r != nil && a.Status == StatusOK {
		r.started = true
	}
	if r == nil || r.phase != ordered {
		s.lateAnswer(t, r, a)
		return
	}
	now := s.clock.Steady
	switch a.Status {
	case StatusOK:
		r.phase = present
		r.answeredAt = now
		t.soon(now + holdPause)
		s.noteRunning(r)
	case StatusUnanswered:
		s.emit(LogEntry{Kind: LogStartUnanswered, Job: e.Task.Job, Task: e.Task.String(), Run: e.Run, Target: t.info.ID, AgeMs: (now - a.SentAt).Milliseconds()})
		r.phase = doubtful
		r.answeredAt = now
		t.soon(now)
	case StatusOtherTarget:
		s.otherLife(t)
	default:
		s.refused(t, r, a.Status)
	}
}

// lateAnswer takes in the answer to a start that was given up meanwhile: if
// it was refused, nothing is left to stop.
func (s *Scheduler) lateAnswer(t *target, r *run, a Response) {
	if r != nil && r.phase == stopping && a.Status != StatusOK && a.Status != StatusUnanswered {
		s.release(t, r, "the start was refused")
	}
}

// noteRunning takes in that a target has a run of a job.
func (s *Scheduler) noteRunning(r *run) {
	if r.task == nil {
		return
	}
	if j := r.task.job; j.state == cranjob.Queued {
		j.state = cranjob.Running
		s.mark(j)
	}
}

// refused takes in that a start had no effect.
func (s *Scheduler) refused(t *target, r *run, verdict CallStatus) {
	now := s.clock.Steady
	s.emit(LogEntry{Kind: LogStartRefused, Job: r.name.Job, Task: r.name.String(), Run: r.number, Target: t.info.ID, Reason: verdict.String()})
	switch verdict {
	case StatusFenced:
		s.superseded(t)
	case StatusNoCapacity:
		t.fullUntil = now + roomPause
	case StatusInvalidTicket:
		t.tickets = nil
	case StatusRefused:
		t.fullUntil = now + refusalPause
	}
	if r.task != nil {
		r.task.notBefore = now + taskRefusalPause
	}
	s.release(t, r, "the start was refused")
}

// stopRun has a run stopped. Its room stays taken until it has ended.
func (s *Scheduler) stopRun(t *target, r *run, reason string) {
	switch r.phase {
	case stopping:
		return
	case planned:
		// The order has not left and will not.
		s.release(t, r, reason)
		return
	}
	r.phase = stopping
	r.answeredAt = 0
	r.stopReason = reason
	s.sendStop(t, r)
}

func (s *Scheduler) sendStop(t *target, r *run) {
	r.stopAt = s.clock.Steady + stopRepeat
	if t.info.Address == "" || t.superseded {
		return
	}
	s.emit(LogEntry{Kind: LogRunStopped, Job: r.name.Job, Task: r.name.String(), Run: r.number, Target: t.info.ID, Reason: r.stopReason})
	s.emit(StopRun{Target: t.address(), Task: r.name, Run: r.number, Token: s.token})
}

// stopRepeat is when a stop is sent again if its end isn't listed; it is
// longer than a stop takes.
const stopRepeat = 1500 * time.Millisecond

// Stopped takes in the answer to a stop.
func (s *Scheduler) HandleStopResponse(e StopRun, a Response) {
	t := s.targets[e.Target.ID]
	if t == nil {
		return
	}
	now := s.clock.Steady
	if a.Status == StatusOtherTarget {
		s.otherLife(t)
		return
	}
	if a.ClockMs > 0 && s.sameLife(t, a) {
		t.learn(a, s.clock.Steady)
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
		t.soon(now + holdPause)
	case StatusFenced:
		s.superseded(t)
	default:
		r.stopAt = now + retryPause
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
		r.pace = unknownPace
	}
}

// String returns the word for the log.
func (v CallStatus) String() string {
	return [...]string{"unanswered", "done", "fenced", "old", "late", "room", "ticket", "refused", "invalid", "otherLife", "unreached", "busy"}[v]
}
