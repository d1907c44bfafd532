package cransched

import (
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// quickCrashTime is the longest time from a start to the first sign that the target is silent,
	// for a crash to be evidence against the started task. It covers the response to the start and
	// the poll after it.
	quickCrashTime = 60 * time.Millisecond
	// slowCrashTime is the same for a trial of which the owner has handled the response or sent the poll
	// late. It takes more of these.
	slowCrashTime = 250 * time.Millisecond
	// minSlowTrials is the number of them that it takes at least.
	minSlowTrials = 2
	// recentCrashes and shortRecentCrashes are the spans over which the rate of crashes is
	// measured. The short one reacts to the beginning of a series.
	recentCrashes      = 15 * time.Second
	shortRecentCrashes = 3 * time.Second
	// maxCoincidence is the largest probability of a sequence of crashes by other causes for
	// which a task is given up.
	maxCoincidence = 1e-4
	// inheritedCrashDelay is how long a new owner waits until it judges a crash that it hasn't seen
	// itself. By then it knows whether other targets have crashed at the same time.
	inheritedCrashDelay = time.Second
	// newOwnerTime is how long a new owner may be without a sign of crashes that go on: its
	// predecessor may still hold the shard, and silent targets are noticed late.
	newOwnerTime = OwnershipTimeout + responseTimeout
	// maxCountedCrashes bounds the stored counts.
	maxCountedCrashes = 64
)

// crashEvent is the crash of a target under tasks that had been started there.
type crashEvent struct {
	pool string
	at   time.Duration
	// tasks were lost in the crash; early are those of them that had not outlived their start.
	tasks, early []cranjob.TaskName
	// onTrial is set if a suspected task had started there apart from others.
	onTrial bool
}

// includes reports whether a task was lost in the crash.
func (e *crashEvent) includes(name cranjob.TaskName) bool { return slices.Contains(e.tasks, name) }

// mayBeBy reports whether a task may have caused the crash, or another one of its job, as the tasks of
// a job behave alike.
func (e *crashEvent) mayBeBy(name cranjob.TaskName) bool {
	return e.includes(name) || slices.ContainsFunc(e.early, func(other cranjob.TaskName) bool { return other.Job == name.Job })
}

// crashHistory holds the recent crashes of targets.
type crashHistory struct{ events []crashEvent }

// add records a crash and drops those that are no longer recent.
func (h *crashHistory) add(e crashEvent) {
	h.events = append(slices.DeleteFunc(h.events, func(old crashEvent) bool { return e.at-old.at > recentCrashes }), e)
}

// explain removes the crashes under a task that is given up. They don't count for the other tasks that
// were lost in them any more.
func (s *Scheduler) explain(name cranjob.TaskName) {
	h := &s.crashHistory
	for _, e := range h.events {
		if !e.includes(name) {
			continue
		}
		for _, other := range e.tasks {
			if t := s.findTask(other); t != nil && other != name && t.crashes.Total > t.crashes.Early {
				t.crashes.Total--
				s.crashesChanged(t.job)
			}
		}
	}
	h.events = slices.DeleteFunc(h.events, func(e crashEvent) bool { return e.includes(name) })
}

// countOtherCrashes counts the crashes since a time in a pool, or in all pools if it is empty, that a
// task can't have caused. Those on trials and those under a task that has crashed another target on a
// trial don't count, since these tasks are the likely causes.
func (s *Scheduler) countOtherCrashes(name cranjob.TaskName, pool string, since time.Duration) int {
	n := 0
	for i := range s.crashHistory.events {
		e := &s.crashHistory.events[i]
		if e.at >= since && (pool == "" || e.pool == pool) && !e.onTrial && !e.mayBeBy(name) && !slices.ContainsFunc(e.early, s.hasFailedTrial) {
			n++
		}
	}
	return n
}

// hasFailedTrial reports whether targets have crashed right after the start of a task more than once.
func (s *Scheduler) hasFailedTrial(name cranjob.TaskName) bool {
	t := s.findTask(name)
	return t != nil && t.crashes.Early >= maxEarlyCrashes
}

// crashRate returns how often a target of a pool crashes, per second, by causes other than a task.
// The number that was seen is raised by its standard deviation, since some are noticed late.
func (s *Scheduler) crashRate(name cranjob.TaskName, pool string) float64 {
	rate := 0.0
	for _, scope := range []string{pool, ""} {
		targets := 0
		for _, t := range s.sorted {
			if scope == "" || t.info.Pool == scope {
				targets++
			}
		}
		for _, span := range []time.Duration{shortRecentCrashes, recentCrashes} {
			n := s.countOtherCrashes(name, scope, s.clock.Steady-span)
			rate = max(rate, (float64(n)+math.Sqrt(float64(n)))/(float64(max(targets, 1))*span.Seconds()))
		}
	}
	return rate
}

// mustGiveUp reports whether targets have crashed under a task so often that it may not start again.
// The more targets crash by other causes, the more crashes it takes: a task is given up only if its
// crashes are hardly a coincidence.
func (s *Scheduler) mustGiveUp(t *task) bool {
	if t.crashes.Early < maxEarlyCrashes && t.crashes.Total < maxCrashes && t.failedTrials < minSlowTrials {
		return false
	}
	rate := s.crashRate(t.name, t.job.Pool)
	if t.crashes.Early >= maxEarlyCrashes && t.crashes.Early > requiredTrials(rate, quickCrashTime) ||
		t.failedTrials >= max(minSlowTrials, requiredTrials(rate, slowCrashTime)) {
		return true
	}
	// A new owner doesn't know the crashes by other causes among those that its predecessor counted.
	isSettled := s.clock.Steady-s.createdAt >= recentCrashes
	return isSettled && t.crashes.Total >= maxCrashes && isUnlikely(rate*s.atWork(t).Seconds(), t.crashes.Total)
}

// requiredTrials returns how many trials in a row must end with a crash within a time until a task is
// given up, at a rate of crashes by other causes.
func requiredTrials(rate float64, within time.Duration) int {
	chance := rate * within.Seconds()
	switch {
	case chance == 0:
		return 1
	case chance >= 1:
		return math.MaxInt
	}
	return int(math.Ceil(math.Log(maxCoincidence) / math.Log(chance)))
}

// isUnlikely reports whether a number of crashes, in as many runs, is hardly a coincidence if as many
// are expected in a run. By Chernoff's bound, n events where n times m are expected have at most the
// probability (e m)^n.
func isUnlikely(perRun float64, crashes int) bool {
	return math.E*perRun < 1 && math.Pow(math.E*perRun, float64(crashes)) <= maxCoincidence
}

// atWork returns how long a run of a task lasts if its target doesn't crash, or until the crashes
// under it are forgotten.
func (s *Scheduler) atWork(t *task) time.Duration {
	if t.step.LongRunning {
		return healthyTime
	}
	s.updateEstimates(t.job)
	return time.Duration(t.job.durationMs[t.name.Step] * float64(time.Millisecond))
}

// blame counts a crash right after the start of a task.
func (t *task) blame() {
	t.crashes.Early = min(t.crashes.Early+1, maxCountedCrashes)
	t.crashes.Total = max(t.crashes.Total, t.crashes.Early)
}

// verdict is a decision about a task that is put off until more is known of other crashes. Until then
// the task doesn't start.
type verdict struct {
	name cranjob.TaskName
	at   time.Duration
	// inherited is set for a crash that this owner hasn't seen itself, under a suspected task that
	// an earlier owner had started apart from others.
	inherited bool
}

// putOff schedules a verdict on a task.
func (s *Scheduler) putOff(t *task, v verdict) {
	s.verdicts = append(s.verdicts, v)
	t.notBefore = max(t.notBefore, v.at)
}

// judge gives a task up if its crashes are hardly a coincidence. The verdict is put off if further crashes
// may still show that they are one: if an earlier owner has counted some of them, until this one would
// know of a series that goes on, or if other tasks may have caused the first one.
func (s *Scheduler) judge(t *task, target string) {
	if !s.mustGiveUp(t) {
		return
	}
	at := s.clock.Steady
	if t.crashesRestored {
		at = max(at, s.createdAt+newOwnerTime)
	}
	if s.hasOtherSuspects(t.name) {
		at = max(at, s.clock.Steady+shortRecentCrashes)
	}
	if at > s.clock.Steady {
		s.putOff(t, verdict{name: t.name, at: at})
		return
	}
	s.giveUp(t, target)
}

// hasOtherSuspects reports whether tasks of other jobs may have caused a recent crash under a task, too.
func (s *Scheduler) hasOtherSuspects(name cranjob.TaskName) bool {
	return slices.ContainsFunc(s.crashHistory.events, func(e crashEvent) bool {
		return e.includes(name) && slices.ContainsFunc(e.early, func(other cranjob.TaskName) bool { return other.Job != name.Job })
	})
}

// reachVerdicts reaches the verdicts that are due. When the target of an inherited crash has crashed
// isn't known, so it counts only if no others have.
func (s *Scheduler) reachVerdicts() {
	var due []verdict
	s.verdicts = slices.DeleteFunc(s.verdicts, func(v verdict) bool {
		isDue := s.clock.Steady >= v.at
		if isDue {
			due = append(due, v)
		}
		return isDue
	})
	for _, v := range due {
		t := s.findTask(v.name)
		if t == nil || !t.suspected() || t.run != nil || v.inherited && s.crashRate(v.name, t.job.Pool) > 0 {
			continue
		}
		if v.inherited {
			t.blame()
			s.crashesChanged(t.job)
		}
		if s.mustGiveUp(t) {
			s.giveUp(t, t.Target)
		}
	}
}
