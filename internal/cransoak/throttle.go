package cransoak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

const (
	// throttlePeriod is the period of a usage cap, the default of the kernel's.
	throttlePeriod = 100 * time.Millisecond
	// throttlePoll is the interval at which the processor time of processes is read.
	throttlePoll = 2 * time.Millisecond
)

// throttle caps the processor time of a process like the kernel's bandwidth control: a process
// that has used its quota of a period is stopped until the next one, and what it has used
// beyond the quota is deducted from that. A deduction is at most one quota, since a process
// that uses more does so while the throttle itself waits for a processor.
type throttle struct {
	// quota is the processor time of a period; 0 if the process isn't capped.
	quota time.Duration
	// budget is what is left of the quota until periodEnd; it is negative if the process has
	// used more.
	budget    time.Duration
	periodEnd time.Time
	// used is the processor time that has been deducted from the budget.
	used time.Duration
	// stopped is true while the process is stopped by the throttle.
	stopped bool
}

// update takes the processor time that the process has used until now, and returns whether it
// must be stopped.
func (t *throttle) update(now time.Time, used time.Duration) bool {
	t.budget -= used - t.used
	t.used = used
	t.budget = max(t.budget, -t.quota)
	if periods := (now.Sub(t.periodEnd) + throttlePeriod) / throttlePeriod; periods > 0 {
		t.periodEnd = t.periodEnd.Add(periods * throttlePeriod)
		t.budget = min(t.budget+periods*t.quota, t.quota)
	}
	return t.budget <= 0
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	// The clock of a process's processor time, as clock_getcpuclockid(3) returns it.
	const schedulerClock = 2
	var t unix.Timespec
	err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &t) //nolint:gosec // The kernel defines it so.
	return time.Duration(t.Nano()), err
}

// enforceLimits stops and resumes the processes of entry instances until ctx ends, so that
// none uses more processor time than its machine has.
func (s *soak) enforceLimits(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, e := range s.entries {
			e.enforceLimit(now)
		}
		cranpause.Sleep(ctx, throttlePoll)
	}
}

// enforceLimit stops the process if it has used its quota, and resumes it when it has one
// again.
func (e *entry) enforceLimit(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command == nil || e.paused || e.throttle.quota == 0 {
		return
	}
	used, err := processorTime(e.command.Process.Pid)
	if err != nil {
		return
	}
	stop := e.throttle.update(now, used)
	if stop == e.throttle.stopped {
		return
	}
	sig := syscall.SIGCONT
	if stop {
		sig = syscall.SIGSTOP
	}
	if e.command.Process.Signal(sig) == nil {
		e.throttle.stopped = stop
	}
}
