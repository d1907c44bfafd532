package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
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
	sim.config.Pools["r"] = &Pool{Name: "r"}
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newBatchJob("j", 8))
	sim.runFor(300 * time.Millisecond)
	s := sim.owner
	retired := []string{"mt0", "mt1"}
	s.fleet.budget.left = 8
	s.rebalance([]*poolBalance{{pool: "p", total: 1, punctual: 2, needed: 2}, {pool: "r", punctual: 1, needed: 1}}, map[string]*poolSupply{
		"p": {retired: retired}, "r": {}, "off": {},
	})
	require.Len(t, s.fleet.moves, 1)
	for _, instance := range retired {
		require.False(t, s.orderMove(instance, "p"))
		if m := s.fleet.moves[instance]; m != nil {
			require.Equal(t, "r", m.pool)
		}
	}
}
