package crannode

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// reportInterval is how often an owner logs how far it has got.
const reportInterval = 2 * time.Second

// readAge returns the time since every stored submission was read.
func (o *ownership) readAge() time.Duration { return o.shard.node.now().Steady - o.submissionsReadAt }

// reportProgress logs how far the owner has got, and updates the metrics.
func (o *ownership) reportProgress(now time.Duration) {
	n := o.shard.node
	if now-o.reportedAt < reportInterval {
		return
	}
	o.reportedAt = now
	waiting, underWay := o.scheduler.WaitingTasks(), o.scheduler.StartsUnderWay()
	readAge, appendAge := now-o.submissionsReadAt, o.progress.age(now)
	ready := o.scheduler.ReadyStages()
	n.metrics.OwnerProgressed(o.shard.name, waiting, ready, underWay, readAge, appendAge)
	n.log.Emit(cranevent.OwnerProgress, cranevent.Shard(o.shard.name), cranevent.Epoch(o.epoch), cranevent.Count(o.scheduler.JobCount()),
		cranevent.Waiting(waiting), cranevent.Ready(ready), cranevent.Tick(o.longestTick), cranevent.UnderWay(underWay), cranevent.ReadAge(readAge), cranevent.AppendAge(appendAge))
	o.longestTick = 0
	o.reportEntitlements(now)
}

// logCancellations logs the cancellations in a read of the submissions. Those in a load are old.
func (o *ownership) logCancellations(u cranstore.Update) {
	if u.Reset {
		return
	}
	n := o.shard.node
	for _, r := range u.Records {
		if id, cancellation, ok := cranjob.ParseSubmissionKey(r.Key); ok && cancellation {
			n.log.Emit(cranevent.CancellationRead, cranevent.Job(id), cranevent.Offset(r.Offset),
				cranevent.Elapsed(n.now().Steady-u.Sent), cranevent.ReadAge(o.readAge()))
		}
	}
}
