package cransched

import (
	"fmt"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// survivalTime is how long a run must be present until it has outlived its start. A task that
	// crashes its target does so right after it has started.
	survivalTime = 150 * time.Millisecond
	// healthyTime is how long a long-running task must be present until earlier crashes don't
	// count any more.
	healthyTime = 3 * time.Second
	// crashMemory is how long the runs of a target that has fallen silent are remembered, until a
	// new target on its instance shows that it has crashed.
	crashMemory = 15 * time.Second
)

// loss holds the tasks that had begun on a target, as far as is known, when it ended.
type loss struct {
	target, pool string
	// processStartMs is the start time of the process that has ended.
	processStartMs int64
	at             time.Duration
	tasks          []lostTask
}

// lostTask is a task in a loss.
type lostTask struct {
	name cranjob.TaskName
	// early is set if the run had not outlived its start.
	early bool
	// unconfirmed is set if the run isn't known to have begun. The target may have been silent before
	// its start was sent.
	unconfirmed bool
	// onTrial is set if the run started apart from others and the target fell silent right after that,
	// onSlowTrial if it did so within slowCrashTime.
	onTrial, onSlowTrial bool
	// inherited is set for a run of an earlier owner that was placed apart from others.
	inherited bool
}

// lossOf returns what is lost if a target ends now. That is nothing if the target has announced its
// end; before the platform ends one by an order, nothing runs there.
func (s *Scheduler) lossOf(t *target) loss {
	l := loss{target: t.info.ID, pool: t.info.Pool, processStartMs: t.knownStartMs(), at: s.clock.Steady}
	if t.info.Draining {
		return l
	}
	for _, r := range t.sortedRuns() {
		if r.task == nil || r.task.run != r || r.phase == planned {
			continue
		}
		l.tasks = append(l.tasks, lostTask{
			name: r.name, early: r.early(),
			unconfirmed: !r.hasBegun() && r.phase != unverified,
			onTrial:     r.apart && r.hasBegun() && t.fellSilentWithin(r.startedAt, quickCrashTime),
			onSlowTrial: r.apart && r.hasBegun() && t.fellSilentWithin(r.startedAt, slowCrashTime),
			inherited:   r.phase == unverified && r.task.crashes.Instance != "",
		})
	}
	return l
}

// fellSilentWithin reports whether the target has answered no call since a short time after the start of
// a run. Until the first call without an answer it may have been up.
func (t *target) fellSilentWithin(start, after time.Duration) bool {
	return t.unansweredBy >= max(start, t.stateAsOf) && t.unansweredBy <= start+after
}

// hasBegun reports whether the run is known to have begun in the target's process.
func (r *run) hasBegun() bool { return r.inCurrentProcess || r.startConfirmed && r.answeredInTime }

// early reports whether the run has not outlived its start. Of a run that an earlier owner has
// started that is known only if its task is suspected: such a task starts apart from others.
func (r *run) early() bool {
	return !r.survived && (r.phase != unverified || r.task.crashes.Early > 0)
}

// recordCrash counts a crash for the tasks that were lost with a target. Those that had not
// outlived their start may have caused it; of these, the ones with the most such crashes have.
func (s *Scheduler) recordCrash(l loss, reason string) {
	if len(l.tasks) == 0 {
		return
	}
	event := l.event(s.clock.Steady)
	s.crashHistory.add(event)
	s.emit(LogEntry{Kind: LogTargetCrashed, Target: l.target, Run: len(l.tasks), Reason: reason})
	most := 0
	for _, lost := range l.tasks {
		if t := s.findTask(lost.name); t != nil && lost.early {
			most = max(most, t.crashes.Early)
		}
	}
	for _, lost := range l.tasks {
		t := s.findTask(lost.name)
		if t == nil || t.Status == cranjob.Done {
			continue
		}
		if !lost.unconfirmed && (lost.onTrial || !event.onTrial) {
			t.crashes.Total = min(t.crashes.Total+1, maxCountedCrashes)
		}
		hasSurvived := t.run != nil && t.run.survived
		if lost.early && t.crashes.Early == most && !hasSurvived {
			// A crash may become known only after the task has started again among others.
			if lost.onSlowTrial {
				t.failedTrials++
			}
			if lost.onTrial || t.crashes.Early == 0 {
				t.blame()
			} else if lost.inherited {
				s.putOff(t, verdict{name: lost.name, at: s.clock.Steady + inheritedCrashDelay, inherited: true})
			}
			t.job.survivors = 0
			s.emit(LogEntry{Kind: LogTaskSuspected, Job: lost.name.Job, Task: lost.name.String(), Run: t.crashes.Early, Target: l.target})
		}
		s.crashesChanged(t.job)
	}
	for _, lost := range l.tasks {
		if t := s.findTask(lost.name); t != nil {
			s.judge(t, l.target)
		}
	}
}

// event returns the crash that a loss has turned out to be.
func (l loss) event(at time.Duration) crashEvent {
	e := crashEvent{pool: l.pool, at: at}
	for _, lost := range l.tasks {
		if lost.unconfirmed {
			continue
		}
		e.tasks = append(e.tasks, lost.name)
		if lost.early {
			e.early = append(e.early, lost.name)
		}
		e.onTrial = e.onTrial || lost.onSlowTrial
	}
	return e
}

// giveUp fails the job of a task under which too many targets have crashed.
func (s *Scheduler) giveUp(t *task, target string) {
	crashes := max(t.crashes.Early, t.crashes.Total)
	s.explain(t.name)
	s.emit(LogEntry{Kind: LogTaskGivenUp, Job: t.name.Job, Task: t.name.String(), Run: crashes, Target: target})
	s.endJob(t.job, cranjob.Failed, fmt.Sprintf("%d targets have crashed under %v", crashes, t.name))
}

// rememberHost keeps where a suspected task is placed.
func (s *Scheduler) rememberHost(t *task, host *target) {
	t.crashes.Instance, t.crashes.ProcessStartMs = host.info.Instance, host.knownStartMs()
	s.crashesChanged(t.job)
}

// crashesChanged schedules the crash counts of a job for the next batch.
func (s *Scheduler) crashesChanged(j *job) {
	j.crashesDirty, j.hasCrashes = true, true
	s.survey.due = true
	s.markDirty(j)
}

// observePresence updates the crash counts of a task from a report, sent at a time, that lists its
// run.
func (s *Scheduler) observePresence(r *run, sentAt time.Duration) {
	if r.presentSince == 0 {
		r.presentSince = s.clock.Steady
	}
	counts := &r.task.crashes
	before := *counts
	if !r.survived && sentAt >= r.presentSince+survivalTime {
		r.survived = true
		counts.Early = 0
		r.task.failedTrials = 0
		if r.apart {
			r.task.job.survivors++
		}
	}
	if !r.task.suspected() {
		counts.Instance, counts.ProcessStartMs = "", 0
	}
	if r.step.LongRunning && r.survived && sentAt >= r.presentSince+healthyTime {
		counts.Total = 0
	}
	if *counts != before {
		s.crashesChanged(r.task.job)
	}
}

// recordLossOfInherited counts the crash that a run of an earlier owner was lost with, if the target
// on which it was placed has started anew or its instance has a new target by now.
func (s *Scheduler) recordLossOfInherited(r *run, target string) {
	if r.task == nil {
		return
	}
	if r.task.crashes.Instance == "" {
		s.suspectInherited(r.task, target)
		return
	}
	counts, pool := r.task.crashes, r.task.job.Pool
	s.rememberLoss(counts.Instance, loss{
		target: target, pool: pool, processStartMs: counts.ProcessStartMs, at: s.clock.Steady,
		tasks: []lostTask{{name: r.name, early: true, inherited: true}},
	})
}

// suspectInherited suspects a task whose target is gone since an earlier owner has placed it there. The
// target may have crashed while there was no owner, so the task starts apart from others.
func (s *Scheduler) suspectInherited(t *task, target string) {
	if s.targets[target] != nil && s.targets[target].listed || t.suspected() || t.Status == cranjob.Done {
		return
	}
	t.blame()
	s.emit(LogEntry{Kind: LogTaskSuspected, Job: t.name.Job, Task: t.name.String(), Run: t.crashes.Early, Target: target})
	s.crashesChanged(t.job)
}

// rememberLoss keeps what was lost with a target until its instance shows whether it has crashed.
func (s *Scheduler) rememberLoss(instance string, l loss) {
	if instance == "" || len(l.tasks) == 0 {
		return
	}
	s.losses[instance] = l
	for _, t := range s.sorted {
		if t.info.Instance == instance && t.fenced {
			s.recordCrashOfInstance(t)
		}
	}
}

// recordCrashOfInstance counts the crash of a silent target once a new target of its instance has
// responded. A response of the silent target itself shows that it has not crashed.
func (s *Scheduler) recordCrashOfInstance(t *target) {
	instance := t.info.Instance
	l, found := s.losses[instance]
	isSame := t.info.ID == l.target && t.knownStartMs() == l.processStartMs
	if !found || !isSame && t.knownStartMs() <= l.processStartMs {
		return
	}
	delete(s.losses, instance)
	if !isSame && s.clock.Steady-l.at < crashMemory {
		s.recordCrash(l, "its instance has a new target")
	}
}

// crashes returns the record of the crash counts of a job, without those that are zero.
func (j *job) crashes() cranjob.Crashes {
	c := cranjob.Crashes{}
	for i, t := range j.tasks {
		if t.crashes != (cranjob.CrashCount{}) {
			c[i] = t.crashes
		}
	}
	return c
}

// nextCrashesRecord returns the record of the crash counts of a job if it is to be stored. It is
// dropped when the job ends.
func (j *job) nextCrashesRecord() []cranstore.Record {
	record := cranstore.Record{Key: cranjob.CrashesKey(j.ID)}
	switch {
	case j.state.Final():
		if !j.hasCrashes {
			return nil
		}
	case j.crashesDirty:
		record.Value = cranjob.Encode(j.crashes())
	default:
		return nil
	}
	j.crashesDirty = false
	return []cranstore.Record{record}
}

// restoreCrashes restores the crash counts of a job.
func (j *job) restoreCrashes(c cranjob.Crashes) {
	for i, count := range c {
		if i >= 0 && i < len(j.tasks) && count.Early >= 0 && count.Early <= count.Total && count.Total <= maxCountedCrashes {
			j.tasks[i].crashes, j.tasks[i].crashesRestored = count, true
			j.hasCrashes = true
		}
	}
}
