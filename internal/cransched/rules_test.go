package cransched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// newBatchJob returns a job with two steps, the second of which depends on the first.
func newBatchJob(id string, width int) *cranjob.Job {
	demand := cranjob.Resources{CPU: 900, Memory: 1500}
	return &cranjob.Job{ID: id, Spec: id, Steps: []cranjob.Step{
		{Count: width, Demand: demand, EstimateMs: 800},
		{Count: width, Demand: demand, EstimateMs: 600, After: []int{0}},
	}}
}

// newLongRunningJob returns a long-running job of which one task may be unavailable at a
// time.
func newLongRunningJob(id string, width int) *cranjob.Job {
	return &cranjob.Job{ID: id, Spec: id, Steps: []cranjob.Step{
		{Count: width, Demand: cranjob.Resources{CPU: 1000, Memory: 1000}, EstimateMs: 900, LongRunning: true, MaxUnavailable: 1},
	}}
}

// TestJobsEndUnderOverload submits more work than the pool can run at once. Every job must
// end.
func TestJobsEndUnderOverload(t *testing.T) {
	sim := newSimulation(t, 1, 5)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 3))
	for i := range 12 {
		sim.runFor(150 * time.Millisecond)
		sim.submit(newBatchJob(fmt.Sprintf("j%d", i), 6))
	}
	sim.runFor(20 * time.Second)
	for id, state := range sim.states() {
		if id == "lasting" {
			require.Equal(t, cranjob.Running, state)
			continue
		}
		require.True(t, state == cranjob.Completed || state == cranjob.Failed, "%s is %s", id, state)
	}
}

// TestInvariantsUnderFaults injects random faults while the simulation checks the
// invariants of every start: orders are lost, unanswered or delayed; targets become
// unreachable, restart or disappear; owners are replaced at any time; jobs are cancelled.
// After the faults every job must end.
func TestInvariantsUnderFaults(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 12
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 6)
			sim.longPolls = seed%2 == 1
			sim.runWithFaults()
		})
	}
}

// runWithFaults runs jobs under random faults, after which every job must end.
func (sim *simulation) runWithFaults() {
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 4))
	sim.lossRate, sim.noResponseRate, sim.delayRate = 0.02, 0.03, 0.04
	jobs := 0
	for range 60 {
		sim.runFor(time.Duration(100+sim.random.IntN(400)) * time.Millisecond)
		ids := slices.Sorted(maps.Keys(sim.targets))
		if len(ids) == 0 {
			continue
		}
		victim := ids[sim.random.IntN(len(ids))]
		switch sim.random.IntN(12) {
		case 0:
			sim.targets[victim].unreachable = !sim.targets[victim].unreachable
		case 1:
			sim.restart(victim)
		case 2:
			sim.targets[victim].up = false
		case 3:
			// The predecessor may act until OwnershipTimeout after its last confirmed
			// append.
			sim.takeOver(sim.now + OwnershipTimeout)
		case 4:
			if jobs > 0 {
				sim.cancel(fmt.Sprintf("j%d", sim.random.IntN(jobs)))
			}
		default:
			sim.submit(newBatchJob(fmt.Sprintf("j%d", jobs), 2+sim.random.IntN(6)))
			jobs++
		}
	}
	sim.lossRate, sim.noResponseRate, sim.delayRate = 0, 0, 0
	for id, tgt := range sim.targets {
		tgt.unreachable = false
		if !tgt.up {
			sim.restart(id)
		}
	}
	sim.runFor(70 * time.Second)
	for id, state := range sim.states() {
		if id != "lasting" {
			require.True(sim.t, state.Final(), "%s is %s after the faults", id, state)
		}
	}
	sim.requireNothingHeld()
}

// TestUnresponsiveTarget cuts a target off for good. Its tasks must run elsewhere once its
// lease has expired, which unanswered heartbeats must not renew.
func TestUnresponsiveTarget(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 3))
	sim.runFor(3 * time.Second)
	for _, tgt := range sim.targets {
		if len(tgt.runs) > 0 {
			tgt.unreachable = true
		}
	}
	sim.runFor(8 * time.Second)
	running := 0
	for _, tgt := range sim.targets {
		if !tgt.unreachable {
			running += len(tgt.runs)
		}
	}
	require.Equal(t, 3, running)
}

// TestEndThatNewerRunReplacedIsAcknowledgedAfterLease lets a target finish a task while it is unreachable and return
// after its lease has expired and the task was started elsewhere. The end may only be acknowledged because the lease has
// expired since: the rules don't count such an end as taken note of.
func TestEndThatNewerRunReplacedIsAcknowledgedAfterLease(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.platformDown = true
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newBatchJob("j", 1))
	sim.runFor(100 * time.Millisecond)
	var isolated *simTarget
	for _, tgt := range sim.targets {
		if len(tgt.runs) > 0 {
			isolated = tgt
		}
	}
	isolated.unreachable = true
	name := cranjob.TaskName{Job: "j"}
	isolated.runs[name].outcome = OutcomeDone
	sim.runFor(6 * time.Second)
	require.Len(t, sim.starts, 2)
	require.Greater(t, sim.starts[1].at, isolated.startedAt+time.Duration(isolated.leaseEndMs)*time.Millisecond)
	sim.endDueRuns(isolated)
	require.Len(t, isolated.ends, 1)
	late := isolated.ends[0]
	require.Equal(t, OutcomeDone, late.Outcome)
	require.True(t, isolated.hasLapsedSince(late, sim.now))
	isolated.unreachable = false
	sim.runFor(5 * time.Second)
	require.Empty(t, isolated.ends)
	require.Equal(t, 1, sim.logged[LogEndSuperseded])
	require.Contains(t, sim.acknowledged[name], OutcomeDone)
	require.Equal(t, cranjob.Completed, sim.states()["j"])
}

// TestLeaseExpiryAfterLongPoll cuts a target off after heartbeats that it answered at the
// end of their wait. Its runs continue until the newest lease expires on the target's
// clock, and no other run of the task may start before that.
func TestLeaseExpiryAfterLongPoll(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(t, seed, 2)
		sim.longPolls = true
		sim.takeOver(sim.now - time.Hour)
		sim.submit(newLongRunningJob("lasting", 1))
		sim.runFor(5*time.Second + time.Duration(seed)*110*time.Millisecond)
		name := cranjob.TaskName{Job: "lasting"}
		for _, tgt := range sim.targets {
			tgt.unreachable = tgt.runs[name] != nil
		}
		sim.runFor(12 * time.Second)
		running := 0
		for _, tgt := range sim.targets {
			if tgt.runs[name] != nil && !tgt.unreachable {
				running++
			}
		}
		require.Equal(t, 1, running)
	}
}

// TestEndsOfRestartedTarget restarts a target under the same id while the ends that its former
// process has reported are being stored. The numbers of ends begin anew, so none of the new
// process may be acknowledged: its first ones would be lost, and their tasks would run again.
// Seeds 99 and 1165 of TestInvariantsUnderFaults found it.
func TestEndsOfRestartedTarget(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	s := New(1, simTiming, sim.config, sim.stored, sim.clock(), Predecessor{})
	s.SetTargets(sim.targetList())
	target := s.targets["t0"]
	sim.submit(newBatchJob("j", 3))
	s.AddJob(sim.jobs["j"])
	report := HeartbeatResponse{Response: Response{Status: StatusOK, ClockMs: 1, SentAt: sim.now}}
	for i := range 3 {
		name := cranjob.TaskName{Job: "j", Index: i}
		report.Finished = append(report.Finished, EndReport{Number: int64(i + 1), Task: name, Run: 1, Outcome: OutcomeDone})
	}
	s.HandleHeartbeatResponse(target.address(), report)
	_, any := s.NextBatch()
	require.True(t, any)
	require.Equal(t, int64(3), target.endsSeen)
	sim.restart("t0")
	s.SetTargets(sim.targetList())
	s.ConfirmBatch()
	require.Zero(t, target.endsStored)
}

// TestOtherTargetAtForeignAddressEndsNoRun guards against runs that are given up because another
// target responds at an address at which their own target has never been.
func TestOtherTargetAtForeignAddressEndsNoRun(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 1))
	sim.runFor(3 * time.Second)
	s, target := sim.owner, sim.owner.targets["t0"]
	require.Len(t, target.runs, 1)
	foreign := target.info
	foreign.Address = "foreign"
	other := Response{Status: StatusOtherTarget, ClockMs: target.clockMs + 1_000_000}
	elsewhere := TargetRef{ID: "t0", Address: foreign.Address}
	s.SetTargets([]TargetInfo{foreign})
	s.HandleHeartbeatResponse(elsewhere, HeartbeatResponse{Response: other})
	require.Len(t, target.runs, 1)
	s.HandleStartResponse(StartRun{Target: elsewhere}, other)
	require.Len(t, target.runs, 1)
	require.Less(t, target.clockMs, other.ClockMs)
	s.SetTargets(sim.targetList())
	s.HandleStopResponse(StopRun{Target: elsewhere}, other)
	require.Len(t, target.runs, 1)
	s.HandleStopResponse(StopRun{Target: target.address()}, other)
	require.Empty(t, target.runs)
}

// TestHeartbeatsGoOnAfterChangeOfAddress guards against a target that gets no more heartbeats
// because its entry named another address while one was under way.
func TestHeartbeatsGoOnAfterChangeOfAddress(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	s, target := sim.owner, sim.owner.targets["t0"]
	s.sendHeartbeat(target)
	foreign := target.info
	foreign.Address = "foreign"
	sent := target.address()
	s.SetTargets([]TargetInfo{foreign})
	s.HandleHeartbeatResponse(sent, HeartbeatResponse{})
	require.True(t, target.heartbeatDue(sim.now+heartbeatInterval))
}

// TestForeignAddressAtTakeoverEndsNoRun guards against runs that a new owner gives up because the
// first entry that it reads of their target names the address of another one.
func TestForeignAddressAtTakeoverEndsNoRun(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 1))
	sim.runFor(3 * time.Second)
	foreign := sim.owner.targets["t0"].info
	foreign.Address = "foreign"
	s := New(sim.epoch+1, simTiming, sim.config, sim.stored, sim.clock(), Predecessor{StoppedBy: sim.now})
	s.SetTargets([]TargetInfo{foreign})
	require.Len(t, s.targets["t0"].runs, 1)
	other := Response{Status: StatusOtherTarget, ClockMs: 1_000_000}
	s.HandleHeartbeatResponse(s.targets["t0"].address(), HeartbeatResponse{Response: other})
	require.Len(t, s.targets["t0"].runs, 1, "the run goes on at the target's own address, and its task is to start again")
}

// TestEntryWithLaterBirthEndsNoRun guards against runs that are given up because an entry tells of a
// restart that no response of the target shows.
func TestEntryWithLaterBirthEndsNoRun(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 1))
	sim.runFor(3 * time.Second)
	host := sim.hostOfLasting()
	require.NotNil(t, host)
	odd := host.info
	odd.ProcessStartMs += 1_000_000_000
	sim.owner.SetTargets([]TargetInfo{odd})
	// The simulation checks each start.
	sim.runFor(10 * time.Second)
	require.Equal(t, 1, sim.countRunning("lasting"))
}
