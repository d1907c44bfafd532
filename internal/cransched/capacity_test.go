package cransched

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// maxResizeDelay is how long a start may still use the former capacity of a target that has shrunk.
// The users allow three seconds and a heartbeat.
const maxResizeDelay = time.Second

// resize changes the capacity of a target.
func (sim *simulation) resize(tgt *simTarget, capacity cranjob.Resources) {
	tgt.formerCapacity, tgt.formerUntil = tgt.info.Capacity, sim.now+maxResizeDelay
	tgt.info.Capacity = capacity
}

// TestStartsFitOnTargetsThatShrink guards against starts that don't fit on a target whose capacity
// shrinks and grows again while tasks run there. The simulation checks each start.
func TestStartsFitOnTargetsThatShrink(t *testing.T) {
	for seed := range uint64(10) {
		sim := newCrashSimulation(t, seed)
		full := cranjob.Resources{CPU: 4000, Memory: 8000}
		for range 30 {
			sim.runBackground(time.Duration(1+sim.random.IntN(3)) * 250 * time.Millisecond)
			ids := slices.Sorted(maps.Keys(sim.targets))
			tgt := sim.targets[ids[sim.random.IntN(len(ids))]]
			capacity := full
			if sim.random.IntN(2) == 0 {
				capacity.CPU = 1000 * sim.random.IntN(4)
			}
			sim.resize(tgt, capacity)
		}
		for _, tgt := range sim.targets {
			sim.resize(tgt, full)
		}
		sim.runFor(20 * time.Second)
		sim.requireBackgroundCompleted()
		require.Equal(t, 4, sim.countRunning("lasting"))
	}
}

// TestPlannedStartIsDroppedWhenTargetShrinks guards against a start that is sent after its target has
// told that it has less capacity.
func TestPlannedStartIsDroppedWhenTargetShrinks(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	s := sim.owner
	sim.submit(newBatchJob("j", 4))
	s.Advance(sim.clock())
	s.Tick()
	_, any := s.NextBatch()
	require.True(t, any)
	require.Len(t, s.targets["t0"].runs, 4)
	shrunk := sim.targets["t0"].info
	shrunk.Capacity.CPU = 2000
	s.SetTargets([]TargetInfo{shrunk})
	s.ConfirmBatch()
	starts := 0
	for _, e := range s.Effects() {
		if _, is := e.(StartRun); is {
			starts++
		}
	}
	require.Equal(t, 2, starts)
}

// TestUnknownRunOnFullTargetAddsNoRoom guards against a run of unknown size that makes room on a
// target which has shrunk below what runs there.
func TestUnknownRunOnFullTargetAddsNoRoom(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 3))
	sim.runFor(3 * time.Second)
	s, target := sim.owner, sim.owner.targets["t0"]
	require.Len(t, target.runs, 3)
	shrunk := target.info
	shrunk.Capacity.CPU = 1000
	s.SetTargets([]TargetInfo{shrunk})
	used := target.used
	s.addUnknownRun(target, RunReport{Task: cranjob.TaskName{Job: "other"}, Run: 1})
	require.GreaterOrEqual(t, target.used.CPU, used.CPU)
}
