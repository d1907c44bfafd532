package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainingTargetGetsNoStartWhileOwnerReadsLate guards against tasks that start on a target that drains,
// because the owner decides on entries of targets that it has read long ago.
func TestDrainingTargetGetsNoStartWhileOwnerReadsLate(t *testing.T) {
	for trouble, begin := range map[string]func(*fleetNode){
		"reads fail": func(n *fleetNode) { n.targetsFault.set(true, 0) },
		"reads late": func(n *fleetNode) { n.targetsFault.set(false, 7*time.Second) },
	} {
		t.Run(trouble, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 3)
				defer f.close()
				time.Sleep(4 * time.Second)
				job := f.submitChain(1)
				time.Sleep(time.Second)
				owner := f.ownerOf(job)
				require.NotNil(t, owner)
				begin(owner)
				time.Sleep(500 * time.Millisecond)
				f.drainAll()
				time.Sleep(8 * time.Second)
			})
		})
	}
}
