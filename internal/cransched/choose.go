package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// chooseTarget returns the best target for a task of a stage, or nil if it fits on none.
func (s *Scheduler) chooseTarget(st *stage, targets []*target) *target {
	var best *target
	bestScore := 0.0
	for _, t := range targets {
		if !s.canPlace(st, t) {
			continue
		}
		if score := s.score(st, t); best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// canPlace reports whether a task of a stage may be placed on a target now.
func (s *Scheduler) canPlace(st *stage, t *target) bool {
	return t.free().Fits(st.step.Reservation()) && s.meetsConstraints(st, t)
}

// spreadTimeout is how long the tasks of a new long-running job wait for enough targets to
// spread over. An instance from a standby pool is ready within two seconds.
const spreadTimeout = 3 * time.Second

// minSpreadTargets is the number of targets over which the tasks of a long-running step
// with a MaxUnavailable are spread.
const minSpreadTargets = 3

// spreadLimitReached reports whether a target has as many tasks of a long-running step as
// spreading allows. The limit applies only while the job is new.
func (s *Scheduler) spreadLimitReached(st *stage, t *target) bool {
	age := time.Duration(s.clock.UnixMs-st.tasks[0].job.ReceivedMs) * time.Millisecond
	return st.step.LongRunning && st.step.MaxUnavailable > 0 && age < spreadTimeout && t.countRuns(st.name) >= st.spreadLimit()
}

// spreadLimit returns the number of tasks of a long-running step that one target should
// have at most.
func (st *stage) spreadLimit() int {
	return max(st.step.MaxUnavailable, (st.step.Count+minSpreadTargets-1)/minSpreadTargets)
}

// hasTickets reports whether any target has a valid ticket for a stage whose queue
// requires tickets. While none has, the lack of a ticket excludes no target, so that
// tickets can be requested for all of them.
func (s *Scheduler) hasTickets(st *stage) bool {
	q := st.tasks[0].job.queue
	if q == nil || !q.RequiresTicket {
		return false
	}
	for _, t := range s.sorted {
		if t.validTicket(st.name, s.clock.Steady) != "" {
			return true
		}
	}
	return false
}

// meetsConstraints reports whether a target satisfies all constraints of a stage other
// than free capacity.
func (s *Scheduler) meetsConstraints(st *stage, t *target) bool {
	return (!s.hasTickets(st) || t.validTicket(st.name, s.clock.Steady) != "") && s.meetsPlacementRules(st, t)
}

// meetsPlacementRules reports whether a target satisfies the constraints that the step itself sets.
func (s *Scheduler) meetsPlacementRules(st *stage, t *target) bool {
	step := st.step
	if step.Requires != "" && !t.hasLabel(step.Requires) {
		return false
	}
	if s.spreadLimitReached(st, t) {
		return false
	}
	if step.MaxPerTarget > 0 && t.countRuns(st.name) >= step.MaxPerTarget {
		return false
	}
	return true
}

const (
	// remoteDataPenalty applies to targets outside the rack that holds the task's data. It
	// exceeds any difference in free capacity between targets.
	remoteDataPenalty = 10
	// interferencePenalty keeps best-effort tasks and serving tasks on separate targets
	// where capacity allows.
	interferencePenalty = 2
	// spreadPenalty spreads long-running tasks with a MaxUnavailable, since evacuating a
	// target stops them only a few at a time.
	spreadPenalty = 1
	// leavingPenalty keeps tasks off targets whose instance is due for maintenance before
	// they would end.
	leavingPenalty = 5
	// failurePenalty is the weight of a target's failure rate.
	failurePenalty = 3
)

// score rates a target for a stage; the lowest score is best. Among otherwise equal
// targets the fullest one that fits is best, to leave capacity for large tasks on the
// others.
func (s *Scheduler) score(st *stage, t *target) float64 {
	remaining := t.free().Sub(st.step.Reservation())
	score := fraction(remaining.CPU, t.info.Capacity.CPU) + fraction(remaining.Memory, t.info.Capacity.Memory)
	if st.step.DataRack != "" && !t.hasLabel(st.step.DataRack) {
		score += remoteDataPenalty
	}
	if st.step.LongRunning && t.leaving || s.outlivesTarget(st, t) {
		score += leavingPenalty
	}
	if st.step.LongRunning && st.step.MaxUnavailable > 0 {
		score += spreadPenalty * float64(t.countRuns(st.name)/st.step.MaxUnavailable)
	}
	if st.step.BestEffort || st.step.MaxTailLatencyMs > 0 {
		score += interferencePenalty * float64(t.interferingRuns(st.step))
	}
	return score + failurePenalty*t.health.failureRate
}

// interferingRuns counts the runs on the target that interfere with tasks of the step:
// serving runs for a best-effort step, and best-effort runs for a serving step.
func (t *target) interferingRuns(step *cranjob.Step) int {
	n := 0
	for _, r := range t.runs {
		if r.step == nil {
			continue
		}
		if step.BestEffort && r.step.MaxTailLatencyMs > 0 || step.MaxTailLatencyMs > 0 && r.step.BestEffort {
			n++
		}
	}
	return n
}

func fraction(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
