package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The lag ends after the owner has stored its last decisions and before it could release its claim (LOST).
func TestOwnerThatHasFlushedDoesNotKeepTheShard(t *testing.T) {
	for _, appendTime := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t, 0)
			defer p.close()
			require.True(t, p.isOwner(0))
			n := p.nodes[0]
			intervals := 0
			lag := func() time.Duration {
				if intervals++; intervals > maxLateIntervals {
					return 0
				}
				return 2 * maxLag
			}
			n.postAndWait(t.Context(), func() { n.measureLag = lag })
			time.Sleep((maxLateIntervals - 2) * lagInterval)
			p.stores[0].set(false, appendTime)
			time.Sleep(4 * lagInterval)
			p.stores[0].set(false, 0)
			time.Sleep(5 * time.Second)
			storesNothing := false
			n.postAndWait(t.Context(), func() { storesNothing = n.shards[0].owner != nil && n.shards[0].owner.flushed })
			require.False(t, storesNothing, "appends take %v", appendTime)
			require.True(t, p.isOwner(0) || p.isOwner(1))
		})
	}
}
