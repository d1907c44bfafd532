package cransched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRepeatedMaintenanceKeepsNewTarget guards against a target that counts as gone because the
// platform accepts a repeated order for the maintenance after which it came up.
func TestRepeatedMaintenanceKeepsNewTarget(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.failureRate, sim.maxDown = 0, 1
	delete(sim.config.Pools, "off")
	sim.wave = []WaveOrder{{Wave: 1, Instances: []string{"mt0"}, Duration: 30 * time.Second, SeenAt: sim.now, MaxParallel: 1}}
	sim.takeOver(sim.now - time.Hour)
	for sim.orderStoredAt["mt0"] == 0 {
		sim.runFor(time.Millisecond)
	}
	sim.owner, sim.ownerID = nil, sim.ownerID+1
	sim.runFor(8 * time.Second)
	sim.instanceList()
	sim.takeOver(sim.now - 5*time.Second)
	sim.runFor(10 * time.Second)
	require.Equal(t, 1, sim.maintenances["mt0"])
	host := sim.targets[sim.instances["mt0"].target]
	require.NotNil(t, host)
	known := sim.owner.targets[host.info.ID]
	require.NotNil(t, known)
	require.False(t, known.ended, "the target that came up after the maintenance counts as gone")
	sim.submit(newLongRunningJob("lasting", 24))
	sim.runFor(10 * time.Second)
	require.NotEmpty(t, host.runs)
}
