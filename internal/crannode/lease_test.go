package crannode

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
)

// kill ends the process of an entry instance without a release of its shards.
func (n *fleetNode) kill() {
	n.fault.set(true, 0)
	n.stop()
}

// TestRestartedOwnerAwaitsLeasesOfSilentTargets guards against runs that start again while the
// leases last under which they run on a silent target; the fake targets check each start.
func TestRestartedOwnerAwaitsLeasesOfSilentTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		defer f.close()
		time.Sleep(3 * time.Second)
		job := f.submitLasting(1)
		time.Sleep(2 * time.Second)
		hosts := f.targets.hostsOf(job.ID)
		require.NotEmpty(t, hosts)
		f.targets.setSilent(hosts, true)
		time.Sleep(2500 * time.Millisecond)
		f.nodes[0].kill()
		f.group.Wait()
		f.nodes[0].fault.set(false, 0)
		f.start(f.nodes[0])
		time.Sleep(8 * time.Second)
		restarted := f.targets.hostsOf(job.ID)
		require.NotEmpty(t, restarted)
		for _, id := range restarted {
			require.NotContains(t, hosts, id)
		}
	})
}

// TestLeasesOfPredecessor guards against ends of leases that a process takes from an owner
// other than its predecessor: an owner in between may have granted leases again. A malformed
// figure must not overflow to an end in the past.
func TestLeasesOfPredecessor(t *testing.T) {
	n := New("a", "a-1", memoryTopics(), Directory{}, noInstances{})
	s := n.newShard(0, 0)
	require.Nil(t, s.leasesEndAt(0))
	r := crandigest.Leases{Epoch: 4, Targets: []crandigest.SilentTarget{{ID: "x", EndsInMs: 3000}, {ID: "y", EndsInMs: -5}, {ID: "z", EndsInMs: math.MaxInt64}}}.Record(0)
	_, err := n.digest.Apply(r.Key, r.Value, time.Hour)
	require.NoError(t, err)
	require.Equal(t, map[string]time.Duration{"x": time.Hour + 3*time.Second, "y": time.Hour, "z": time.Hour + maxLeaseEnd}, s.leasesEndAt(4))
	require.Nil(t, s.leasesEndAt(5))
}
