package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShardLeavesProcessTooSmallForIt guards against a shard that stays with a small process, which can't keep up with
// it, after larger ones are back and idle (LOST).
func TestShardLeavesProcessTooSmallForIt(t *testing.T) {
	for _, c := range []struct {
		name  string
		cores float64
		keeps int32
	}{{"small instance", shardCores / 4, 0}, {"many shards", shardCores, 2}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, fleetShards+1)
				defer f.close()
				time.Sleep(3 * time.Second)
				last := f.nodes[fleetShards]
				last.kill()
				last.cores = c.cores
				f.start(last)
				others := f.nodes[:fleetShards]
				for _, n := range others {
					n.kill()
				}
				time.Sleep(6 * time.Second)
				require.EqualValues(t, fleetShards, last.node.owned.Load())
				for _, n := range others {
					f.start(n)
				}
				// A disruption counts until 4 s after its end.
				time.Sleep(4*time.Second + maxStandstill)
				require.Equal(t, allOwned, f.owners())
				for _, n := range others {
					require.LessOrEqual(t, n.node.owned.Load(), int32(1), n.name)
				}
				require.LessOrEqual(t, last.node.owned.Load(), c.keeps)
				epochs := func() (list [fleetShards]uint64) {
					last.node.postAndWait(t.Context(), func() {
						for _, s := range last.node.shards {
							list[s.number] = s.claim().Epoch
						}
					})
					return list
				}
				before := epochs()
				time.Sleep(20 * time.Second)
				require.Equal(t, before, epochs())
			})
		})
	}
}
