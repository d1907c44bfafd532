package cranoverload

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

const (
	targetCPU, targetMemory = 4000, 8000
	taskCPU, taskMemory     = 900, 1500
	// slotsPerTarget is the number of tasks that fit on a target.
	slotsPerTarget = min(targetCPU/taskCPU, targetMemory/taskMemory)
)

// target is a simulated target. As no call is lost, its lease never expires.
type target struct {
	sim       *simulation
	info      cransched.TargetInfo
	startedAt time.Duration
	runs      map[cranjob.TaskName]*run
	// ends holds the ends that are not acknowledged; lastEnd is the number of the newest.
	ends    []cransched.EndReport
	lastEnd int64
	// polls holds the heartbeats that wait for an end.
	polls []*poll
}

type run struct {
	number    int
	startedAt time.Duration
}

// poll is a heartbeat whose response waits for the end of a run.
type poll struct {
	answered bool
	respond  func()
}

func (p *poll) answer() {
	if !p.answered {
		p.answered = true
		p.respond()
	}
}

func (t *target) response(status cransched.CallStatus) cransched.Response {
	return cransched.Response{Status: status, ClockMs: (t.sim.Now() - t.startedAt).Milliseconds(), ProcessStartMs: t.info.ProcessStartMs}
}

// heartbeat handles a heartbeat and responds at once if there are ends to report, otherwise after its wait.
func (t *target) heartbeat(e cransched.Heartbeat, respond func(cransched.HeartbeatResponse)) {
	t.ends = slices.DeleteFunc(t.ends, func(end cransched.EndReport) bool { return end.Number <= e.AcknowledgedEnd })
	p := &poll{respond: func() { respond(t.report()) }}
	if len(t.ends) > 0 || e.Wait <= 0 {
		p.answer()
		return
	}
	t.polls = append(t.polls, p)
	t.sim.Schedule(t.sim.Now()+e.Wait, p.answer)
}

func (t *target) report() cransched.HeartbeatResponse {
	r := cransched.HeartbeatResponse{Response: t.response(cransched.StatusOK), Finished: slices.Clone(t.ends)}
	for _, name := range slices.SortedFunc(maps.Keys(t.runs), cranjob.TaskName.Compare) {
		r.Running = append(r.Running, cransched.RunReport{Task: name, Run: t.runs[name].number, Percent: 100})
	}
	return r
}

// start starts a run if it fits.
func (t *target) start(e cransched.StartRun) cransched.Response {
	if len(t.runs) >= slotsPerTarget {
		return t.response(cransched.StatusNoCapacity)
	}
	j, now := t.sim.jobs[e.Task.Job], t.sim.Now()
	if j.startedAt == 0 {
		j.startedAt = now
		t.sim.waiting--
	}
	r := &run{number: e.Run, startedAt: now}
	t.runs[e.Task] = r
	t.sim.Schedule(now+j.durations[e.Task], func() { t.end(e.Task, r, cransched.OutcomeDone) })
	return t.response(cransched.StatusOK)
}

// stop stops a run.
func (t *target) stop(e cransched.StopRun) cransched.Response {
	if r := t.runs[e.Task]; r != nil && r.number == e.Run {
		t.end(e.Task, r, cransched.OutcomeStopped)
	}
	return t.response(cransched.StatusOK)
}

// end ends a run, unless it has ended before, and answers the heartbeats that wait for it.
func (t *target) end(name cranjob.TaskName, r *run, outcome cransched.RunOutcome) {
	if t.runs[name] != r {
		return
	}
	delete(t.runs, name)
	s := t.sim
	s.jobs[name.Job].work += max(min(s.Now(), s.surgeEnd)-max(r.startedAt, s.surgeBegin), 0).Seconds()
	t.lastEnd++
	t.ends = append(t.ends, cransched.EndReport{Number: t.lastEnd, Task: name, Run: r.number, Outcome: outcome})
	for _, p := range t.polls {
		p.answer()
	}
	t.polls = nil
}
