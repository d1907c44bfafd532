package crannode

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
)

// TestLeasesOfPredecessor guards against ends of leases that a process takes from an owner
// other than its predecessor: an owner in between may have granted leases again. A malformed
// figure must not overflow to an end in the past.
func TestLeasesOfPredecessor(t *testing.T) {
	n := New("a", "a-1", memoryTopics(), Directory{}, noInstances{})
	s := n.newShard(0, 0)
	require.Nil(t, s.leasesEndAt(0))
	r := crandigest.Leases{Epoch: 4, Targets: []crandigest.SilentTarget{{ID: "x", EndsInMs: 3000}, {ID: "y", EndsInMs: -5}, {ID: "z", EndsInMs: math.MaxInt64}}}.Record(0)
	_, err := n.digest.Apply(r.Key, r.Value)
	require.NoError(t, err)
	s.leasesReadAt = time.Hour
	require.Equal(t, map[string]time.Duration{"x": time.Hour + 3*time.Second, "y": time.Hour, "z": time.Hour + maxLeaseEnd}, s.leasesEndAt(4))
	require.Nil(t, s.leasesEndAt(5))
}
