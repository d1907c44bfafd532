package crannode

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// fakeTaskTime is how long a task runs on a fakeTarget.
const fakeTaskTime = 300 * time.Millisecond

// fakeTarget is a target that keeps a fencing token and runs tasks.
type fakeTarget struct {
	token    uint64
	running  map[cranjob.TaskName]fakeRun
	finished []cransched.EndReport
	ends     int64
}

type fakeRun struct {
	number int
	endsAt time.Duration
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
	// done holds the tasks of which a success was acknowledged.
	done map[cranjob.TaskName]bool
	// confirmedAt is when the newest append of each process to the digest was stored.
	confirmedAt map[string]time.Duration
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
	if age := now.Steady - f.confirmedAt[c.process]; age > cransched.OwnershipTimeout {
		f.t.Errorf("%v: %s sends an order to %s %v after its last append to the digest", now.Steady, c.process, id, age)
	}
	if token < t.token {
		response.Status = cransched.StatusFenced
		return t, response
	}
	t.token = token
	for name, r := range t.running {
		if now.Steady >= r.endsAt {
			delete(t.running, name)
			t.ends++
			t.finished = append(t.finished, cransched.EndReport{Number: t.ends, Task: name, Run: r.number, Outcome: cransched.OutcomeDone})
		}
	}
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
	for len(t.finished) > 0 && t.finished[0].Number <= e.AcknowledgedEnd {
		c.targets.done[t.finished[0].Task] = true
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
	for id, other := range f.targets {
		if r, found := other.running[e.Task]; found && f.clock().Steady < r.endsAt && (id != e.Target.ID || r.number != e.Run) {
			f.t.Errorf("%v: %s starts %v at %s, and it runs at %s", f.clock().Steady, c.process, e.Task, e.Target.ID, id)
		}
	}
	t.running[e.Task] = fakeRun{e.Run, f.clock().Steady + fakeTaskTime}
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
