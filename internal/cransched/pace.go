package cransched

import "time"

const (
	// fullShare is the share of its CPU demand, in percent, that a task may use if it isn't
	// throttled.
	fullShare = 100
	// unknownShare marks a run whose share isn't known, after a throttle call that did not
	// succeed.
	unknownShare = -1
	// tailHigh and tailLow are fractions of a serving task's MaxTailLatencyMs. Best-effort
	// tasks are slowed down above the first and may speed up again below the second.
	tailHigh = 0.9
	tailLow  = 0.6
	// shareDivisor divides the share of a best-effort task to slow it down, and shareStep is
	// added to speed it up: multiplicative decrease, additive increase.
	shareDivisor = 2
	shareStep    = 10
	// minShare is the lowest share at which best-effort tasks run; instead of a lower one
	// they get share 0, which pauses them.
	minShare = 10
	// throttleInterval is the minimum time between two adjustments on a target. The tail
	// latency covers half a second, so an earlier sample reflects the former share.
	throttleInterval = 600 * time.Millisecond
	// ceilingDuration is how long a share that was too high is not tried again. Shares are
	// coarse: at the next lower one the tail latency may be below tailLow, so that the share
	// would rise again and oscillate between the two.
	ceilingDuration = 10 * throttleInterval
)

// adjustShares throttles the best-effort tasks on a target while the tail latency of a
// serving task there is high. It reduces their shares quickly and raises them slowly.
func (s *Scheduler) adjustShares(t *target) {
	now := s.clock.Steady
	if now-t.shareChangedAt < throttleInterval {
		return
	}
	worstTail := 0.0
	var bestEffort []*run
	for _, r := range t.sortedRuns() {
		switch {
		case r.phase != confirmed || r.step == nil:
		case r.step.BestEffort:
			bestEffort = append(bestEffort, r)
		case r.step.MaxTailLatencyMs > 0:
			worstTail = max(worstTail, float64(r.gauge)/float64(r.step.MaxTailLatencyMs))
		}
	}
	for _, r := range bestEffort {
		if !r.adjustShare(worstTail, now) {
			continue
		}
		t.shareChangedAt = now
		s.emit(LogEntry{Kind: LogThrottleChanged, Job: r.name.Job, Task: r.name.String(), Run: r.share, Target: t.info.ID})
		s.emit(Throttle{Target: t.address(), Task: r.name, Run: r.number, Percent: r.share, Token: s.token})
	}
}

// adjustShare updates the share of a best-effort task, given the highest ratio of tail
// latency to MaxTailLatencyMs among the serving tasks on the same target. It reports whether
// the share changed.
func (r *run) adjustShare(tailRatio float64, now time.Duration) bool {
	ceiling := noCeiling
	if now < r.ceilingUntil {
		ceiling = r.shareCeiling
	}
	previous := r.share
	r.share = nextShare(previous, tailRatio, ceiling)
	if r.share < previous {
		r.shareCeiling, r.ceilingUntil = previous, now+ceilingDuration
	}
	return r.share != previous
}

// noCeiling is above every share.
const noCeiling = fullShare + 1

// nextShare returns the next share of a best-effort task, given its current share and the
// tail ratio as in adjustShare. An increase stays below the ceiling.
func nextShare(percent int, tailRatio float64, ceiling int) int {
	switch {
	case percent == unknownShare:
		return minShare
	case tailRatio > 1:
		return 0
	case tailRatio > tailHigh && percent/shareDivisor < minShare:
		return 0
	case tailRatio > tailHigh:
		return percent / shareDivisor
	case tailRatio < tailLow && min(percent+shareStep, fullShare) < ceiling:
		return min(percent+shareStep, fullShare)
	}
	return percent
}
