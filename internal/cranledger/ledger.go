// Package cranledger judges what all targets of a session saw: tasks that run
// twice, that nobody submitted, or that start again after they were done.
package cranledger

import (
	"fmt"
	"strings"
	"sync"
)

// Ledger is what all targets saw, and the rules that it breaks.
type Ledger struct {
	mu sync.Mutex
	// at holds where each task runs, done the tasks that have succeeded.
	at     map[string]string
	done   map[string]bool
	specs  map[string]string
	lasts  map[string]bool
	broken []string
	// again holds the tasks that started after a run of theirs was done, noted
	// those of which a done end was acknowledged.
	again, noted map[string]bool
	// begun holds the jobs, seen the tasks, that have ever started.
	begun, seen map[string]bool
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		at: map[string]string{}, done: map[string]bool{}, specs: map[string]string{}, lasts: map[string]bool{},
		begun: map[string]bool{}, seen: map[string]bool{}, again: map[string]bool{}, noted: map[string]bool{},
	}
}

// ExpectJob tells of a job that a caller submits.
func (l *Ledger) ExpectJob(job, spec string, lasting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.specs[job], l.lasts[job] = spec, lasting
}

// Violations returns the rules that were broken.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// RunningTasks returns how many tasks of a job run.
func (l *Ledger) RunningTasks(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task := range l.at {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// IsLongRunning reports whether a task goes on until it is stopped.
func (l *Ledger) IsLongRunning(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	return l.lasts[job]
}

// RecordStart takes in that a target has started a task.
func (l *Ledger) RecordStart(task, target, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	switch expected, known := l.specs[job]; {
	case !known:
		l.broken = append(l.broken, fmt.Sprintf("%s starts, and nobody submitted it", task))
	case expected != spec:
		l.broken = append(l.broken, fmt.Sprintf("%s starts with another specification", task))
	case l.done[task]:
		// Nobody can know of an end that its target could not tell before the
		// lease lapsed. It must not be acknowledged later either.
		l.again[task] = true
		l.judgeAgain(task)
	case l.at[task] != "":
		l.broken = append(l.broken, fmt.Sprintf("%s runs on %s and starts on %s", task, l.at[task], target))
	}
	l.at[task] = target
	l.begun[job], l.seen[task] = true, true
}

// RecordEnd takes in how a run of a task has ended at a target.
func (l *Ledger) RecordEnd(task, target, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at[task] == target {
		delete(l.at, task)
	}
	if how == "done" {
		l.done[task] = true
	}
}

// JobStarted reports whether any task of a job has ever started.
func (l *Ledger) JobStarted(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begun[job]
}

// StartedTasksDone reports whether every task of a job that has started is done.
func (l *Ledger) StartedTasksDone(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task := range l.seen {
		if strings.HasPrefix(task, job+".") && !l.done[task] {
			return false
		}
	}
	return true
}

// RecordAck takes in that a target was told to forget a done end.
func (l *Ledger) RecordAck(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noted[task] = true
	l.judgeAgain(task)
}

func (l *Ledger) judgeAgain(task string) {
	if l.again[task] && l.noted[task] {
		l.broken = append(l.broken, fmt.Sprintf("%s started after it was done, and that end was acknowledged", task))
	}
}
