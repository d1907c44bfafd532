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

// logInstancesYielded logs and counts instances with late work that are emptied for another pool.
func (n *Node) logInstancesYielded(shard string, y cransched.InstancesYielded) {
	n.metrics.InstancesYielded(y.Instances)
	n.log.Emit(cranevent.InstancesYielded, cranevent.Shard(shard), cranevent.Pool(y.From), cranevent.Count(y.Instances), cranevent.Cause(y.To))
}
