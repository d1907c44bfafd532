package cransched

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// missingBound is how long a target may be missing from the store's list
// before it counts as gone: entries that lapsed during an outage of the store
// come back within two seconds of its end.
const missingBound = 2500 * time.Millisecond

// SetTargets takes over the store's list of targets. Each target counts as
// listed until it has been missing for a while.
func (s *Scheduler) SetTargets(list []TargetInfo) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		t := s.targets[info.ID]
		if t == nil {
			t = newTarget(info, s.clock.Steady, s.lapseBound())
			s.addTarget(t)
		}
		if t.info.ProcessStartMs != 0 && info.ProcessStartMs > t.info.ProcessStartMs {
			s.reborn(t, info.ProcessStartMs)
		}
		if t.left {
			continue
		}
		born := max(t.info.ProcessStartMs, info.ProcessStartMs)
		t.info = info
		t.info.ProcessStartMs = born
		t.listed = true
		t.unlistedAt = 0
	}
	for _, t := range slices.Clone(s.sorted) {
		switch {
		case listed[t.info.ID]:
		case t.left:
			s.dropTarget(t)
		case t.listed && t.unlistedAt == 0:
			t.unlistedAt = s.clock.Steady
		}
	}
}

// reborn takes in that a target has started again under its id: everything
// that ran there has ended, and its counts begin anew.
func (s *Scheduler) reborn(t *target, bornMs int64) {
	s.emit(LogEntry{Kind: LogTargetRestarted, Target: t.info.ID})
	for _, r := range t.sortedRuns() {
		s.surviveRebirth(t, r)
	}
	t.left = false
	t.info.ProcessStartMs = bornMs
	t.clockMs, t.clockAt, t.leaseMs, t.lapseAt = 0, 0, 0, 0
	t.seen, t.stored, t.withheld = 0, 0, 0
	t.fenced = false
	t.awaitStore = false
	t.tickets = nil
}

// surviveRebirth gives up a run that has ended with the former life of its
// target. An order without an answer may still reach the new life, so its run
// is stopped there; runs of an earlier owner are left to the first report.
func (s *Scheduler) surviveRebirth(t *target, r *run) {
	switch {
	case r.phase == unproved:
	case r.phase == planned || r.started:
		s.release(t, r, "the target has started again")
	default:
		r.phase = stopping
		r.answeredAt = 0
		r.stopAt = s.clock.Steady
		r.stopReason = "the target has started again"
	}
}

// releaseAll gives up every run at a target, which has certainly ended.
func (s *Scheduler) releaseAll(t *target, reason string) {
	for _, r := range t.sortedRuns() {
		s.release(t, r, reason)
	}
}

// release gives up a run that has certainly ended, or never begins.
func (s *Scheduler) release(t *target, r *run, reason string) {
	t.remove(r)
	s.gate(LogEntry{Kind: LogRunReleased, Job: r.name.Job, Task: r.name.String(), Run: r.number, Target: t.info.ID, Reason: reason})
	if owner := r.task; owner != nil && owner.run == r {
		owner.job.setStatus(owner, cranjob.Waiting)
		s.mark(owner.job)
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

// compareRuns orders runs by task and number, so that equal events lead to equal
// effects.
func compareRuns(a, b *run) int {
	return cmp.Or(a.name.Compare(b.name), a.number-b.number)
}

// Tick looks after targets that don't answer, tasks whose time has come, and
// planned work. It is due at least every renewEvery.
func (s *Scheduler) Tick() {
	for _, t := range slices.Clone(s.sorted) {
		s.watch(t)
	}
	s.planWaves()
	s.planPools()
	s.place()
}

// watch releases what has lapsed at a target and forgets targets that are gone.
func (s *Scheduler) watch(t *target) {
	if t.left {
		return
	}
	now := s.clock.Steady
	if t.unlistedAt != 0 && t.listed && now-t.unlistedAt > missingBound && t.silent(now) {
		t.listed = false
		s.emit(LogEntry{Kind: LogTargetGone, Target: t.info.ID, Reason: "missing from the list", AgeMs: (now - t.unlistedAt).Milliseconds()})
	}
	silent := t.silent(now)
	if silent != t.lost && t.fenced {
		t.lost = silent
		kind := LogTargetRecovered
		if silent {
			kind = LogTargetUnresponsive
		}
		s.emit(LogEntry{Kind: kind, Target: t.info.ID, AgeMs: (now - t.heardAt).Milliseconds()})
	}
	if silent && len(t.runs) > 0 && t.lapsed(now) {
		s.emit(LogEntry{Kind: LogLeaseExpired, Target: t.info.ID, AgeMs: (now - t.heardAt).Milliseconds()})
		s.releaseAll(t, "the lease has lapsed")
	}
	if !t.listed && len(t.runs) == 0 && silent {
		s.dropTarget(t)
		return
	}
	if t.info.Draining {
		s.leave(t)
	}
	if t.holdDue(now) {
		s.hold(t)
	}
	for _, r := range t.stopsDue(now) {
		s.sendStop(t, r)
	}
}

// stopsDue returns the runs whose stop is to be sent, or sent again.
func (t *target) stopsDue(now time.Duration) []*run {
	var list []*run
	for _, r := range t.runs {
		if r.phase == stopping && now >= r.stopAt {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// hold emits the next hold of a target.
func (s *Scheduler) hold(t *target) {
	t.holding = true
	t.holdSent = s.clock.Steady
	wait := renewEvery
	if !t.fenced || len(t.runs) == 0 {
		wait = 0
	}
	deadline := int64(0)
	if !t.unanswered {
		// A hold without an answer may have renewed the lease. Another one would
		// put off the time from which the runs have certainly ended.
		deadline = s.grant(t)
	}
	s.emit(Heartbeat{Target: t.address(), DeadlineMs: deadline, Token: s.token, AcknowledgedEnd: t.stored, Wait: wait})
}

// holdDue reports whether it is time for the next hold of a target.
func (t *target) holdDue(now time.Duration) bool {
	return !t.holding && t.info.Address != "" && !t.superseded && now >= t.holdAt &&
		(!t.awaitStore || t.stored >= t.acknowledged() || now-t.holdSent >= renewEvery)
}

// soon brings the next hold of a target forward.
func (t *target) soon(at time.Duration) { t.holdAt = min(t.holdAt, at) }

// leave moves the lasting tasks of a draining target elsewhere. Others are
// left to end: they lose more by a restart.
func (s *Scheduler) leave(t *target) {
	for _, r := range t.sortedRuns() {
		if r.phase == planned || r.phase == present && r.step != nil && r.step.Lasting {
			s.stopRun(t, r, "the target is draining")
		}
	}
}
