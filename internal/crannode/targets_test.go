package crannode

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// fakeTaskTime is how long a task runs on a fakeTarget.
const fakeTaskTime = 300 * time.Millisecond

// fakeTarget is a target that keeps a fencing token and a lease, and runs tasks.
type fakeTarget struct {
	token uint64
	// silent is set while the target receives no order.
	silent bool
	// leaseEndMs is the end of the lease, on the target's clock, of everything that runs.
	leaseEndMs int64
	running    map[cranjob.TaskName]fakeRun
	finished   []cransched.EndReport
	ends       int64
}

type fakeRun struct {
	number int
	endsAt time.Duration
}

// endRuns ends the runs that are done, and all runs once the lease has expired.
func (t *fakeTarget) endRuns(now time.Duration) {
	expired := t.leaseEndMs > 0 && now.Milliseconds() > t.leaseEndMs
	for name, r := range t.running {
		outcome := cransched.OutcomeDone
		switch {
		case r.endsAt <= now && (t.leaseEndMs == 0 || r.endsAt.Milliseconds() <= t.leaseEndMs):
		case expired:
			outcome = cransched.OutcomeLeaseExpired
		default:
			continue
		}
		delete(t.running, name)
		t.ends++
		t.finished = append(t.finished, cransched.EndReport{Number: t.ends, Task: name, Run: r.number, Outcome: outcome})
	}
}

// maxLease is the longest lease that a fakeTarget accepts.
const maxLease = 6 * time.Second

// grantLease extends the lease to a deadline, but by at most maxLease from now.
func (t *fakeTarget) grantLease(deadlineMs int64, now time.Duration) {
	t.leaseEndMs = max(t.leaseEndMs, min(deadlineMs, (now+maxLease).Milliseconds()))
}

// fakeTargets are all targets of a testFleet. They record what would break the rules.
type fakeTargets struct {
	t     *testing.T
	clock func() cransched.Clock
	mu    sync.Mutex
	// targets are keyed by id. senders holds the process that has used each token at each
	// target.
	targets map[string]*fakeTarget
	senders map[string]string
	// done holds the tasks of which a success was acknowledged, lasting the jobs whose tasks run
	// until they are stopped.
	done    map[cranjob.TaskName]bool
	lasting map[string]bool
	// cancelledAt is when the cancellation of each job was acknowledged.
	cancelledAt map[string]time.Duration
	// drainingAt is when each target's entry was stored as draining.
	drainingAt map[string]time.Duration
	// cutOff is the process from which targets receive no order; empty if there is none.
	cutOff string
	// confirmedAt is when the newest append of each process to the digest, or of a fallback record, was stored.
	confirmedAt map[string]time.Duration
	// orderedAt is when each process last sent an order.
	orderedAt map[string]time.Duration
}

// connection is the way of one process to the targets.
type connection struct {
	noInstances
	targets *fakeTargets
	process string
}

// receive checks the token of an order, and reports whether the target accepts it.
func (c connection) receive(id string, token uint64) (*fakeTarget, cransched.Response) {
	f := c.targets
	t := f.targets[id]
	now := f.clock()
	response := cransched.Response{Status: cransched.StatusOK, ClockMs: now.Steady.Milliseconds(), SentAt: now.Steady}
	key := fmt.Sprintf("%s %d", id, token)
	if sender := f.senders[key]; sender != "" && sender != c.process {
		f.t.Errorf("%v: %s and %s send orders to %s with token %d", now.Steady, sender, c.process, id, token)
	}
	f.senders[key] = c.process
	f.orderedAt[c.process] = now.Steady
	if age := now.Steady - f.confirmedAt[c.process]; age > cransched.OwnershipTimeout {
		f.t.Errorf("%v: %s sends an order to %s %v after the last append by which it holds a shard", now.Steady, c.process, id, age)
	}
	t.endRuns(now.Steady)
	switch {
	case t.silent, c.process == f.cutOff:
		return t, cransched.Response{SentAt: now.Steady}
	case token < t.token:
		response.Status = cransched.StatusFenced
		return t, response
	}
	t.token = token
	return t, response
}

func (c connection) Heartbeat(_ context.Context, e cransched.Heartbeat) cransched.HeartbeatResponse {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	t, response := c.receive(e.Target.ID, e.Token)
	report := cransched.HeartbeatResponse{Response: response}
	if response.Status != cransched.StatusOK {
		return report
	}
	t.grantLease(e.DeadlineMs, c.targets.clock().Steady)
	for len(t.finished) > 0 && t.finished[0].Number <= e.AcknowledgedEnd {
		if t.finished[0].Outcome == cransched.OutcomeDone {
			c.targets.done[t.finished[0].Task] = true
		}
		t.finished = t.finished[1:]
	}
	report.Finished = append(report.Finished, t.finished...)
	for name, r := range t.running {
		report.Running = append(report.Running, cransched.RunReport{Task: name, Run: r.number, Percent: 100})
	}
	return report
}

func (c connection) StartRun(_ context.Context, e cransched.StartRun) cransched.Response {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	t, response := c.receive(e.Target.ID, e.Token)
	if response.Status != cransched.StatusOK {
		return response
	}
	f := c.targets
	if f.done[e.Task] {
		f.t.Errorf("%v: %s starts %v, of which a success was acknowledged", f.clock().Steady, c.process, e.Task)
	}
	if at, cancelled := f.cancelledAt[e.Task.Job]; cancelled && f.clock().Steady-at > fleetCancelBound {
		f.t.Errorf("%v: %s starts %v %v after its cancellation was acknowledged", f.clock().Steady, c.process, e.Task, f.clock().Steady-at)
	}
	if at, draining := f.drainingAt[e.Target.ID]; draining && f.clock().Steady-at > fleetDrainBound {
		f.t.Errorf("%v: %s starts %v at %s %v after that drains", f.clock().Steady, c.process, e.Task, e.Target.ID, f.clock().Steady-at)
	}
	for id, other := range f.targets {
		other.endRuns(f.clock().Steady)
		if r, found := other.running[e.Task]; found && f.clock().Steady < r.endsAt && (id != e.Target.ID || r.number != e.Run) {
			f.t.Errorf("%v: %s starts %v at %s, and it runs at %s", f.clock().Steady, c.process, e.Task, e.Target.ID, id)
		}
	}
	t.grantLease(e.DeadlineMs, f.clock().Steady)
	duration := fakeTaskTime
	if f.lasting[e.Task.Job] {
		duration = time.Hour
	}
	t.running[e.Task] = fakeRun{e.Run, f.clock().Steady + duration}
	return response
}

func (c connection) StopRun(_ context.Context, e cransched.StopRun) cransched.Response {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	t, response := c.receive(e.Target.ID, e.Token)
	if r, found := t.running[e.Task]; found && response.Status == cransched.StatusOK && r.number == e.Run {
		delete(t.running, e.Task)
		t.ends++
		t.finished = append(t.finished, cransched.EndReport{Number: t.ends, Task: e.Task, Run: e.Run, Outcome: cransched.OutcomeStopped})
	}
	return response
}

// hostsOf returns the targets on which tasks of a job run.
func (f *fakeTargets) hostsOf(job string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []string
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		f.targets[id].endRuns(f.clock().Steady)
		for name := range f.targets[id].running {
			if name.Job == job && !slices.Contains(hosts, id) {
				hosts = append(hosts, id)
			}
		}
	}
	return hosts
}

// setSilent sets whether targets receive no order.
func (f *fakeTargets) setSilent(ids []string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.targets[id].silent = on
	}
}

// runningTasks counts the runs of a job on all targets.
func (f *fakeTargets) runningTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.targets {
		t.endRuns(f.clock().Steady)
		for name := range t.running {
			if name.Job == job {
				n++
			}
		}
	}
	return n
}
