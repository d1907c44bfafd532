package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// endOf returns when a job has ended, in Unix milliseconds, as its owner has stored it.
func (f *stallFleet) endOf(owner *fleetNode, id string) int64 {
	endedMs := int64(0)
	owner.node.postAndWait(f.t.Context(), func() {
		e, found := owner.node.shards[stalledShard].owner.replica.Lookup(id)
		require.True(f.t, found)
		endedMs = e.Progress().EndedMs
	})
	return endedMs
}

// TestCallersLearnOfEndsWithinDeliveryTime guards against objectives that leave out how long an end is under way.
func TestCallersLearnOfEndsWithinDeliveryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStallFleet(t, fleetShards+2)
		defer f.close()
		owner, other := f.owner()
		longest := time.Duration(0)
		for range 20 {
			id := f.submit(other)
			for state := cranjob.Queued; state != cranjob.Completed; time.Sleep(5 * time.Millisecond) {
				var err error
				state, _, err = other.node.State(t.Context(), id)
				require.NoError(t, err)
			}
			longest = max(longest, time.Duration(f.targets.clock().UnixMs-f.endOf(owner, id))*time.Millisecond)
			time.Sleep(70 * time.Millisecond)
		}
		require.LessOrEqual(t, longest, other.node.schedulerTiming().DeliveryTime)
	})
}
