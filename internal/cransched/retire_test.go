package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

// TestSurplusInstancesBecomeEmptyForAnotherPool guards against instances that stay in a pool whose peak is
// over, since each of them always has a task left: jobs of the pool whose turn it is then wait beside
// targets that are nearly idle. No task is stopped for it.
func TestSurplusInstancesBecomeEmptyForAnotherPool(t *testing.T) {
	const targets = 60
	sim := newSimulation(t, 1, targets)
	sim.failureRate = 0
	sim.config.Pools["r"] = &Pool{Name: "r"}
	sim.config.Queues["u"] = &Queue{Name: "u", Pool: "r", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}
	sim.takeOver(sim.now - time.Hour)
	n := 0
	// submit submits jobs of both queues, a number of each per second.
	submit := func(length time.Duration, perSecond map[string]int) {
		const step = 50 * time.Millisecond
		due := map[string]float64{}
		for range int(length / step) {
			for _, queue := range []string{"q", "u"} {
				for due[queue] += step.Seconds() * float64(perSecond[queue]); due[queue] >= 1; due[queue]-- {
					n++
					j := newBatchJob(fmt.Sprintf("%s%d", queue, n), 6)
					j.Queue = queue
					sim.submit(j)
				}
			}
			sim.runFor(step)
		}
	}
	submit(5*time.Second, map[string]int{"q": 42, "u": 1})
	moved := sim.logged[LogMoveOrdered]
	submit(3*time.Second, map[string]int{"q": 12, "u": 42})
	require.GreaterOrEqual(t, sim.logged[LogMoveOrdered]-moved, 10)
	require.Zero(t, sim.logged[LogRunStopped])
	sim.runFor(40 * time.Second)
	for id, state := range sim.states() {
		require.Equal(t, cranjob.Completed, state, id)
	}
}

// TestRetiredInstancesStayInPoolThatLacksThem guards against the move of an instance to the pool that it is in.
// The platform accepts it and does nothing, and the target would count as ended for good: its instance is
// lost for the pool, and in the end jobs stand still.
func TestRetiredInstancesStayInPoolThatLacksThem(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(300 * time.Millisecond)
	for id, i := range sim.owner.fleet.instances {
		require.False(t, i.Target != "" && sim.owner.orderMove(id, i.Pool))
	}
	require.NotEmpty(t, sim.owner.fleet.instances)
	demand := cranpool.Demand{Urgent: cranpool.Load{CPU: 30000, Memory: 1000}}
	capacity := cranpool.Load{CPU: 16000, Memory: 64000}
	_, moves := cranpool.NewPlanner(cranpool.DefaultCosts()).Plan(time.Hour, []cranpool.Pool{
		{Name: "p", Demand: demand, Supply: cranpool.Supply{Members: 3, Retiring: 2, Retired: []string{"a", "b"}, Capacity: capacity}},
		{Name: "r", Demand: demand, Supply: cranpool.Supply{Members: 3, Capacity: capacity}},
	}, cranpool.Limits{Moves: 8, MayMove: func(cranpool.Move) bool { return true }})
	require.Equal(t, []cranpool.Move{{Instance: "b", Pool: "r"}}, moves)
}
