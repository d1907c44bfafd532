package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestSlowOwnerKeepsItsTargets guards against an owner that takes sound targets for silent, since it gets to
// read their responses too late: it took over a backlog that it starts at once. The work on these targets is
// lost then, again and again, and done tasks start again (LOST, TWICE).
func TestSlowOwnerKeepsItsTargets(t *testing.T) {
	const jobs, targets = 120, 40
	for _, handlingTime := range []time.Duration{time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond, 6 * time.Millisecond} {
		t.Run(handlingTime.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, targets)
			sim.failureRate, sim.longPolls = 0, true
			for i := range jobs {
				j := newBatchJob(fmt.Sprintf("j%d", i), 6)
				for k := range j.Steps {
					j.Steps[k].Demand = cranjob.Resources{CPU: 250, Memory: 500}
				}
				sim.submit(j)
			}
			sim.handlingTime = handlingTime
			sim.takeOver(sim.now - time.Hour)
			sim.runFor(60 * time.Second)
			for id, state := range sim.states() {
				require.Equal(t, cranjob.Completed, state, id)
			}
			require.Zero(t, sim.logged[LogLeaseExpired])
			require.LessOrEqual(t, sim.logged[LogStartUnanswered], maxStartsUnderWay)
			require.Less(t, sim.logged[LogTargetUnresponsive], targets/2)
		})
	}
}

// TestStartsUnderWayAreBounded guards against a backlog that is started at once, when the store is back or a
// shard is taken over.
func TestStartsUnderWayAreBounded(t *testing.T) {
	sim := newSimulation(t, 1, 40)
	for i := range 60 {
		j := newBatchJob(fmt.Sprintf("j%d", i), 10)
		j.Steps[0].Demand = cranjob.Resources{CPU: 100, Memory: 100}
		sim.submit(j)
	}
	sim.takeOver(sim.now - time.Hour)
	most := 0
	for range 1000 {
		sim.runFor(time.Millisecond)
		most = max(most, sim.owner.startsPaced.planned+len(sim.owner.startsPaced.sentAt))
	}
	require.Equal(t, maxStartsUnderWay, most)
	require.Greater(t, len(sim.starts), 2*maxStartsUnderWay)
}

// TestUnansweredStartsHoldUpNoOthers guards against targets that leave orders unanswered and so keep the
// others from getting any.
func TestUnansweredStartsHoldUpNoOthers(t *testing.T) {
	sim := newSimulation(t, 1, 40)
	sim.noResponseRate, sim.failureRate = 0.8, 0
	for i := range 60 {
		j := newBatchJob(fmt.Sprintf("j%d", i), 10)
		j.Steps[0].Demand = cranjob.Resources{CPU: 100, Memory: 100}
		sim.submit(j)
	}
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(12 * time.Second)
	require.Greater(t, len(sim.starts), 600)
}
