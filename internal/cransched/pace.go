package cransched

import "time"

const (
	// fullPace lets a task work at its whole share, in percent.
	fullPace = 100
	// unknownPace marks a run whose share isn't known after an unanswered pace.
	unknownPace = -1
	// tailHigh is the part of the tail target above which filling tasks are
	// slowed down; tailLow is the part below which they may speed up again.
	tailHigh = 0.9
	tailLow  = 0.6
	// paceCut divides the share of filling tasks; paceStep is added to it.
	paceCut  = 2
	paceStep = 10
	// paceFloor is the lowest share; below it filling tasks stand still.
	paceFloor = 10
	// paceEvery is the least time between two changes at a target: the tail
	// covers half a second, so an earlier look shows the former share.
	paceEvery = 600 * time.Millisecond
	// ceilingFor is how long a share that was too high is not tried again: with
	// few shares to choose from, the next lower one may leave the tail low.
	ceilingFor = 10 * paceEvery
)

// pace slows down the filling tasks at a target while the tail of a serving
// task is high, quickly, and lets them recover slowly.
func (s *Scheduler) pace(t *target) {
	now := s.clock.Steady
	if now-t.pacedAt < paceEvery {
		return
	}
	worst := 0.0
	var filling []*run
	for _, r := range t.sortedRuns() {
		switch {
		case r.phase != present || r.step == nil:
		case r.step.Filling:
			filling = append(filling, r)
		case r.step.TailTargetMs > 0:
			worst = max(worst, float64(r.gauge)/float64(r.step.TailTargetMs))
		}
	}
	for _, r := range filling {
		if !r.adjustPace(worst, now) {
			continue
		}
		t.pacedAt = now
		s.emit(LogEntry{Kind: LogThrottleChanged, Job: r.name.Job, Task: r.name.String(), Run: r.pace, Target: t.info.ID})
		s.emit(Throttle{Target: t.address(), Task: r.name, Run: r.number, Percent: r.pace, Token: s.token})
	}
}

// adjustPace changes the share of a filling task by the worst tail beside it,
// and reports whether it did.
func (r *run) adjustPace(tail float64, now time.Duration) bool {
	ceiling := noCeiling
	if now < r.ceilingUntil {
		ceiling = r.ceiling
	}
	former := r.pace
	r.pace = nextPace(former, tail, ceiling)
	if r.pace < former {
		r.ceiling, r.ceilingUntil = former, now+ceilingFor
	}
	return r.pace != former
}

// noCeiling is above every share.
const noCeiling = fullPace + 1

// nextPace returns the share of a filling task, from its present share and
// the worst tail beside it as a part of its target. It stays below a ceiling.
func nextPace(percent int, tail float64, ceiling int) int {
	switch {
	case percent == unknownPace:
		return paceFloor
	case tail > 1:
		return 0
	case tail > tailHigh && percent/paceCut < paceFloor:
		return 0
	case tail > tailHigh:
		return percent / paceCut
	case tail < tailLow && min(percent+paceStep, fullPace) < ceiling:
		return min(percent+paceStep, fullPace)
	}
	return percent
}
