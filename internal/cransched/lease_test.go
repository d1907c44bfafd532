package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// longestLease is how long a lease of simTiming lasts at most, with the margin for its expiry.
const longestLease = 5450 * time.Millisecond

// hostOfLasting returns the target on which a task of the job "lasting" runs.
func (sim *simulation) hostOfLasting() *simTarget {
	for _, tgt := range sim.targets {
		for name := range tgt.runs {
			if name.Job == "lasting" {
				return tgt
			}
		}
	}
	return nil
}

// TestSuccessorKnowsWhenLeasesEnd loses the owner while a target doesn't respond. The successor
// must start the tasks of that target once the leases of the lost owner have expired. It
// started them only when leases had expired that the owner could have granted until its loss.
func TestSuccessorKnowsWhenLeasesEnd(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 1))
	sim.runFor(3 * time.Second)
	silent := sim.hostOfLasting()
	silent.unreachable = true
	silentSince := sim.now
	sim.runFor(4 * time.Second)
	sim.ownerID++
	sim.runFor(time.Second)
	sim.takeOver(sim.now)
	sim.runFor(silentSince + longestLease + time.Second - sim.now)
	sim.endDueRuns(silent)
	require.NotNil(t, sim.hostOfLasting())
	require.NotEqual(t, silent, sim.hostOfLasting())
}

// TestLeaseAfterSilenceIsGrantedOnceStored lets a target respond again for a moment before the
// owner is lost, while the store is slow. The owner must not grant a lease of which its
// successor can't know; the simulation checks that no task runs twice.
func TestLeaseAfterSilenceIsGrantedOnceStored(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 600 * time.Millisecond} {
		sim := newSimulation(t, 1, 4)
		sim.failureRate = 0
		sim.takeOver(sim.now - time.Hour)
		sim.submit(newLongRunningJob("lasting", 1))
		sim.runFor(3 * time.Second)
		silent := sim.hostOfLasting()
		silent.unreachable = true
		sim.runFor(3 * time.Second)
		sim.publishDelay = delay
		silent.unreachable = false
		sim.runFor(400 * time.Millisecond)
		silent.unreachable = true
		sim.ownerID++
		sim.takeOver(sim.now)
		sim.runFor(12 * time.Second)
		require.NotEqual(t, silent, sim.hostOfLasting())
	}
}

// TestSilentTargetsThatRecoverKeepTheirRuns makes all targets silent for longer than the time
// after which leases are suspended. All runs must go on.
func TestSilentTargetsThatRecoverKeepTheirRuns(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 6))
	sim.runFor(3 * time.Second)
	starts := len(sim.starts)
	for _, tgt := range sim.targets {
		tgt.unreachable = true
	}
	sim.runFor(3500 * time.Millisecond)
	for _, tgt := range sim.targets {
		tgt.unreachable = false
	}
	sim.runFor(10 * time.Second)
	require.Equal(t, 6, sim.countRunning("lasting"))
	require.Len(t, sim.starts, starts)
}

// TestStartAtRestartedTargetIsAwaited guards against a task that starts elsewhere while a start
// that was under way when its target restarted runs in the new process.
func TestStartAtRestartedTargetIsAwaited(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	sim.noResponseRate = 1
	sim.submit(newLongRunningJob("lasting", 1))
	task := sim.owner.jobs["lasting"].tasks[0]
	for task.run == nil || task.run.phase != startSent {
		sim.runFor(time.Millisecond)
	}
	sim.restart(task.Target)
	sim.runFor(5 * time.Millisecond)
	host := sim.hostOfLasting()
	require.NotNil(t, host)
	host.unreachable = true
	sim.noResponseRate = 0
	sim.runFor(10 * time.Second)
	require.NotNil(t, sim.hostOfLasting())
	require.NotEqual(t, host, sim.hostOfLasting())
}

// TestTakeoversWithLateOrders lets most orders and heartbeats take effect seconds late or without a
// response for some seconds, and replaces the owner meanwhile, as its predecessor is lost or has
// restarted. The simulation checks each start. In the end every task runs.
func TestTakeoversWithLateOrders(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 12
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 6)
			sim.failureRate, sim.lateHeartbeats, sim.longPolls = 0, true, seed%2 == 1
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 6))
			for i := range 8 {
				sim.submit(newBatchJob(fmt.Sprintf("j%d", i), 6))
				sim.delayRate, sim.noResponseRate = 0.2+0.6*sim.random.Float64(), 0.1
				sim.runFor(time.Duration(1000+sim.random.IntN(4000)) * time.Millisecond)
				stopped := sim.now
				if sim.random.IntN(2) == 0 {
					stopped += OwnershipTimeout
				}
				sim.takeOver(stopped)
				sim.runFor(time.Duration(sim.random.IntN(2000)) * time.Millisecond)
				sim.delayRate, sim.noResponseRate = 0, 0
				sim.runFor(time.Duration(sim.random.IntN(3000)) * time.Millisecond)
			}
			sim.runFor(30 * time.Second)
			require.Equal(t, 6, sim.countRunning("lasting"))
			for id, state := range sim.states() {
				require.True(t, id == "lasting" || state == cranjob.Completed, "%s is %s", id, state)
			}
		})
	}
}

// TestListedLeaseEndIsNotCut guards against a successor that expects the leases of a restarted
// target to end before its predecessor did.
func TestListedLeaseEndIsNotCut(t *testing.T) {
	now := time.Hour
	s := New(2, simTiming, &Config{}, cranjob.NewReplica(), Clock{Steady: now}, Predecessor{
		StoppedBy: now, LeasesEndAt: map[string]time.Duration{"x": now + 7*time.Second},
	})
	require.GreaterOrEqual(t, s.earlierLeaseEnd("x"), now+7*time.Second)
}
