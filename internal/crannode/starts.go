package crannode

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

const (
	// defaultCancelBound is the time within which an acknowledged cancellation must be in effect if the
	// settings don't say.
	defaultCancelBound = 2 * time.Second
	// startMargin is taken off that time for the drift between clocks.
	startMargin = 100 * time.Millisecond
	// minStartTime is the least time that the call of a start has.
	minStartTime = 300 * time.Millisecond
	// cancelReadsPerBound is how many reads of the submissions fit into that time.
	cancelReadsPerBound = 4
)

// WithCancelBound sets the time within which an acknowledged cancellation must be in effect: later no
// task of the job starts. An owner that can't rule out an unknown cancellation of that age starts
// nothing. Zero leaves the default of 2 s.
func WithCancelBound(bound time.Duration) Option {
	return func(n *Node) {
		if bound > 0 {
			n.cancelBound = bound
		}
	}
}

// submissionsReadWait is how long a read of the submissions waits for a record.
func (n *Node) submissionsReadWait() time.Duration {
	return min(replicaReadWait, n.cancelBound/cancelReadsPerBound)
}

// startWatch knows up to when the owner may start tasks, and logs when it begins and ceases to withhold
// starts. Only the control goroutine uses it.
type startWatch struct {
	withheld bool
	// since is when the owner began to withhold starts.
	since time.Duration
}

// boundStarts tells the scheduler up to when tasks may start: a cancellation that isn't known was
// acknowledged after the newest complete read of the submissions was sent, and the call of a start takes
// up to minStartTime longer.
func (o *ownership) boundStarts(now time.Duration) {
	n := o.shard.node
	until := o.submissionsReadAt + n.cancelBound - minStartTime - startMargin
	until = min(until, time.Duration(o.confirmedAt.Load())+cransched.OwnershipTimeout)
	o.scheduler.SetStartsUntil(until)
	w := &o.startWatch
	if withheld := now > until; withheld != w.withheld {
		w.withheld = withheld
		if withheld {
			w.since = now
			n.log.Emit(cranevent.StartsWithheld, cranevent.Shard(o.shard.name), cranevent.Epoch(o.epoch),
				cranevent.ReadAge(now-o.submissionsReadAt), cranevent.Age(now-time.Duration(o.confirmedAt.Load())))
			return
		}
		n.log.Emit(cranevent.StartsResumed, cranevent.Shard(o.shard.name), cranevent.Epoch(o.epoch), cranevent.Elapsed(now-w.since))
	}
}
