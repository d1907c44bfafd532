package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShardOfOwnerCutOffFromTargetsIsTakenOver guards against a shard that stays with an owner which alone reaches no
// target, while the store answers it (LOST).
func TestShardOfOwnerCutOffFromTargetsIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStallFleet(t, 6)
		defer f.close()
		owner, other := f.owner()
		f.targets.mu.Lock()
		f.targets.cutOff = owner.node.incarnation
		f.targets.mu.Unlock()
		require.LessOrEqual(t, f.longestWait(other, 10*time.Second), maxStandstill)
	})
}
