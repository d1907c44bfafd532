package cransched

import "time"

const (
	// fullPace lets a task work at its whole share, in percent.
	fullShare = 100
	// unknownPace marks a run whose share isn't known after an unanswered pace.
	unknownShare = -1
	// tailHigh is the part of the tail target above which filling tasks are
	// slowed down; tailLow is the part below which they may speed up again.
	tailHigh = 0.9
	tailLow  = 0.6
	// paceCut divides the share of filling tasks; paceStep is added to it.
	shareDivisor = 2
	shareStep    = 10
	// paceFloor is the lowest share; below it filling tasks stand still.
	minShare = 10
	// paceEvery is the least time between two changes at a target: the tail
	// covers half a second, so an earlier look shows the former share.
	throttleInterval = 600 * time.Millisecond
	// ceilingFor is how long a share that was too high is not tried again: with
	// few shares to choose from, the next lower one may leave the tail low.
	ceilingDuration = 10 * throttleInterval
)

// pace slows down the filling tasks at a target while the tail of a serving
// task is high, quickly, and lets them recover slowly.
func (s *Scheduler) adjustShares(t *target) {
	now := s.clock.Steady
	if now-t.shareChangedAt < throttleInterval {
		return
	}
	worstTail := 0.0
	var filling []*run
	for _, r := range t.sortedRuns() {
		switch {
		case r.phase != confirmed || r.step == nil:
		case r.step.Filling:
			filling = append(filling, r)
		case r.step.TailTargetMs > 0:
			worstTail = max(worstTail, float64(r.gauge)/float64(r.step.TailTargetMs))
		}
	}
	for _, r := range filling {
		if !r.adjustShare(worstTail, now) {
			continue
		}
		t.shareChangedAt = now
		s.emit(LogEntry{Kind: LogThrottleChanged, Job: r.name.Job, Task: r.name.String(), Run: r.share, Target: t.info.ID})
		s.emit(Throttle{Target: t.address(), Task: r.name, Run: r.number, Percent: r.share, Token: s.token})
	}
}

// adjustPace changes the share of a filling task by the worst tail beside it,
// and reports whether it did.
func (r *run) adjustShare(tail float64, now time.Duration) bool {
	ceiling := noCeiling
	if now < r.ceilingUntil {
		ceiling = r.shareCeiling
	}
	previous := r.share
	r.share = nextShare(previous, tail, ceiling)
	if r.share < previous {
		r.shareCeiling, r.ceilingUntil = previous, now+ceilingDuration
	}
	return r.share != previous
}

// noCeiling is above every share.
const noCeiling = fullShare + 1

// nextPace returns the share of a filling task, from its present share and
// the worst tail beside it as a part of its target. It stays below a ceiling.
func nextShare(percent int, tail float64, ceiling int) int {
	switch {
	case percent == unknownShare:
		return minShare
	case tail > 1:
		return 0
	case tail > tailHigh && percent/shareDivisor < minShare:
		return 0
	case tail > tailHigh:
		return percent / shareDivisor
	case tail < tailLow && min(percent+shareStep, fullShare) < ceiling:
		return min(percent+shareStep, fullShare)
	}
	return percent
}
