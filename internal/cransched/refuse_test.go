package cransched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTargetThatRefusesConnectionsGetsNoStarts guards against starts that are sent to a crashed target
// again and again until it counts as unresponsive.
func TestTargetThatRefusesConnectionsGetsNoStarts(t *testing.T) {
	sim := newCrashSimulation(t, 1)
	refused := sim.logged[LogStartRefused]
	for _, tgt := range sim.targets {
		if len(tgt.runs) > 0 {
			sim.crash(tgt.info.ID)
			break
		}
	}
	sim.runBackground(2 * time.Second)
	require.LessOrEqual(t, sim.logged[LogStartRefused]-refused, 4)
}
