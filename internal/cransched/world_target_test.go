package cransched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// simTarget is a simulated target that implements the platform's protocol.
type simTarget struct {
	info       TargetInfo
	startedAt  time.Duration
	fenceToken uint64
	leaseEndMs int64
	runs       map[cranjob.TaskName]*simRun
	// closedRuns holds the highest run number of each task that was stopped or has ended; a
	// start up to it is refused.
	closedRuns map[cranjob.TaskName]int
	// ends holds the ends that are not acknowledged; lastEnd is the number of the newest.
	ends    []simEnd
	lastEnd int64
	// lapses counts how often the lease had expired when it was renewed.
	lapses          int
	up, unreachable bool
	// formerCapacity is the capacity before it shrank, up to which starts are allowed until
	// formerUntil.
	formerCapacity cranjob.Resources
	formerUntil    time.Duration
	// refusing is set while the address of a crashed target refuses connections.
	refusing bool
}

// simEnd is an end that isn't acknowledged yet.
type simEnd struct {
	EndReport
	at time.Duration
	// lapses is the target's count at the end.
	lapses int
}

// hasLapsedSince reports whether the target's lease has expired since an end. The rules don't count such an end
// as taken note of, also if it is acknowledged later.
func (tgt *simTarget) hasLapsedSince(end simEnd, now time.Duration) bool {
	return tgt.lapses > end.lapses || tgt.leaseExpired(now)
}

func (tgt *simTarget) leaseExpired(now time.Duration) bool {
	return tgt.leaseEndMs > 0 && tgt.clockMs(now) > tgt.leaseEndMs
}

// receivedStart is a start that a target has carried out.
type receivedStart struct {
	StartRun
	at time.Duration
}

type simRun struct {
	number int
	// readyAt is when a long-running task is at work after its startup.
	readyAt time.Duration
	endsAt  time.Duration
	outcome RunOutcome
	stopped bool
}

// startProcess starts a target on an instance.
func (sim *simulation) startProcess(id, instance string) {
	sim.targets[id] = &simTarget{
		info: TargetInfo{
			ID: id, Pool: sim.instances[instance].pool, Address: id, Labels: []string{"a", "r1"}, Instance: instance,
			Capacity: cranjob.Resources{CPU: 4000, Memory: 8000}, ProcessStartMs: sim.unix(),
		},
		startedAt: sim.now, runs: map[cranjob.TaskName]*simRun{}, closedRuns: map[cranjob.TaskName]int{}, up: true,
	}
}

// longPollInterval is how often a target checks whether it can answer a waiting heartbeat.
const longPollInterval = 20 * time.Millisecond

// answerHeartbeat answers a heartbeat once a run has ended or its wait is over.
func (sim *simulation) answerHeartbeat(s *Scheduler, id int, e Heartbeat, sent, wait time.Duration, response HeartbeatResponse) {
	if tgt := sim.targets[e.Target.ID]; response.Status == StatusOK && len(response.Finished) == 0 && wait > 0 && sim.longPolls && tgt != nil && tgt.up {
		sim.schedule(longPollInterval, func() {
			if response := sim.reportOf(e.Target); response.Status == StatusOK && sim.now >= sim.cutOffUntil[id][e.Target.ID] {
				sim.answerHeartbeat(s, id, e, sent, wait-longPollInterval, response)
				return
			}
			sim.schedule(callTimeout, func() { sim.answerHeartbeat(s, id, e, sent, 0, HeartbeatResponse{}) })
		})
		return
	}
	sim.whenRunning(func() {
		if sim.acts(id) {
			response.SentAt = sent
			s.Advance(sim.clock())
			s.HandleHeartbeatResponse(e.Target, response)
			sim.storeAndPerform(s, id)
		}
	})
}

// reportOf returns a target's report outside of a heartbeat.
func (sim *simulation) reportOf(to TargetRef) HeartbeatResponse {
	tgt := sim.targets[to.ID]
	if tgt == nil || !tgt.up || tgt.unreachable {
		return HeartbeatResponse{}
	}
	sim.endDueRuns(tgt)
	return sim.report(tgt)
}

func (sim *simulation) report(tgt *simTarget) HeartbeatResponse {
	now := sim.now
	response := HeartbeatResponse{Response: tgt.response(now, StatusOK)}
	for _, end := range tgt.ends {
		if response.MoreEnds = sim.maxListedEnds > 0 && len(response.Finished) >= sim.maxListedEnds; response.MoreEnds {
			break
		}
		response.Finished = append(response.Finished, end.EndReport)
	}
	for _, name := range slices.SortedFunc(maps.Keys(tgt.runs), compareTasks) {
		percent := 100
		if now < tgt.runs[name].readyAt {
			percent = 50
		}
		response.Running = append(response.Running, RunReport{Task: name, Run: tgt.runs[name].number, Percent: percent})
	}
	return response
}

func (tgt *simTarget) clockMs(now time.Duration) int64 { return (now - tgt.startedAt).Milliseconds() }

// endDueRuns ends the runs of a target that are finished or whose lease has expired.
func (sim *simulation) endDueRuns(tgt *simTarget) {
	expired := tgt.leaseExpired(sim.now)
	for _, name := range slices.SortedFunc(maps.Keys(tgt.runs), compareTasks) {
		r := tgt.runs[name]
		switch {
		case r.endsAt <= sim.now && (!expired || tgt.clockMs(r.endsAt) <= tgt.leaseEndMs):
			sim.endRun(tgt, name, r, r.outcome)
		case expired:
			sim.endRun(tgt, name, r, OutcomeLeaseExpired)
		}
	}
}

func (sim *simulation) endRun(tgt *simTarget, name cranjob.TaskName, r *simRun, outcome RunOutcome) {
	delete(tgt.runs, name)
	tgt.closedRuns[name] = max(tgt.closedRuns[name], r.number)
	if outcome == OutcomeDone {
		sim.succeeded[name] = true
	}
	tgt.lastEnd++
	tgt.ends = append(tgt.ends, simEnd{
		EndReport: EndReport{Number: tgt.lastEnd, Task: name, Run: r.number, Outcome: outcome}, at: min(r.endsAt, sim.now), lapses: tgt.lapses,
	})
}

func (tgt *simTarget) response(now time.Duration, status CallStatus) Response {
	return Response{Status: status, ClockMs: tgt.clockMs(now), ProcessStartMs: tgt.info.ProcessStartMs}
}

// orderResponse returns the response to a start or a stop.
func (sim *simulation) orderResponse(tgt *simTarget, status CallStatus) Response {
	resp := tgt.response(sim.now, status)
	if sim.briefResponses {
		resp.ProcessStartMs = 0
	}
	return resp
}

// deliver returns the target that accepts an order, or the response if the order is
// refused or lost.
func (sim *simulation) deliver(to TargetRef, token uint64) (*simTarget, *Response) {
	tgt := sim.targetAt(to.Address)
	switch {
	case tgt == nil && sim.targets[to.ID] != nil && sim.targets[to.ID].refusing:
		return nil, &Response{Status: StatusNotSent}
	case tgt == nil || tgt.unreachable:
		return nil, &Response{}
	}
	if tgt.info.ID != to.ID {
		resp := tgt.response(sim.now, StatusOtherTarget)
		return nil, &resp
	}
	sim.endDueRuns(tgt)
	if token < tgt.fenceToken {
		resp := tgt.response(sim.now, StatusFenced)
		return nil, &resp
	}
	tgt.fenceToken = token
	return tgt, nil
}

// targetAt returns the target at an address, or nil if none is up there.
func (sim *simulation) targetAt(address string) *simTarget {
	for _, tgt := range sim.targets {
		if tgt.up && tgt.info.Address == address {
			return tgt
		}
	}
	return nil
}

// renewLease extends the lease to a deadline, but by at most the longest lease from now.
func (tgt *simTarget) renewLease(deadlineMs int64, now time.Duration) {
	if tgt.leaseExpired(now) {
		tgt.lapses++
	}
	tgt.leaseEndMs = max(tgt.leaseEndMs, min(deadlineMs, tgt.clockMs(now)+simTiming.MaxLease.Milliseconds()))
}

func (sim *simulation) heartbeat(e Heartbeat) HeartbeatResponse {
	tgt, rejection := sim.deliver(e.Target, e.Token)
	if rejection != nil {
		return HeartbeatResponse{Response: *rejection}
	}
	tgt.renewLease(e.DeadlineMs, sim.now)
	for _, end := range tgt.ends {
		if end.Number <= e.AcknowledgedEnd {
			sim.acknowledged[end.Task] = append(sim.acknowledged[end.Task], end.Outcome)
			if !tgt.hasLapsedSince(end, sim.now) {
				sim.checkAcknowledged(end)
			}
		}
	}
	tgt.ends = slices.DeleteFunc(tgt.ends, func(end simEnd) bool { return end.Number <= e.AcknowledgedEnd })
	return sim.report(tgt)
}

// checkAcknowledged checks that no run of a task has started after one whose success counts, since it was acknowledged
// under the same lease.
func (sim *simulation) checkAcknowledged(end simEnd) {
	if end.Outcome != OutcomeDone {
		return
	}
	newest := sim.newestStarts[end.Task]
	require.LessOrEqual(sim.t, newest.at, end.at, "%v: run %d of %v was done, and run %d started after it", sim.now, end.Run, end.Task, newest.Run)
}

func (sim *simulation) stopRun(e StopRun) Response {
	tgt, rejection := sim.deliver(e.Target, e.Token)
	if rejection != nil {
		return *rejection
	}
	tgt.closedRuns[e.Task] = max(tgt.closedRuns[e.Task], e.Run)
	if r := tgt.runs[e.Task]; r != nil && r.number == e.Run && !r.stopped {
		sim.checkEviction(e.Task)
	}
	if r := tgt.runs[e.Task]; r != nil && r.number == e.Run && !r.stopped {
		r.stopped, r.outcome, r.endsAt = true, OutcomeStopped, min(r.endsAt, sim.now+simStopTime)
	}
	return sim.orderResponse(tgt, StatusOK)
}

// startRun carries out a start after checking it.
func (sim *simulation) startRun(e StartRun) Response {
	tgt, rejection := sim.deliver(e.Target, e.Token)
	if rejection != nil {
		return *rejection
	}
	if r := tgt.runs[e.Task]; r != nil && r.number == e.Run {
		return sim.orderResponse(tgt, StatusOK)
	}
	switch {
	case e.DeadlineMs > 0 && e.DeadlineMs < tgt.clockMs(sim.now):
		return sim.orderResponse(tgt, StatusDeadlinePassed)
	case e.Run <= tgt.closedRuns[e.Task]:
		return sim.orderResponse(tgt, StatusStaleRun)
	case sim.adviser != nil && !sim.adviser.isValid(e, sim.now):
		return sim.orderResponse(tgt, StatusInvalidTicket)
	}
	sim.checkStart(tgt, e)
	sim.starts = append(sim.starts, receivedStart{e, sim.now})
	sim.newestStarts[e.Task] = receivedStart{e, sim.now}
	tgt.renewLease(e.DeadlineMs, sim.now)
	step := sim.jobs[e.Task.Job].Steps[e.Task.Step]
	r := &simRun{number: e.Run, endsAt: sim.now + time.Duration(float64(step.EstimateMs)*(0.5+sim.random.Float64()))*time.Millisecond, outcome: OutcomeDone}
	if d, set := sim.runTimes[e.Task]; set {
		r.endsAt = sim.now + d
	}
	if sim.random.Float64() < sim.failureRate {
		r.outcome = OutcomeFailed
	}
	if step.LongRunning {
		r.endsAt = sim.now + time.Hour
		r.readyAt = sim.now + sim.startup
	}
	tgt.runs[e.Task] = r
	sim.durations[e.Task] = r.endsAt - sim.now
	if delay, deadly := sim.deadly[e.Task]; deadly {
		sim.schedule(delay, func() {
			if tgt.runs[e.Task] == r {
				sim.crash(e.Target.ID)
			}
		})
	}
	if step.Gang {
		sim.scheduleGangEnd(e, r.endsAt)
	}
	return sim.orderResponse(tgt, StatusOK)
}

// checkStart checks the invariants that a start may violate.
func (sim *simulation) checkStart(tgt *simTarget, e StartRun) {
	job := sim.jobs[e.Task.Job]
	used := job.Steps[e.Task.Step].Reservation()
	for name := range tgt.runs {
		used = used.Add(sim.jobs[name.Job].Steps[name.Step].Reservation())
	}
	fits := tgt.info.Capacity.Fits(used) || sim.now < tgt.formerUntil && tgt.formerCapacity.Fits(used)
	require.True(sim.t, fits, "%v: %s is over its capacity: %v", sim.now, tgt.info.ID, used)
	sim.checkPlacement(tgt, e)
	for id, other := range sim.targets {
		if !other.up {
			continue
		}
		sim.endDueRuns(other)
		r := other.runs[e.Task]
		require.Nil(sim.t, r, "%v: %v runs on %s and starts on %s", sim.now, e.Task, id, tgt.info.ID)
	}
	sim.checkCrashes(e.Task)
	failures := 0
	for _, outcome := range sim.acknowledged[e.Task] {
		require.NotEqual(sim.t, OutcomeDone, outcome, "%v: %v starts after it was done", sim.now, e.Task)
		if outcome == OutcomeFailed {
			failures++
		}
	}
	require.Less(sim.t, failures, sim.config.Queues["q"].Attempts, "%v starts although its attempts are used up", e.Task)
	for _, dependency := range job.Steps[e.Task.Step].After {
		for i := range job.Steps[dependency].Count {
			name := cranjob.TaskName{Job: job.ID, Step: dependency, Index: i}
			require.True(sim.t, sim.succeeded[name], "%v: %v starts before %v is done", sim.now, e.Task, name)
		}
	}
}

// compareTasks orders the runs of a target, so that equal simulations take the same course.
func compareTasks(a, b cranjob.TaskName) int {
	return cmp.Or(a.Index-b.Index, cmp.Compare(a.Job, b.Job), a.Occurrence-b.Occurrence, a.Step-b.Step)
}
