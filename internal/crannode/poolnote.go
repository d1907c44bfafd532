package crannode

import (
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// logPeakExpected logs and counts a peak for which a pool gets instances ahead of its arrivals.
func (n *Node) logPeakExpected(shard string, p cransched.PeakExpected) {
	n.metrics.PeakExpected()
	n.log.Emit(cranevent.PeakExpected, cranevent.Shard(shard), cranevent.Pool(p.Pool), cranevent.Count(p.Instances), cranevent.Remaining(p.Next))
}
