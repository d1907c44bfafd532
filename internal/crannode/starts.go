package crannode

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

const (
	// defaultCancelBound and defaultDrainBound are the times within which an acknowledged cancellation
	// and a stored entry of a target that drains must be in effect if the settings don't say.
	defaultCancelBound = 2 * time.Second
	defaultDrainBound  = 2 * time.Second
	// startMargin is taken off these times for the drift between clocks.
	startMargin = 100 * time.Millisecond
	// minStartTime is the least time that the call of a start has.
	minStartTime = 300 * time.Millisecond
	// startReadsPerBound is how many reads of the submissions, and of the targets, fit into these times.
	startReadsPerBound = 4
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

// WithDrainBound sets the time within which a stored entry of a target that drains must be in effect: later
// no task starts there. Zero leaves the default of 2 s.
func WithDrainBound(bound time.Duration) Option {
	return func(n *Node) {
		if bound > 0 {
			n.drainBound = bound
		}
	}
}

// submissionsReadWait is how long a read of the submissions waits for a record.
func (n *Node) submissionsReadWait() time.Duration {
	return min(replicaReadWait, n.cancelBound/startReadsPerBound)
}

// targetsReadWait is how long a read of the targets waits for a record.
func (n *Node) targetsReadWait() time.Duration { return min(readWait, n.drainBound/startReadsPerBound) }

// startWatch logs when the owner begins and ceases to withhold starts. Only the control goroutine uses it.
type startWatch struct {
	withheld bool
	// since is when the owner began to withhold starts.
	since time.Duration
}

// premise is something that a start relies on, and the time up to which it is known to hold.
type premise struct {
	stream    string
	readAt    time.Duration
	holdsTill time.Duration
}

// boundStarts tells the scheduler up to when tasks may start. A cancellation that isn't known was
// acknowledged after the newest complete read of the submissions was sent, and so it is with a target
// that drains; the call of a start takes up to minStartTime longer. After the ownership, another process
// may start the same tasks.
func (o *ownership) boundStarts(now time.Duration) {
	n := o.shard.node
	targetsReadAt, heldAt := n.control.targets.readAt, o.heldAt()
	first := slices.MinFunc(append(o.configPremise(), []premise{
		{"submissions", o.submissionsReadAt, o.submissionsReadAt + n.cancelBound - minStartTime - startMargin},
		{"targets", targetsReadAt, targetsReadAt + n.drainBound - minStartTime - startMargin},
		{digestStream, heldAt, heldAt + cransched.OwnershipTimeout},
	}...), func(a, b premise) int { return cmp.Compare(a.holdsTill, b.holdsTill) })
	o.scheduler.SetStartsUntil(first.holdsTill)
	w := &o.startWatch
	if withheld := now > first.holdsTill; withheld != w.withheld {
		w.withheld = withheld
		if withheld {
			w.since = now
			n.log.Emit(cranevent.StartsWithheld, cranevent.Shard(o.shard.name), cranevent.Epoch(o.epoch),
				cranevent.Stream(first.stream), cranevent.Age(now-first.readAt))
			return
		}
		n.log.Emit(cranevent.StartsResumed, cranevent.Shard(o.shard.name), cranevent.Epoch(o.epoch), cranevent.Elapsed(now-w.since))
	}
}
