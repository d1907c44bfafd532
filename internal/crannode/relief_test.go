package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLaggingProcessRelievesNoOwner guards against a shard that passes from a stalled owner to a process that lags.
func TestLaggingProcessRelievesNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStallFleet(t, fleetShards+2)
		defer f.close()
		owner, other := f.owner()
		before := f.epoch(other)
		for _, n := range f.nodes {
			if n != owner {
				n.node.postAndWait(t.Context(), func() { n.node.measureLag = func() time.Duration { return 2 * maxLag } })
			}
		}
		time.Sleep(lagInterval)
		f.submissions[owner][stalledShard].set(true, 0)
		time.Sleep(8 * time.Second)
		require.Equal(t, before, f.epoch(other))
	})
}

// TestSilentProgressMovesNoShard guards against a shard that passes from process to process since none can append to
// its progress.
func TestSilentProgressMovesNoShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStallFleet(t, 3)
		defer f.close()
		_, other := f.owner()
		before := f.epoch(other)
		for _, n := range f.nodes {
			f.progress[n][stalledShard].set(true, 0)
		}
		f.submit(other)
		time.Sleep(20 * time.Second)
		require.Equal(t, before, f.epoch(other))
	})
}

// TestShardOfOwnerThatCannotLoadIsTakenOver guards against a shard that stays with a process that alone can't load it.
func TestShardOfOwnerThatCannotLoadIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStallFleet(t, 3)
		defer f.close()
		owner, _ := f.owner()
		for _, n := range f.nodes {
			f.progress[n][stalledShard].set(true, 0)
		}
		owner.kill()
		time.Sleep(4 * time.Second)
		var loading, other *fleetNode
		for _, n := range f.nodes {
			if n == owner {
				continue
			}
			loads := false
			n.node.postAndWait(t.Context(), func() { loads = n.node.shards[stalledShard].owner != nil })
			if loads {
				loading = n
			} else {
				other = n
			}
		}
		require.NotNil(t, loading)
		require.NotNil(t, other)
		f.progress[other][stalledShard].set(false, 0)
		time.Sleep(loadTimeout + 2*settleTime)
		require.Equal(t, int32(fleetShards), other.node.owned.Load()+loading.node.owned.Load())
	})
}
