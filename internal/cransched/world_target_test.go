package cransched

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// simTarget is a simulated target that implements the platform's protocol.
type simTarget struct {
	info            TargetInfo
	startedAt       time.Duration
	fenceToken      uint64
	leaseEndMs      int64
	runs            map[cranjob.TaskName]*simRun
	closedRuns      map[cranjob.TaskName]int
	ends            []EndReport
	lastEnd         int64
	up, unreachable bool
}

// receivedStart is a start that a target has carried out.
type receivedStart struct {
	StartRun
	at time.Duration
}

type simRun struct {
	number  int
	endsAt  time.Duration
	outcome RunOutcome
	stopped bool
}

// startProcess starts a target on an instance.
func (w *simulation) startProcess(id, instance string) {
	w.targets[id] = &simTarget{
		info: TargetInfo{
			ID: id, Pool: "p", Address: id, Labels: []string{"a", "r1"}, Instance: instance,
			Capacity: cranjob.Resources{CPU: 4000, Memory: 8000}, ProcessStartMs: w.unix(),
		},
		startedAt: w.now, runs: map[cranjob.TaskName]*simRun{}, closedRuns: map[cranjob.TaskName]int{}, up: true,
	}
}

// longPollInterval is how often a target checks whether it can answer a waiting heartbeat.
const longPollInterval = 20 * time.Millisecond

// answerHeartbeat answers a heartbeat once a run has ended or its wait is over.
func (w *simulation) answerHeartbeat(s *Scheduler, id int, e Heartbeat, sent, wait time.Duration, response HeartbeatResponse) {
	if x := w.targets[e.Target.ID]; response.Status == StatusOK && len(response.Finished) == 0 && wait > 0 && w.longPolls && x != nil && x.up {
		w.schedule(longPollInterval, func() {
			if response := w.reportOf(e.Target); response.Status == StatusOK {
				w.answerHeartbeat(s, id, e, sent, wait-longPollInterval, response)
				return
			}
			w.schedule(callTimeout, func() { w.answerHeartbeat(s, id, e, sent, 0, HeartbeatResponse{}) })
		})
		return
	}
	if id == w.ownerID {
		response.SentAt = sent
		s.Advance(w.clock())
		s.HandleHeartbeatResponse(e.Target, response)
		w.storeAndPerform(s, id)
	}
}

// reportOf returns a target's report outside of a heartbeat.
func (w *simulation) reportOf(to TargetRef) HeartbeatResponse {
	x := w.targets[to.ID]
	if x == nil || !x.up || x.unreachable {
		return HeartbeatResponse{}
	}
	w.endDueRuns(x)
	return x.report(w.now)
}

func (x *simTarget) report(now time.Duration) HeartbeatResponse {
	response := HeartbeatResponse{Response: x.response(now, StatusOK), Finished: slices.Clone(x.ends)}
	for _, name := range slices.SortedFunc(maps.Keys(x.runs), func(a, b cranjob.TaskName) int { return a.Index - b.Index }) {
		response.Running = append(response.Running, RunReport{Task: name, Run: x.runs[name].number, Percent: 100})
	}
	return response
}

func (x *simTarget) clockMs(now time.Duration) int64 { return (now - x.startedAt).Milliseconds() }

// endDueRuns ends the runs of a target that are finished or whose lease has expired.
func (w *simulation) endDueRuns(x *simTarget) {
	lapsed := x.leaseEndMs > 0 && x.clockMs(w.now) > x.leaseEndMs
	for _, name := range slices.SortedFunc(maps.Keys(x.runs), func(a, b cranjob.TaskName) int { return a.Index - b.Index }) {
		r := x.runs[name]
		switch {
		case r.endsAt <= w.now && (!lapsed || x.clockMs(r.endsAt) <= x.leaseEndMs):
			w.endRun(x, name, r, r.outcome)
		case lapsed:
			w.endRun(x, name, r, OutcomeLeaseExpired)
		}
	}
}

func (w *simulation) endRun(x *simTarget, name cranjob.TaskName, r *simRun, outcome RunOutcome) {
	delete(x.runs, name)
	x.closedRuns[name] = max(x.closedRuns[name], r.number)
	if outcome == OutcomeDone {
		w.succeeded[name] = true
	}
	x.lastEnd++
	x.ends = append(x.ends, EndReport{Number: x.lastEnd, Task: name, Run: r.number, Outcome: outcome})
}

func (x *simTarget) response(now time.Duration, v CallStatus) Response {
	return Response{Status: v, ClockMs: x.clockMs(now), ProcessStartMs: x.info.ProcessStartMs}
}

// deliver returns the target that accepts an order, or the response if the order is
// refused or lost.
func (w *simulation) deliver(to TargetRef, token uint64) (*simTarget, *Response) {
	x := w.targets[to.ID]
	if x == nil || !x.up || x.unreachable {
		return nil, &Response{}
	}
	w.endDueRuns(x)
	if token < x.fenceToken {
		resp := x.response(w.now, StatusFenced)
		return nil, &resp
	}
	x.fenceToken = token
	return x, nil
}

func (w *simulation) heartbeat(e Heartbeat) HeartbeatResponse {
	x, rejection := w.deliver(e.Target, e.Token)
	if rejection != nil {
		return HeartbeatResponse{Response: *rejection}
	}
	if e.DeadlineMs > 0 {
		x.leaseEndMs = max(x.leaseEndMs, min(e.DeadlineMs, x.clockMs(w.now)+6000))
	}
	for _, end := range x.ends {
		if end.Number <= e.AcknowledgedEnd {
			w.acknowledged[end.Task] = append(w.acknowledged[end.Task], end.Outcome)
		}
	}
	x.ends = slices.DeleteFunc(x.ends, func(end EndReport) bool { return end.Number <= e.AcknowledgedEnd })
	return x.report(w.now)
}

func (w *simulation) stopRun(e StopRun) Response {
	x, rejection := w.deliver(e.Target, e.Token)
	if rejection != nil {
		return *rejection
	}
	x.closedRuns[e.Task] = max(x.closedRuns[e.Task], e.Run)
	if r := x.runs[e.Task]; r != nil && r.number == e.Run && !r.stopped {
		w.checkEviction(e.Task)
	}
	if r := x.runs[e.Task]; r != nil && r.number == e.Run && !r.stopped {
		r.stopped, r.outcome, r.endsAt = true, OutcomeStopped, min(r.endsAt, w.now+simStopTime)
	}
	return x.response(w.now, StatusOK)
}

// startRun carries out a start after checking it.
func (w *simulation) startRun(e StartRun) Response {
	x, rejection := w.deliver(e.Target, e.Token)
	if rejection != nil {
		return *rejection
	}
	if r := x.runs[e.Task]; r != nil && r.number == e.Run {
		return x.response(w.now, StatusOK)
	}
	switch {
	case e.DeadlineMs > 0 && e.DeadlineMs < x.clockMs(w.now):
		return x.response(w.now, StatusDeadlinePassed)
	case e.Run <= x.closedRuns[e.Task]:
		return x.response(w.now, StatusStaleRun)
	}
	w.checkStart(x, e)
	w.starts = append(w.starts, receivedStart{e, w.now})
	x.leaseEndMs = max(x.leaseEndMs, e.DeadlineMs)
	step := w.jobs[e.Task.Job].Steps[e.Task.Step]
	r := &simRun{number: e.Run, endsAt: w.now + time.Duration(float64(step.EstimateMs)*(0.5+w.random.Float64()))*time.Millisecond, outcome: OutcomeDone}
	if w.random.Float64() < w.failureRate {
		r.outcome = OutcomeFailed
	}
	if step.Lasting {
		r.endsAt = w.now + time.Hour
	}
	x.runs[e.Task] = r
	if step.Gang {
		w.scheduleGangEnd(e, r.endsAt)
	}
	return x.response(w.now, StatusOK)
}

// checkStart checks the invariants that a start may violate.
func (w *simulation) checkStart(x *simTarget, e StartRun) {
	job := w.jobs[e.Task.Job]
	used := job.Steps[e.Task.Step].Room()
	for name := range x.runs {
		used = used.Add(w.jobs[name.Job].Steps[name.Step].Room())
	}
	require.True(w.t, x.info.Capacity.Fits(used), "%v: %s is over its capacity: %v", w.now, x.info.ID, used)
	w.checkPlacement(x, e)
	for id, other := range w.targets {
		if !other.up {
			continue
		}
		w.endDueRuns(other)
		r := other.runs[e.Task]
		require.Nil(w.t, r, "%v: %v runs on %s and starts on %s", w.now, e.Task, id, x.info.ID)
	}
	failures := 0
	for _, outcome := range w.acknowledged[e.Task] {
		require.NotEqual(w.t, OutcomeDone, outcome, "%v: %v starts after it was done", w.now, e.Task)
		if outcome == OutcomeFailed {
			failures++
		}
	}
	require.Less(w.t, failures, w.config.Queues["q"].Attempts, "%v starts although its attempts are used up", e.Task)
	for _, earlier := range job.Steps[e.Task.Step].After {
		for i := range job.Steps[earlier].Count {
			name := cranjob.TaskName{Job: job.ID, Step: earlier, Index: i}
			require.True(w.t, w.succeeded[name], "%v: %v starts before %v is done", w.now, e.Task, name)
		}
	}
}
