package cranstate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplainNamesMembersThatHaveNotReported guards against an explanation that
// claims requests in progress on a cordoned instance: the reducer knows only
// which members have not reported it as drained.
func TestExplainNamesMembersThatHaveNotReported(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("op", StopProposed{Instance: "r1", Kind: StopReboot})
	list := s.state.ExplainInstance("r1")
	require.Len(t, list, 2)
	for i, entry := range []string{"e1-a", "e2-a"} {
		require.Contains(t, list[i].Reason, "entry "+entry)
		require.Contains(t, list[i].Reason, "has not reported that it has no request in progress")
	}
	for range 5 {
		s.nowMs += 1000
		s.heartbeat("e1-a")
	}
	list = s.state.ExplainInstance("r1")
	require.Len(t, list, 1)
	require.Contains(t, list[0].Reason, "entry e2-a")
	require.Contains(t, list[0].Reason, "sends no heartbeats")
}
