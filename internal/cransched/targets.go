package cransched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// unlistedTimeout is how long a target may be missing from the store's list before it
// counts as gone. Entries that expire during an outage of the store reappear within two
// seconds after the outage.
const unlistedTimeout = 2500 * time.Millisecond

// SetTargets applies the store's list of targets. A target that is missing counts as
// listed for at least unlistedTimeout, and as long as it responds.
func (s *Scheduler) SetTargets(list []TargetInfo) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		t := s.targets[info.ID]
		if t == nil {
			t = newTarget(info, s.clock.Steady, s.earlierLeaseEnd(info.ID))
			s.addTarget(t)
		}
		s.applyEntry(t, info)
	}
	for _, t := range slices.Clone(s.sorted) {
		switch {
		case listed[t.info.ID]:
		case t.ended:
			s.removeTarget(t)
		case t.listed && t.unlistedAt == 0:
			t.unlistedAt = s.clock.Steady
		}
	}
}

// applyEntry applies the entry of a target, which may be of another writer. Only the target's own
// responses prove a restart, and while it responds, an entry doesn't change its address.
func (s *Scheduler) applyEntry(t *target, info TargetInfo) {
	responds := t.fenced && !t.overdue(s.clock.Steady)
	otherStart := info.ProcessStartMs != t.info.ProcessStartMs
	switch {
	case t.ended && (otherStart || info.Address != t.endedAddress):
		s.handleRestart(t)
	case t.ended:
		return
	case t.processStartMs == 0:
		// Responses may carry no start time.
		if t.fenced && t.info.ProcessStartMs != 0 && info.ProcessStartMs > t.info.ProcessStartMs {
			s.handleRestart(t)
		}
	case info.Address != t.info.Address || otherStart && info.ProcessStartMs != t.processStartMs:
		s.verifyEntry(t, info, responds)
		if responds {
			return
		}
	}
	t.info = info
	t.listed = true
	t.unlistedAt = 0
}

// verifyEntry handles an entry that differs from what the target is known to be. If it tells of a
// restart, the target is asked at once.
func (s *Scheduler) verifyEntry(t *target, info TargetInfo, responds bool) {
	if info.Address == t.unverified.Address && info.ProcessStartMs == t.unverified.ProcessStartMs {
		return
	}
	t.unverified = info
	switch {
	case info.ProcessStartMs > t.processStartMs:
		t.unverifiedSince = s.clock.Steady
		s.askAtOnce(t)
	case responds:
		s.emit(LogEntry{Kind: LogEntryRefuted, Target: t.info.ID})
	}
}

// askAtOnce asks a target that may have restarted for a report, also if the previous process owes one.
func (s *Scheduler) askAtOnce(t *target) {
	t.earlierLeasesEndAt = max(t.earlierLeasesEndAt, s.clock.Steady+s.restartedLeaseBound())
	t.heartbeatInFlight = false
	t.advanceHeartbeat(s.clock.Steady)
}

// suspectRestart handles a response to an order that doesn't name its process but shows by its clock reading
// that the target has restarted.
func (s *Scheduler) suspectRestart(t *target, resp Response) {
	if resp.ProcessStartMs != 0 || t.restartSuspectedSince != 0 || !t.isFromRestarted(resp) {
		return
	}
	t.restartSuspectedSince = s.clock.Steady
	s.askAtOnce(t)
}

// settleEntry compares an unverified entry with a response of the target, by which it is known
// whether it has restarted.
func (s *Scheduler) settleEntry(t *target, sentAt time.Duration) {
	if t.unverifiedSince == 0 || sentAt < t.unverifiedSince {
		return
	}
	t.unverifiedSince = 0
	if t.unverified.ProcessStartMs != t.processStartMs {
		s.emit(LogEntry{Kind: LogEntryRefuted, Target: t.info.ID})
		return
	}
	address := t.info.Address
	t.info = t.unverified
	t.info.Address = address
}

// handleRestart handles the restart of a target under the same id: all its runs have
// ended, and its end numbers and its clock start again. An order that is under way to the previous
// process may reach the new one, whose clock is lower: that cuts the lease to the longest one.
func (s *Scheduler) handleRestart(t *target) {
	s.emit(LogEntry{Kind: LogTargetRestarted, Target: t.info.ID})
	lost := s.lossOf(t)
	for _, r := range t.sortedRuns() {
		s.resetRun(t, r)
	}
	t.ended = false
	t.processStartMs = 0
	t.clockMs, t.clockAt, t.leaseEndMs = 0, 0, 0
	t.earlierLeasesEndAt = s.clock.Steady + s.restartedLeaseBound()
	t.restarts++
	// A heartbeat to the previous process may still make the new one forget ends. It gets no start until then.
	t.noStartsBefore = max(t.noStartsBefore, t.acknowledgementArrivesBy)
	t.endsSeen, t.endsStored, t.firstListedEnd = 0, 0, 0
	t.hasUnlistedEnds = false
	t.fenced = false
	t.answeredAddress = ""
	t.awaitsStore = false
	t.unansweredBy = 0
	t.tickets, t.denied = nil, nil
	s.uncordon(t)
	s.recordCrash(lost, "it has restarted")
}

// resetRun handles a run of the target's previous process. An unanswered start may still
// reach the new process, so that run is stopped there. A start whose response names no process may
// have reached either; the next report shows whether the new one has begun the run. Runs of an earlier
// owner stay unverified until the first report.
func (s *Scheduler) resetRun(t *target, r *run) {
	wasInProcess := r.inCurrentProcess
	r.inCurrentProcess = false
	switch {
	case r.phase == unverified:
	case r.phase == planned || wasInProcess:
		s.releaseRun(t, r, "the target has restarted")
	case r.phase == confirmed:
		r.awaitsReport = true
	default:
		r.phase = stopping
		r.answeredAt, r.stopSettled = 0, false
		r.nextStopAt = s.clock.Steady
		r.stopReason = "the target has restarted"
	}
}

// releaseRuns releases every run on a target. They must have ended with certainty.
func (s *Scheduler) releaseRuns(t *target, reason string) {
	for _, r := range t.sortedRuns() {
		s.releaseRun(t, r, reason)
	}
}

// releaseRun frees the resources of a run that has ended with certainty or will never
// start. Its task waits to be placed again.
func (s *Scheduler) releaseRun(t *target, r *run, reason string) {
	t.remove(r)
	s.observeLoss(t, r)
	s.emitOnceStored(LogEntry{Kind: LogRunReleased, Job: r.name.Job, Task: r.name.String(), Run: r.number, Target: t.info.ID, Reason: reason})
	if parent := r.task; parent != nil && parent.run == r {
		s.setStatus(parent, cranjob.Waiting)
		s.markDirty(parent.job)
	}
}

func (t *target) sortedRuns() []*run {
	list := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// compareRuns orders runs by task and number so that the effects are deterministic.
func compareRuns(a, b *run) int {
	return cmp.Or(a.name.Compare(b.name), a.number-b.number)
}

// Tick checks all targets, plans waves and pool sizes, and places waiting tasks. It must
// be called at least every heartbeatInterval.
func (s *Scheduler) Tick() {
	for _, t := range slices.Clone(s.sorted) {
		s.checkTarget(t)
	}
	s.reachVerdicts()
	s.planWaves()
	s.planPools()
	s.sendQueuedStarts()
	s.selectJobs()
	s.place()
	s.reportRunTimes()
}

// checkTarget releases the runs of a target whose leases have expired, removes targets
// that are gone, and sends the heartbeats and stops that are due.
func (s *Scheduler) checkTarget(t *target) {
	if t.ended {
		return
	}
	now := s.clock.Steady
	if t.unlistedAt != 0 && t.listed && now-t.unlistedAt > unlistedTimeout && t.overdue(now) {
		t.listed = false
		s.emit(LogEntry{Kind: LogTargetGone, Target: t.info.ID, Reason: "missing from the list", AgeMs: (now - t.unlistedAt).Milliseconds()})
	}
	overdue := t.overdue(now)
	if overdue != t.unresponsive && t.fenced {
		t.unresponsive = overdue
		kind := LogTargetRecovered
		if overdue {
			kind = LogTargetUnresponsive
		}
		s.emit(LogEntry{Kind: kind, Target: t.info.ID, AgeMs: (now - t.lastResponseAt).Milliseconds()})
	}
	s.suspendIfSilent(t)
	t.suspended = s.suspensions.active(t.info.ID)
	if overdue && len(t.runs) > 0 && t.leasesExpired(now) && !s.isLagging() {
		s.emit(LogEntry{Kind: LogLeaseExpired, Target: t.info.ID, AgeMs: (now - t.lastResponseAt).Milliseconds()})
		s.recordExpiredLease(t)
	}
	if !t.listed && len(t.runs) == 0 && overdue {
		s.removeTarget(t)
		return
	}
	if t.info.Draining {
		s.drain(t)
	}
	if t.heartbeatDue(now) {
		s.sendHeartbeat(t)
	}
	for _, r := range t.stopsDue(now) {
		s.sendStop(t, r)
	}
}

// recordExpiredLease releases the runs of a silent target, and remembers them in case it has crashed.
func (s *Scheduler) recordExpiredLease(t *target) {
	lost, runs := s.lossOf(t), t.sortedRuns()
	s.releaseRuns(t, "the lease has expired")
	s.rememberLoss(t.info.Instance, lost)
	for _, r := range runs {
		if r.phase == unverified && t.info.Instance == "" {
			s.recordLossOfInherited(r, t.info.ID)
		}
	}
}

// stopsDue returns the runs whose stop is to be sent now.
func (t *target) stopsDue(now time.Duration) []*run {
	var list []*run
	for _, r := range t.runs {
		if r.phase == stopping && now >= r.nextStopAt {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// sendHeartbeat sends a heartbeat to a target. The target may delay its response only if it
// has already answered this owner and has runs whose end the response can report.
func (s *Scheduler) sendHeartbeat(t *target) {
	t.heartbeatInFlight = true
	t.heartbeatSentAt = s.clock.Steady
	wait := heartbeatInterval
	switch {
	case !t.fenced || len(t.runs) == 0 || t.suspended:
		wait = 0
	case t.hasTrial():
		wait = 0
	case t.reserved || t.hasProbation(s.clock.Steady):
		wait = probationWait
	case s.waveInProgress() && t.hasStartingTask():
		wait = startupWait
	}
	deadline := int64(0)
	if !t.heartbeatFailed {
		// A failed heartbeat may have renewed the lease. Renewing it again would delay the
		// time at which the runs have ended with certainty.
		deadline = s.grantLease(t)
	}
	// A later process than the known one numbers its ends anew. It would forget them unseen if the ends of
	// the earlier one were acknowledged.
	acknowledged := t.endsStored
	switch {
	case t.mayHaveRestarted():
		acknowledged, wait = 0, 0
	case t.heartbeatFailed || t.hasUnansweredStart() || !t.listsStoredEnd():
		acknowledged = 0
	}
	t.heartbeatsUnderWay++
	if acknowledged > 0 {
		t.acknowledgementArrivesBy = s.clock.Steady + deliveryTimeout
	}
	t.heartbeatWait = wait
	if t.unansweredBy == 0 {
		t.unansweredBy = s.clock.Steady + wait
	}
	s.emit(Heartbeat{Target: t.address(), DeadlineMs: deadline, Token: s.token, AcknowledgedEnd: acknowledged, Wait: wait})
}

// hasUnansweredStart reports whether a start is neither answered nor listed in a report, so that the target may have
// restarted unnoticed.
func (t *target) hasUnansweredStart() bool {
	for _, r := range t.runs {
		switch r.phase {
		case startSent, startUnanswered, stopping:
			if !r.startConfirmed && !r.stopSettled {
				return true
			}
		}
	}
	return false
}

// hasStartingTask reports whether a long-running task on the target is not at work yet.
func (t *target) hasStartingTask() bool {
	for _, r := range t.runs {
		if r.task != nil && r.step.LongRunning && r.phase != stopping && r.progress < fullShare {
			return true
		}
	}
	return false
}

// heartbeatDue reports whether the next heartbeat to the target is due.
func (t *target) heartbeatDue(now time.Duration) bool {
	return !t.heartbeatInFlight && t.info.Address != "" && !t.superseded && now >= t.nextHeartbeatAt &&
		(!t.awaitsStore || t.endsStored >= t.endsSeen || now-t.heartbeatSentAt >= heartbeatInterval)
}

// advanceHeartbeat schedules the next heartbeat no later than the given time.
func (t *target) advanceHeartbeat(at time.Duration) { t.nextHeartbeatAt = min(t.nextHeartbeatAt, at) }

// drain stops the long-running tasks of a draining target so that they are placed
// elsewhere. Other tasks run to their end, since a restart would cost more.
func (s *Scheduler) drain(t *target) {
	for _, r := range t.sortedRuns() {
		if r.phase == planned || r.phase == confirmed && r.step != nil && r.step.LongRunning {
			s.stopRun(t, r, "the target is draining")
		}
	}
}
