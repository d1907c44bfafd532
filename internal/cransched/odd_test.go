package cransched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRestartWhileHeartbeatIsUnanswered ends a target for the response of another one at its
// address while a heartbeat is unanswered. After its restart it must get heartbeats again.
func TestRestartWhileHeartbeatIsUnanswered(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	s := New(1, simTiming, sim.config, sim.stored, sim.clock(), Predecessor{})
	s.SetTargets(sim.targetList())
	s.Tick()
	heartbeats := func() (sent []Heartbeat) {
		for _, e := range s.Effects() {
			if h, ok := e.(Heartbeat); ok {
				sent = append(sent, h)
			}
		}
		return sent
	}
	first := heartbeats()
	require.Len(t, first, 1)
	s.HandleStopResponse(StopRun{Target: first[0].Target}, Response{Status: StatusOtherTarget})
	s.HandleHeartbeatResponse(first[0].Target, HeartbeatResponse{Response: Response{Status: StatusOtherTarget}})
	sim.restart("t0")
	sim.now += time.Second
	s.Advance(sim.clock())
	s.SetTargets(sim.targetList())
	s.Tick()
	require.Len(t, heartbeats(), 1)
}
