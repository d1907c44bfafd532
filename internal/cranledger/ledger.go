// Package cranledger checks the task runs of all targets of a simulated session.
// It reports tasks that run twice at a time, that no caller submitted, that start
// again after they were done and acknowledged, or that start long after their job
// was cancelled, and jobs that stand still. It takes all times from its callers.
package cranledger

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Ledger records the task runs of all targets and the violations found in them.
// It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	jobs       map[string]*job
	violations []string
	// lateStarts holds the starts after a cancellation was acknowledged.
	lateStarts []LateStart
	// slots is the number of tasks that the targets can run together, running the number
	// that they run. unavailableAt is the newest time at which less than half of the slots
	// were free.
	slots, running int
	unavailableAt  time.Time
	// caps holds the caps of each tenant that has one.
	caps map[string][]tenantCap
	// used is what each tenant has running, in thousandths of a core, and cappedAt the newest time at which
	// that was half of its cap or more.
	used     map[string]int
	cappedAt map[string]time.Time
}

// job is a submitted job. Times are zero until what they stand for has happened.
type job struct {
	spec string
	// submitted is true if a caller has submitted the job, longRunning if the tasks run
	// until they are stopped.
	submitted, longRunning bool
	// count is the number of tasks, tasks holds those that have started.
	count int
	tasks map[string]*task
	// running and done count the tasks that are running and those that have succeeded.
	running, done int
	// acceptedAt and cancelledAt are when the acceptance and the cancellation were
	// acknowledged.
	acceptedAt, cancelledAt time.Time
	// cancelling is true once a cancellation was sent.
	cancelling bool
	// idleSince is when the job was accepted, or its last running task ended.
	idleSince time.Time
	// completedAt is when the last task succeeded.
	completedAt time.Time
	// tenant is the tenant of the job, empty if it has none, and cpu what one of its tasks takes, in
	// thousandths of a core.
	tenant string
	cpu    int
}

// task is a task that has started.
type task struct {
	// target is where the task is running; empty if it isn't.
	target string
	// done is true once a run has succeeded. acknowledged is true once that end was
	// acknowledged, restarted if a run started after it.
	done, acknowledged, restarted bool
	// idleSince is when the last run ended.
	idleSince time.Time
}

// Start is the start of a run at a target.
type Start struct {
	Task, Target, Spec string
	// Run is the number of the run.
	Run int
	At  time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{jobs: map[string]*job{}, caps: map[string][]tenantCap{}, used: map[string]int{}, cappedAt: map[string]time.Time{}}
}

// jobOf returns the name of the job of a task.
func jobOf(task string) string {
	name, _, _ := strings.Cut(task, ".")
	return name
}

// AddSlots records that the targets can run n more tasks.
func (l *Ledger) AddSlots(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots += n
}

// ExpectJob records a job with a number of tasks that a caller submits. The tasks may start
// from then on.
func (l *Ledger) ExpectJob(name, spec string, tasks int, longRunning bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs[name] == nil {
		l.jobs[name] = &job{spec: spec, submitted: true, count: tasks, longRunning: longRunning, tasks: map[string]*task{}}
	}
}

// Violations returns a message for each violation found so far. Late starts and jobs that
// stand still are reported by LateStarts and StandStills.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// RunningTasks returns how many tasks of a job are running.
func (l *Ledger) RunningTasks(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[name]; j != nil {
		return j.running
	}
	return 0
}

// IsLongRunning reports whether a task belongs to a job whose tasks run until they
// are stopped.
func (l *Ledger) IsLongRunning(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[jobOf(task)]
	return j != nil && j.longRunning
}

// RecordStart records that a target has started a task, and checks the start.
func (l *Ledger) RecordStart(s Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[jobOf(s.Task)]
	if j == nil {
		j = &job{tasks: map[string]*task{}}
		l.jobs[jobOf(s.Task)] = j
	}
	t := j.tasks[s.Task]
	if t == nil {
		t = &task{}
		j.tasks[s.Task] = t
	}
	switch {
	case !j.submitted:
		l.addViolation("%s starts, but no caller submitted it", s.Task)
	case j.spec != s.Spec:
		l.addViolation("%s starts with another specification than the submitted one", s.Task)
	case t.done:
		// The scheduler cannot know of an end that the target could not report
		// before its lease expired, so this is a violation only if the end is
		// acknowledged, before or later.
		t.restarted = true
		l.checkRestart(s.Task, t)
	case t.target != "":
		l.addViolation("%s runs on %s and is started again on %s", s.Task, t.target, s.Target)
	}
	if !j.cancelledAt.IsZero() && s.At.After(j.cancelledAt) {
		l.lateStarts = append(l.lateStarts, LateStart{Start: s, CancelledAt: j.cancelledAt})
	}
	if t.target == "" {
		j.running++
		l.running++
		l.used[j.tenant] += j.cpu
		l.checkCap(s.Task, j, s.At)
		l.checkRoom(j.tenant, s.At)
	}
	t.target = s.Target
	l.checkSlots(s.At)
}

// RecordEnd records that a run of a task has ended at a target. The outcome "done"
// means success.
func (l *Ledger) RecordEnd(name, target, outcome string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[jobOf(name)]
	if j == nil || j.tasks[name] == nil {
		return
	}
	t := j.tasks[name]
	if t.target == target {
		l.checkSlots(at)
		t.target, t.idleSince = "", at
		l.running--
		l.checkRoom(j.tenant, at)
		l.used[j.tenant] -= j.cpu
		if j.running--; j.running == 0 {
			j.idleSince = at
		}
	}
	if outcome == "done" && !t.done {
		t.done = true
		if j.done++; j.done == j.count {
			j.completedAt = at
		}
	}
}

// CompletedAt returns when the last task of a job succeeded. It reports false if not all tasks have succeeded.
func (l *Ledger) CompletedAt(name string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[name]
	if j == nil || j.completedAt.IsZero() {
		return time.Time{}, false
	}
	return j.completedAt, true
}

// JobStarted reports whether any task of a job has started.
func (l *Ledger) JobStarted(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[name]
	return j != nil && len(j.tasks) > 0
}

// StartedTasksDone reports whether all tasks of a job that have started are done.
func (l *Ledger) StartedTasksDone(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[name]
	return j == nil || j.done == len(j.tasks)
}

// RecordAck records that the done end of a task was acknowledged to its target,
// which may then discard it.
func (l *Ledger) RecordAck(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[jobOf(name)]; j != nil && j.tasks[name] != nil {
		j.tasks[name].acknowledged = true
		l.checkRestart(name, j.tasks[name])
	}
}

// checkRestart adds a violation if a task started again after it was done and its
// done end was acknowledged. The caller holds the lock.
func (l *Ledger) checkRestart(name string, t *task) {
	if t.restarted && t.acknowledged {
		l.addViolation("%s started again after it was done, although that end was acknowledged", name)
	}
}

// addViolation adds a message. The caller holds the lock.
func (l *Ledger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}
