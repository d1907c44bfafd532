package cranstate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplainNamesWhoHasNotReported checks that a cordoned instance claims
// nothing of requests that nobody knows of.
func TestExplainNamesWhoHasNotReported(t *testing.T) {
	s := serving(t)
	s.must("op", StopProposed{Instance: "r1", Kind: StopReboot})
	list := s.state.ExplainInstance("r1")
	require.Len(t, list, 2)
	for i, entry := range []string{"e1-a", "e2-a"} {
		require.Contains(t, list[i].Reason, "entry "+entry)
		require.Contains(t, list[i].Reason, "has not reported that it has no request in progress")
	}
	for range 5 {
		s.nowMs += 1000
		s.beat("e1-a")
	}
	list = s.state.ExplainInstance("r1")
	require.Len(t, list, 1)
	require.Contains(t, list[0].Reason, "entry e2-a")
	require.Contains(t, list[0].Reason, "is silent")
}
