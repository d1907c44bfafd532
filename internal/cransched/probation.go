package cransched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// maxEarlyCrashes is the number of targets that may crash right after a task's start, one
	// after the other, until the task is given up if no others crash. The last of them has started
	// nothing else meanwhile.
	maxEarlyCrashes = 2
	// maxCrashes is the same for the targets that crash under a task at any time.
	maxCrashes = 4
	// suspectCrashes is the number of targets that have crashed under a suspected task at any time.
	suspectCrashes = 3
	// probationShare is the largest part, one in so many, of a pool's targets that are reserved
	// for suspected tasks at a time while others wait.
	probationShare = 2
	// maxSuspectsPerTick bounds the suspected tasks of a pool that are considered at a time.
	maxSuspectsPerTick = 64
)

// suspected reports whether a task may crash its targets. It starts apart from others then, so that
// the next crash shows whether it does, and harms few.
func (t *task) suspected() bool {
	return t.crashes.Early > 0 || t.crashes.Total >= suspectCrashes
}

// onProbation reports whether the run is of a suspected task that may still crash the target.
func (r *run) onProbation(now time.Duration) bool {
	if r.task == nil || r.task.run != r || !r.task.suspected() {
		return false
	}
	return !r.survived || now < r.presentSince+healthyTime
}

// hasProbation reports whether a run on the target is on probation.
func (t *target) hasProbation(now time.Duration) bool {
	for _, r := range t.runs {
		if r.onProbation(now) {
			return true
		}
	}
	return false
}

// isCalm reports whether every run on the target has outlived its start.
func (t *target) isCalm() bool {
	for _, r := range t.runs {
		if !r.survived && r.phase != stopping {
			return false
		}
	}
	return true
}

// hasTrial reports whether a suspected task has started on the target and not outlived that.
func (t *target) hasTrial() bool {
	for _, r := range t.runs {
		if r.apart && !r.survived && r.phase != stopping {
			return true
		}
	}
	return false
}

// isPolled reports whether a crash of the target would be noticed at once. During a long wait for a
// response it isn't known when the target has fallen silent.
func (t *target) isPolled() bool { return !t.heartbeatInFlight || t.heartbeatWait <= probationWait }

// suspect is a suspected task that waits.
type suspect struct {
	task  *task
	stage *stage
}

// waitingSuspects returns the suspected tasks that may start now, by pool in placement order, and of each
// stage no more than may be tried, so that those of one job don't keep others from being considered.
// Those of gangs start with their gang.
func (s *Scheduler) waitingSuspects(list []candidate, targets map[string][]*target) map[string][]suspect {
	waiting := map[string][]suspect{}
	if !s.survey.hasCrashes {
		return waiting
	}
	for _, c := range list {
		pool := c.job.Pool
		if !c.job.hasCrashes || !c.isWaiting() || c.stage.step.Gang || len(waiting[pool]) >= maxSuspectsPerTick {
			continue
		}
		var suspects []suspect
		most := c.job.mayTry(s.clock.Steady)
		for _, t := range c.stage.tasks {
			if len(suspects) < most && t.Status == cranjob.Waiting && t.suspected() && t.notBefore <= s.clock.Steady {
				suspects = append(suspects, suspect{t, c.stage})
			}
		}
		if len(suspects) > 0 && s.ensureTicket(c, targets[pool]) {
			waiting[pool] = append(waiting[pool], suspects...)
		}
	}
	return waiting
}

// mayTry returns how many more suspected tasks of the job may start: one at first, so that a job with
// many tasks that crash their targets takes down one at a time, and more the more have survived.
func (j *job) mayTry(now time.Duration) int {
	n := max(1, 2*j.survivors)
	for _, t := range j.tasks {
		if t.run != nil && t.run.onProbation(now) {
			n--
		}
	}
	return n
}

// placeSuspects starts suspected tasks on targets that are reserved for them, and removes these
// targets from those that others may use. A target is reserved before the start, until all of its
// runs have outlived theirs, and after it until the suspected task has. So a crash in between is
// that task's, and the other targets of the pool serve the others.
func (s *Scheduler) placeSuspects(list []candidate, targets map[string][]*target) {
	for _, t := range s.sorted {
		t.reserved = false
	}
	waiting := s.waitingSuspects(list, targets)
	for _, pool := range slices.Sorted(maps.Keys(targets)) {
		s.placeSuspectsOf(pool, waiting[pool], list, targets)
	}
}

func (s *Scheduler) placeSuspectsOf(pool string, waiting []suspect, list []candidate, targets map[string][]*target) {
	count := len(targets[pool])
	targets[pool] = slices.DeleteFunc(targets[pool], func(t *target) bool { return t.hasProbation(s.clock.Steady) })
	if len(waiting) == 0 {
		return
	}
	places := len(targets[pool])
	if waitsFor(list, pool) {
		places -= count - max(count/probationShare, 1)
	}
	hosts := newProbationHosts(targets[pool])
	left := map[*job]int{}
	for _, w := range waiting {
		j := w.task.job
		if _, known := left[j]; !known {
			left[j] = j.mayTry(s.clock.Steady)
		}
		if places <= 0 || left[j] <= 0 {
			continue
		}
		if !s.allowsUnit(w.stage) {
			continue
		}
		host, fits := s.chooseForSuspect(w.stage, hosts)
		if host == nil {
			s.starved[pool] = s.starved[pool] || !fits
			continue
		}
		places--
		left[j]--
		host.taken = true
		targets[pool] = slices.DeleteFunc(targets[pool], func(t *target) bool { return t == host.target })
		if host.calm && host.target.isPolled() && s.canPlace(w.stage, host.target) {
			s.startTask(w.task, host.target, w.task.Run+1)
		} else {
			host.target.reserved = true
		}
	}
}

// waitsFor reports whether a task that isn't suspected waits for a pool.
func waitsFor(list []candidate, pool string) bool {
	return slices.ContainsFunc(list, func(c candidate) bool {
		return c.job.Pool == pool && c.isWaiting() && slices.ContainsFunc(c.stage.tasks, func(t *task) bool {
			return t.Status == cranjob.Waiting && !t.suspected()
		})
	})
}

// probationHost is a target that may be reserved for a suspected task.
type probationHost struct {
	target *target
	// calm is set if every run has outlived its start, and taken once the target is reserved.
	calm, taken bool
	// idle are the resources that are free once only long-running tasks are left, longRunning is
	// their number.
	idle        cranjob.Resources
	longRunning int
}

func newProbationHosts(targets []*target) []*probationHost {
	hosts := make([]*probationHost, 0, len(targets))
	for _, t := range targets {
		hosts = append(hosts, &probationHost{
			target: t, calm: t.isCalm(), idle: t.info.Capacity.Sub(t.longRunningResources()), longRunning: t.countLongRunning(),
		})
	}
	return hosts
}

// chooseForSuspect returns the host on which a task of the stage can start first, and of these the
// one on which a crash would do the least harm; nil if none is left. It also reports whether the task
// fits on any.
func (s *Scheduler) chooseForSuspect(st *stage, hosts []*probationHost) (best *probationHost, fits bool) {
	startsNow := false
	for _, h := range hosts {
		if !h.idle.Fits(st.step.Reservation()) || !s.meetsConstraints(st, h.target) {
			continue
		}
		fits = true
		if h.taken {
			continue
		}
		now := h.calm && h.target.isPolled() && h.target.free().Fits(st.step.Reservation())
		if best == nil || cmp.Or(
			compareBools(!now, !startsNow),
			cmp.Compare(h.longRunning, best.longRunning),
			cmp.Compare(len(h.target.runs), len(best.target.runs)),
		) < 0 {
			best, startsNow = h, now
		}
	}
	return best, fits
}

// countLongRunning counts the runs of long-running tasks on the target.
func (t *target) countLongRunning() int {
	n := 0
	for _, r := range t.runs {
		if r.step != nil && r.step.LongRunning {
			n++
		}
	}
	return n
}
