package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestSlowStoreLimitsNoStarts guards against an owner that starts only as many tasks for each append as
// may be under way to targets: while the store takes half a second for an append, targets stay idle beside a
// backlog. What is under way to targets stays bounded all the same, as the responses take processor time.
func TestSlowStoreLimitsNoStarts(t *testing.T) {
	const storeTime, jobs, width = 450 * time.Millisecond, 100, 20
	sim := newSimulation(t, 1, 60)
	sim.storeTime, sim.failureRate = storeTime, 0
	for i := range jobs {
		j := newBatchJob(fmt.Sprintf("j%d", i), width)
		j.Steps[0].Demand = cranjob.Resources{CPU: 100, Memory: 100}
		sim.submit(j)
	}
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(storeTime)
	for range 4000 {
		sim.runFor(time.Millisecond)
		require.LessOrEqual(t, len(sim.owner.startsPaced.sentAt), maxStartsUnderWay)
		require.LessOrEqual(t, sim.owner.StartsUnderWay(), maxStoreFactor*maxStartsUnderWay)
	}
	// With maxStartsUnderWay starts for each append there would be 1,138.
	require.Greater(t, len(sim.starts), 1700)
}
