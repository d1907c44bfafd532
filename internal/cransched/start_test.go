package cransched

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWithheldStartBlocksNoTarget guards against targets that take no tasks for a while, because starts were
// withheld, of which they know nothing.
func TestWithheldStartBlocksNoTarget(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(2 * time.Second)
	s, target := sim.owner, sim.owner.targets["t0"]
	until := sim.now + 100*time.Millisecond
	s.Advance(sim.clock())
	s.SetStartsUntil(until)
	sim.submit(newBatchJob("j", 1))
	s.Tick()
	_, any := s.NextBatch()
	require.True(t, any)
	s.ConfirmBatch()
	effects := s.Effects()
	at := slices.IndexFunc(effects, func(e Effect) bool { _, isStart := e.(StartRun); return isStart })
	require.NotEqual(t, -1, at)
	start := effects[at].(StartRun)
	require.Equal(t, until, start.SendBy)
	sim.now = until + time.Millisecond
	s.Advance(sim.clock())
	s.HandleStartResponse(start, Response{Status: StatusWithheld})
	require.Empty(t, target.runs)
	require.Zero(t, target.noStartsBefore)
	sim.now += taskRefusalPause
	s.Advance(sim.clock())
	s.Tick()
	require.Empty(t, target.runs)
	s.SetStartsUntil(sim.now + time.Second)
	s.Tick()
	require.Len(t, target.runs, 1)
}

// TestStartIsDroppedWhenTargetDrains guards against a start that is sent to a target that drains, because it
// waited for the store when the target's entry was read (DRAIN), and against the rest of a gang (GANG).
func TestStartIsDroppedWhenTargetDrains(t *testing.T) {
	for _, gang := range []bool{false, true} {
		sim := newSimulation(t, 1, 2)
		sim.takeOver(sim.now - time.Hour)
		sim.runFor(90 * time.Millisecond)
		s := sim.owner
		j := newBatchJob("j", 4)
		j.Steps[0].Gang, j.Steps[0].MaxPerTarget = gang, 2
		sim.submit(j)
		s.Tick()
		_, any := s.NextBatch()
		require.True(t, any)
		require.Len(t, s.targets["t0"].runs, 2)
		list := sim.targetList()
		list[0].Draining = true
		s.SetTargets(list)
		s.ConfirmBatch()
		sent := map[string]int{}
		for _, e := range s.Effects() {
			if start, isStart := e.(StartRun); isStart {
				sent[start.Target.ID]++
			}
		}
		require.Zero(t, sent["t0"])
		require.Empty(t, s.targets["t0"].runs)
		if gang {
			require.Empty(t, sent)
			require.Empty(t, s.targets["t1"].runs)
		} else {
			require.Equal(t, 2, sent["t1"])
		}
	}
}
