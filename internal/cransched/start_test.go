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
