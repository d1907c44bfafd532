package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestLateJobBeginsWhilePunctualOnesTakeAllStarts guards against jobs that stand still though there is room for them,
// since the owner can start no more than the punctual tasks that keep arriving, and these come first.
func TestLateJobBeginsWhilePunctualOnesTakeAllStarts(t *testing.T) {
	const (
		jobs, targets = 60, 40
		maxStandstill = 3 * time.Second
	)
	sim := newSimulation(t, 1, targets)
	sim.failureRate, sim.longPolls, sim.handlingTime = 0, true, 4*time.Millisecond
	small := func(id string, width int) *cranjob.Job {
		j := newBatchJob(id, width)
		j.Steps = j.Steps[:1]
		j.Steps[0].Demand = cranjob.Resources{CPU: 20, Memory: 20}
		return j
	}
	for i := range jobs {
		sim.submit(small(fmt.Sprintf("late%d", i), 6))
	}
	sim.now += time.Minute
	sim.takeOver(sim.now - time.Hour)
	began := sim.now
	waiting := 0
	for i := range 300 {
		sim.submit(small(fmt.Sprintf("punctual%d", i), 10))
		sim.runFor(20 * time.Millisecond)
		waiting = max(waiting, sim.owner.WaitingTasks())
	}
	first := map[string]time.Duration{}
	for _, s := range sim.starts {
		if _, found := first[s.Task.Job]; !found {
			first[s.Task.Job] = s.at - began
		}
	}
	require.Greater(t, waiting, maxStartsUnderWay, "the owner starts what arrives")
	for i := range jobs {
		at, found := first[fmt.Sprintf("late%d", i)]
		require.True(t, found, i)
		require.LessOrEqual(t, at, maxStandstill, i)
	}
}

// TestBacklogIsNotSpreadOverItsJobs guards against an overloaded owner that begins a task of each of hundreds of jobs
// and so completes hardly any, until the room that its targets have is left unused (LOST).
func TestBacklogIsNotSpreadOverItsJobs(t *testing.T) {
	const jobs, width = 400, 6
	sim := newSimulation(t, 1, 40)
	sim.failureRate, sim.longPolls, sim.handlingTime = 0, true, 4*time.Millisecond
	for i := range jobs {
		j := newBatchJob(fmt.Sprintf("late%d", i), width)
		j.Steps = j.Steps[:1]
		j.Steps[0].Demand = cranjob.Resources{CPU: 20, Memory: 20}
		sim.submit(j)
	}
	sim.now += time.Minute
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(4 * time.Second)
	begun := map[string]bool{}
	for _, s := range sim.starts {
		begun[s.Task.Job] = true
	}
	require.Greater(t, len(sim.starts), 2*maxStartsUnderWay)
	require.LessOrEqual(t, len(begun), 2*len(sim.starts)/width)
}
