package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// startTask reserves a task's resources on a target. The start is sent once the placement
// is stored.
func (s *Scheduler) startTask(t *task, dest *target, number int) {
	if j := t.job; !j.placedBefore && j.Times == 0 {
		j.placedBefore = true
		s.emitOnceStored(LogEntry{Kind: LogFirstStart, AgeMs: s.clock.UnixMs - j.ReceivedMs})
	}
	s.recordFirstStart(t.job, t.job.stageOf(t))
	t.Run = number
	t.job.setStatus(t, cranjob.Placed)
	t.Target = dest.info.ID
	t.run = &run{name: t.name, number: number, reserved: t.step.Reservation(), phase: planned, task: t, step: t.step, tenant: t.job.Tenant, share: fullShare, resumed: t.Checkpoint != "", expected: t.job.expectation(t.name.Step)}
	dest.add(t.run)
	s.countStart(t)
	if t.suspected() {
		t.run.apart = true
		s.rememberHost(t, dest)
	}
	s.markDirty(t.job)
	s.chargeStart(t)
	s.startsPaced.planned++
	s.emitOnceStored(LogEntry{Kind: LogRunPlaced, Job: t.job.ID, Task: t.name.String(), Run: number, Target: dest.info.ID, AgeMs: (s.clock.Steady - dest.lastResponseAt).Milliseconds()})
	s.emitOnceStored(StartRun{
		Target: dest.address(), Task: t.name, Run: number, Spec: t.job.Spec, Token: s.token, Checkpoint: t.Checkpoint,
		Ticket: dest.validTicket(t.job.stageOf(t).name, s.clock.Steady),
	})
}

// dropStart releases the run of a stored start whose target has changed so that it must not be sent. The
// other members of a gang, which are stored with it, would wait for it in vain and are released too.
func (s *Scheduler) dropStart(e StartRun) {
	t := s.targets[e.Target.ID]
	if t == nil {
		return
	}
	r := t.runs[runName{e.Task, e.Run}]
	if r == nil || r.phase != planned {
		return
	}
	reason := ""
	switch {
	case !s.mayGrantLease(t):
		reason = "no lease may be granted to the target"
	case !t.info.Capacity.Fits(t.used):
		reason = "the target has shrunk"
	case t.info.Draining:
		reason = "the target drains"
	case s.exceedsCap(r):
		reason = "the cap of the tenant has been lowered"
	default:
		return
	}
	if r.task == nil || !r.step.Gang {
		s.releasePlanned(t, r, reason)
		return
	}
	for _, member := range r.task.job.stageOf(r.task).tasks {
		if member.run != nil && member.run.phase == planned {
			s.releasePlanned(s.targets[member.Target], member.run, reason)
		}
	}
}

// sendStart sends a stored start unless its run was released in the meantime.
func (s *Scheduler) sendStart(e StartRun) {
	t := s.targets[e.Target.ID]
	if t == nil {
		return
	}
	r := t.runs[runName{e.Task, e.Run}]
	if r == nil || r.phase != planned {
		return
	}
	r.phase = startSent
	r.startedAt = s.clock.Steady
	s.startsPaced.sent(runName{e.Task, e.Run}, s.clock.Steady)
	e.DeadlineMs, e.SendBy = s.grantLease(t), s.startsUntil
	s.emit(e)
}

// SetStartsUntil sets the time up to which tasks may start, as the owner may not know of every
// cancellation by then that must be in effect. Without a call there is no bound.
func (s *Scheduler) SetStartsUntil(at time.Duration) { s.startsUntil = at }

// mayStart reports whether the owner knows enough to start tasks.
func (s *Scheduler) mayStart() bool { return s.clock.Steady <= s.startsUntil }
