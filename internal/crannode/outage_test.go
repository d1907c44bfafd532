package crannode

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOutageOfStoreMovesNoShard guards against shards that all pass to other processes once the store is back after
// an outage for all, at once or after a delay of each call.
func TestOutageOfStoreMovesNoShard(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 1250 * time.Millisecond, 2 * time.Second, 2250 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 6 * time.Second, 12 * time.Second} {
		for _, delay := range []time.Duration{0, 1200 * time.Millisecond} {
			t.Run(fmt.Sprint(d, " ", delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, fleetShards+2)
					defer f.close()
					time.Sleep(5 * time.Second)
					require.Equal(t, allOwned, f.owners())
					epochs := func() (e []uint64) {
						for number := range fleetShards {
							e = append(e, f.nodes[0].claimedEpoch(t, number))
						}
						return e
					}
					before := epochs()
					for _, n := range f.nodes {
						n.fault.set(true, delay)
					}
					time.Sleep(d)
					for _, n := range f.nodes {
						n.fault.set(false, 0)
					}
					time.Sleep(8 * time.Second)
					require.Equal(t, before, epochs())
				})
			})
		}
	}
}
