package crannode

import (
	"fmt"
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

// TestOwnerThatCannotReadTargetsIsRelieved guards against a shard that stays with an owner which alone can't read the
// targets, and so starts nothing.
func TestOwnerThatCannotReadTargetsIsRelieved(t *testing.T) {
	for _, all := range []bool{false, true} {
		t.Run(fmt.Sprint(all), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStallFleet(t, 0)
				defer f.close()
				lists := map[*fleetNode]*partition{}
				for i := range 3 {
					n := &fleetNode{name: fmt.Sprintf("n%d", i), fault: &fault{}}
					f.nodes = append(f.nodes, n)
					f.start(n)
					lists[n] = &partition{Topic: f.directory.Targets}
					n.node.postAndWait(t.Context(), func() { n.node.directory.Targets = lists[n] })
				}
				time.Sleep(5 * time.Second)
				owner, other := f.owner()
				before := f.epoch(other)
				for n, list := range lists {
					list.set(all || n == owner, 0)
				}
				if !all {
					require.LessOrEqual(t, f.longestWait(other, 8*time.Second), maxStandstill)
				}
				time.Sleep(8 * time.Second)
				successor, _ := f.owner()
				if all {
					require.Equal(t, before, f.epoch(other))
				} else {
					require.NotEqual(t, owner.name, successor.name)
				}
			})
		})
	}
}
