// Package cranledger checks the task runs of all targets of a simulated session.
// It reports tasks that run twice at a time, that no caller submitted, or that
// start again after they were done and acknowledged.
package cranledger

import (
	"fmt"
	"strings"
	"sync"
)

// Ledger records the task runs of all targets and the violations found in them.
// It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// runningOn maps each running task to its target.
	runningOn map[string]string
	// done holds the tasks that have succeeded.
	done map[string]bool
	// specs maps each submitted job to its specification; longRunning holds the
	// jobs whose tasks run until they are stopped.
	specs       map[string]string
	longRunning map[string]bool
	violations  []string
	// restartedAfterDone holds the tasks that started again after one of their
	// runs was done, acknowledged those whose done end was acknowledged.
	restartedAfterDone, acknowledged map[string]bool
	// startedJobs and startedTasks hold the jobs and the tasks of which any run
	// has started.
	startedJobs, startedTasks map[string]bool
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		runningOn: map[string]string{}, done: map[string]bool{}, specs: map[string]string{}, longRunning: map[string]bool{},
		startedJobs: map[string]bool{}, startedTasks: map[string]bool{}, restartedAfterDone: map[string]bool{}, acknowledged: map[string]bool{},
	}
}

// ExpectJob records a job that a caller submits. Its tasks may start from then on.
func (l *Ledger) ExpectJob(job, spec string, longRunning bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.specs[job], l.longRunning[job] = spec, longRunning
}

// Violations returns a message for each violation found so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// RunningTasks returns how many tasks of a job are running.
func (l *Ledger) RunningTasks(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task := range l.runningOn {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// IsLongRunning reports whether a task belongs to a job whose tasks run until they
// are stopped.
func (l *Ledger) IsLongRunning(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	return l.longRunning[job]
}

// RecordStart records that a target has started a task, and checks the start.
func (l *Ledger) RecordStart(task, target, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	switch expected, known := l.specs[job]; {
	case !known:
		l.violations = append(l.violations, fmt.Sprintf("%s starts, but no caller submitted it", task))
	case expected != spec:
		l.violations = append(l.violations, fmt.Sprintf("%s starts with another specification than the submitted one", task))
	case l.done[task]:
		// The scheduler cannot know of an end that the target could not report
		// before its lease expired, so this is a violation only if the end is
		// acknowledged, before or later.
		l.restartedAfterDone[task] = true
		l.checkRestart(task)
	case l.runningOn[task] != "":
		l.violations = append(l.violations, fmt.Sprintf("%s runs on %s and is started again on %s", task, l.runningOn[task], target))
	}
	l.runningOn[task] = target
	l.startedJobs[job], l.startedTasks[task] = true, true
}

// RecordEnd records that a run of a task has ended at a target. The outcome "done"
// means success.
func (l *Ledger) RecordEnd(task, target, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runningOn[task] == target {
		delete(l.runningOn, task)
	}
	if outcome == "done" {
		l.done[task] = true
	}
}

// JobStarted reports whether any task of a job has started.
func (l *Ledger) JobStarted(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startedJobs[job]
}

// StartedTasksDone reports whether all tasks of a job that have started are done.
func (l *Ledger) StartedTasksDone(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task := range l.startedTasks {
		if strings.HasPrefix(task, job+".") && !l.done[task] {
			return false
		}
	}
	return true
}

// RecordAck records that the done end of a task was acknowledged to its target,
// which may then discard it.
func (l *Ledger) RecordAck(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged[task] = true
	l.checkRestart(task)
}

// checkRestart adds a violation if a task started again after it was done and its
// done end was acknowledged. The caller holds the lock.
func (l *Ledger) checkRestart(task string) {
	if l.restartedAfterDone[task] && l.acknowledged[task] {
		l.violations = append(l.violations, fmt.Sprintf("%s started again after it was done, although that end was acknowledged", task))
	}
}
