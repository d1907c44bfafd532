package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// countStarts returns how often each task of a job was started.
func (sim *simulation) countStarts(job string) map[cranjob.TaskName]int {
	counts := map[cranjob.TaskName]int{}
	for _, s := range sim.starts {
		if s.Task.Job == job {
			counts[s.Task]++
		}
	}
	return counts
}

// newWideJob returns a job of many small tasks.
func newWideJob(id string, tasks int, estimateMs int64) *cranjob.Job {
	return &cranjob.Job{ID: id, Spec: id, Steps: []cranjob.Step{
		{Count: tasks, Demand: cranjob.Resources{CPU: 20, Memory: 20}, EstimateMs: estimateMs},
	}}
}

// TestTakeoverWhenMoreRunsHaveEndedThanOneReportLists guards against tasks that a new owner starts again after they
// were done, because it takes runs whose end a report left out for runs that never began (TWICE).
func TestTakeoverWhenMoreRunsHaveEndedThanOneReportLists(t *testing.T) {
	const tasks = 40
	for _, listed := range []int{1, 7, 19, 20, 39, 40, 41} {
		for _, away := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(listed, away), func(t *testing.T) {
				sim := newSimulation(t, uint64(listed), 2)
				sim.failureRate, sim.maxListedEnds, sim.longPolls = 0, listed, true
				sim.takeOver(sim.now - time.Hour)
				sim.submit(newWideJob("j", tasks, 600))
				for limit := sim.now + 2*time.Second; len(sim.starts) < tasks && sim.now < limit; sim.runFor(time.Millisecond) {
				}
				require.Len(t, sim.starts, tasks)
				sim.ownerID++
				sim.runFor(away)
				sim.takeOver(sim.now)
				sim.runFor(8 * time.Second)
				require.Equal(t, cranjob.Completed, sim.states()["j"])
				for name, n := range sim.countStarts("j") {
					require.Equal(t, 1, n, "starts of %v", name)
				}
			})
		}
	}
}

// TestRunsThatReportsLeaveOutAreNotStopped guards against an owner that stops runs, or starts their tasks again, because
// more of them have ended at once than one report lists.
func TestRunsThatReportsLeaveOutAreNotStopped(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.failureRate, sim.maxListedEnds, sim.longPolls = 0, 3, true
	sim.takeOver(sim.now - time.Hour)
	for i := range 10 {
		sim.submit(newWideJob(fmt.Sprintf("j%d", i), 30, 400))
		sim.runFor(300 * time.Millisecond)
	}
	sim.runFor(15 * time.Second)
	for id, state := range sim.states() {
		require.Equal(t, cranjob.Completed, state, id)
		for name, n := range sim.countStarts(id) {
			require.Equal(t, 1, n, "starts of %v", name)
		}
	}
	require.Zero(t, sim.logged[LogRunStopped])
}

// TestEndAfterLeaseExpiryBlocksNoLaterEnds guards against a target of which no ends are seen any more, so that its tasks
// run again and again, because one end is never acknowledged: that of a run whose task was started elsewhere
// after the lease had expired (TWICE, LOST).
func TestEndAfterLeaseExpiryBlocksNoLaterEnds(t *testing.T) {
	for _, takesOver := range []bool{false, true} {
		t.Run(fmt.Sprint(takesOver), func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.failureRate, sim.maxListedEnds, sim.longPolls, sim.platformDown = 0, 5, true, true
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newWideJob("before", 6, 800))
			sim.runFor(200 * time.Millisecond)
			isolated := sim.targets[sim.starts[0].Target.ID]
			isolated.unreachable = true
			sim.runFor(9 * time.Second)
			require.Greater(t, len(sim.starts), 6)
			if takesOver {
				sim.takeOver(sim.now)
			}
			isolated.unreachable = false
			for i := range 20 {
				sim.submit(newWideJob(fmt.Sprintf("after%d", i), 4, 400))
				sim.runFor(200 * time.Millisecond)
			}
			sim.runFor(3 * time.Second)
			for id, state := range sim.states() {
				require.Equal(t, cranjob.Completed, state, id)
				for name, n := range sim.countStarts(id) {
					require.True(t, n == 1 || id == "before", "%d starts of %v", n, name)
				}
			}
			for id, tgt := range sim.targets {
				require.Empty(t, tgt.ends, id)
			}
		})
	}
}

// TestInvariantsWhenReportsLeaveEndsOut is like TestInvariantsUnderFaults for targets that list few ends at a time.
func TestInvariantsWhenReportsLeaveEndsOut(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 12
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 6)
			sim.maxListedEnds = 1 + int(seed%5)
			sim.longPolls, sim.briefResponses = seed%2 == 1, seed%3 == 1
			sim.runWithFaults()
		})
	}
}
