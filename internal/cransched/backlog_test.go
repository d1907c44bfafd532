package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// inTime counts the jobs of a queue that have completed, and those of them that did so by their
// soft deadline.
func (sim *simulation) inTime(queue string) (completed, punctual int) {
	for id, j := range sim.jobs {
		e, _ := sim.stored.Lookup(id)
		if j.Queue != queue || e.Progress() == nil || e.State() != cranjob.Completed {
			continue
		}
		completed++
		q := sim.config.Queues[queue]
		longest := 0.0
		for i := range j.Steps {
			longest += float64(j.Steps[i].EstimateMs) * longestTaskFactor(j.Steps[i].Count)
		}
		if e.Progress().EndedMs <= j.ReceivedMs+int64(q.Stretch*longest)+q.LatencyTarget.Milliseconds() {
			punctual++
		}
	}
	return completed, punctual
}

// TestPunctualWorkGetsInstancesOfLateWork plays a backlog that is late already and would keep
// all instances of its pool busy for ten seconds, and during it a surge of another pool.
// Callers of the surge must be served in time, and the late jobs must complete afterwards.
func TestPunctualWorkGetsInstancesOfLateWork(t *testing.T) {
	sim := newSimulation(t, 1, 24)
	sim.failureRate = 0
	sim.config.Pools["r"] = &Pool{Name: "r"}
	sim.config.Queues["u"] = &Queue{Name: "u", Pool: "r", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	for i := range 170 {
		sim.submit(newBatchJob(fmt.Sprintf("late%d", i), 6))
	}
	sim.runFor(4 * time.Second)
	for i := range 60 {
		j := newBatchJob(fmt.Sprintf("surge%d", i), 4)
		j.Queue = "u"
		sim.submit(j)
		sim.runFor(100 * time.Millisecond)
	}
	sim.runFor(4 * time.Second)
	completed, punctual := sim.inTime("u")
	require.Equal(t, 60, completed)
	require.GreaterOrEqual(t, punctual, 30)
	sim.runFor(40 * time.Second)
	completed, _ = sim.inTime("q")
	require.Equal(t, 170, completed)
}
