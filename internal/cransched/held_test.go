package cransched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldTime is the longest time for which something may stay held once all troubles have ended: a move
// may take moveTimeout and a round of planning more.
const heldTime = moveTimeout + 2*time.Second

// requireNothingHeld checks that, without new work, no target stays cordoned or reserved, and that no move
// or evacuation stays in progress.
func (sim *simulation) requireNothingHeld() {
	sim.runFor(heldTime)
	s := sim.owner
	for _, t := range s.sorted {
		if t.ended || !t.listed {
			continue
		}
		require.False(sim.t, t.cordoned, "%v: %s is cordoned", sim.now, t.info.ID)
		require.False(sim.t, t.reserved, "%v: %s is reserved", sim.now, t.info.ID)
		require.False(sim.t, t.mayHaveRestarted(), "%v: %s awaits a report", sim.now, t.info.ID)
	}
	require.Empty(sim.t, s.fleet.moves)
	require.Empty(sim.t, s.fleet.vacating)
	require.Empty(sim.t, s.verdicts)
}

// TestOutageOfPlatformHoldsNoTarget guards against targets that take no tasks any more because the move of
// their instance was not answered in time (LOST).
func TestOutageOfPlatformHoldsNoTarget(t *testing.T) {
	for _, outage := range []time.Duration{2 * time.Second, 9 * time.Second, 10 * time.Second, 15 * time.Second, 25 * time.Second} {
		for _, takesOver := range []bool{false, true} {
			t.Run(fmt.Sprint(outage, takesOver), func(t *testing.T) {
				sim := newSimulation(t, 1, 8)
				sim.failureRate = 0
				sim.takeOver(sim.now - time.Hour)
				sim.runBackground(4 * time.Second)
				for limit := sim.now + 10*time.Second; len(sim.owner.fleet.moves) == 0 && sim.now < limit; sim.runFor(5 * time.Millisecond) {
				}
				require.NotEmpty(t, sim.owner.fleet.moves)
				sim.platformDown = true
				sim.runFor(outage / 2)
				if takesOver {
					sim.takeOver(sim.now + OwnershipTimeout)
				}
				sim.runFor(outage / 2)
				sim.platformDown = false
				sim.runFor(3 * time.Second)
				j := newLongRunningJob("lasting", 4)
				j.Steps[0].Demand.CPU = 3000
				sim.submit(j)
				sim.runFor(9 * time.Second)
				require.Equal(t, 4, sim.countRunning("lasting"))
				sim.requireNothingHeld()
			})
		}
	}
}

// TestCordonEndsWithProcess guards against a target that takes no tasks any more, since its former process was
// cordoned for a move or for maintenance that is over (LOST).
func TestCordonEndsWithProcess(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 7))
	sim.runFor(3 * time.Second)
	sim.owner.targets["t0"].cordoned = true
	sim.restart("t0")
	sim.runFor(2 * time.Second)
	sim.requireNothingHeld()
}

// TestVacatingEndsWhileTargetIsUnlisted guards against a target that takes no tasks any more, since it was
// missing from the store's list for a while when it was to be emptied for another pool (LOST).
func TestVacatingEndsWhileTargetIsUnlisted(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 7))
	sim.runFor(3 * time.Second)
	tgt := sim.owner.targets["t0"]
	tgt.cordoned, tgt.listed = true, false
	sim.owner.fleet.vacating["p"], sim.owner.starved["p"] = tgt, true
	sim.owner.continueVacating("p")
	sim.runFor(2 * time.Second)
	sim.requireNothingHeld()
}

// TestLostMoveOfMissedInstanceHoldsNoTarget guards against a target that takes no tasks any more, since the order to
// move its instance was lost and a list has missed the instance then (LOST).
func TestLostMoveOfMissedInstanceHoldsNoTarget(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	delete(sim.config.Pools, "off")
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(2 * time.Second)
	sim.dropMoves = true
	require.True(t, sim.owner.orderMove("mt0", "off"))
	sim.runFor(100 * time.Millisecond)
	sim.platformDown = true
	sim.owner.SetInstances(sim.instanceList()[1:], sim.now)
	sim.runFor(3 * time.Second)
	sim.platformDown = false
	sim.requireNothingHeld()
}
