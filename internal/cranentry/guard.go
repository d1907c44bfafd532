package cranentry

import (
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// guard decides whether this entry may start work now. The control thread and
// the peer loop update it, and the goroutines that serve traffic read it.
type guard struct {
	origin time.Time
	// endNanos is when the right to serve ends, in nanoseconds after origin.
	endNanos atomic.Int64
	// ready is set once the entry is a member and has applied the log to its end.
	ready atomic.Bool
	// stopping is set when the entry begins to stop, and never cleared.
	stopping atomic.Bool
}

func newGuard() *guard { return &guard{origin: time.Now()} }

// extend moves the end of the right to serve to a later time. It has no effect
// if until is earlier than the current end.
func (g *guard) extend(until time.Time) {
	n := until.Sub(g.origin).Nanoseconds()
	for {
		old := g.endNanos.Load()
		if n <= old || g.endNanos.CompareAndSwap(old, n) {
			return
		}
	}
}

// mayServe returns nil if work may start, or else the fault that prevents it.
func (g *guard) mayServe() error {
	if g.stopping.Load() {
		return cranfault.New(cranfault.NotReady, "send the request to another entry", "this entry is stopping")
	}
	if !g.ready.Load() {
		return cranfault.New(cranfault.NotReady, "send the request to another entry", "this entry has not caught up with the log")
	}
	if time.Since(g.origin).Nanoseconds() >= g.endNanos.Load() {
		return cranfault.New(cranfault.Isolated, "send the request to another entry", "this entry reaches neither the log nor a majority of its peers")
	}
	return nil
}

// leaseMarginDivisor sets the safety margin: the last lease/leaseMarginDivisor of
// a lease is not used, because clocks run at different speeds.
const leaseMarginDivisor = 10

// localLeaseEnd returns when a lease that was requested at the time sent ends by
// this entry's clock. That is always before it ends by the platform's clock.
func localLeaseEnd(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - lease/leaseMarginDivisor)
}

// peerReport is the status that one peer reported of its contact with the log.
type peerReport struct {
	// askedAt is when this entry sent the status request.
	askedAt time.Time
	// contactFor is how long the peer has read the log without interruption.
	contactFor time.Duration
	// contactAge is how long ago the peer last read the log.
	contactAge time.Duration
}

// contactTimeout returns the time after the last read of the log from which the
// log counts as unreachable. It is well below the lease, so that an entry learns
// of an outage that affects all members before its own lease ends, and well above
// the duration of a long poll.
func contactTimeout(lease time.Duration) time.Duration { return lease / 4 }

// outageLeaseEnd returns until when an entry that can't renew its lease may
// continue to serve because the log is unavailable to all members. It returns the
// zero time if the entry may not continue. The argument members is the number of
// members including this entry, and reports are the reports of its peers. A peer
// that has been in contact with the log for more than half a lease shows that the
// log is available. A peer that regained contact more recently does not, since
// the outage kept every member from renewing its lease.
func outageLeaseEnd(now time.Time, lease time.Duration, members int, reports []peerReport) time.Time {
	answered := 1
	oldest := now
	for _, r := range reports {
		if now.Sub(r.askedAt) > lease/2 {
			continue
		}
		if r.contactAge < contactTimeout(lease) && r.contactFor > lease/2 {
			return time.Time{}
		}
		answered++
		if r.askedAt.Before(oldest) {
			oldest = r.askedAt
		}
	}
	if 2*answered <= members {
		return time.Time{}
	}
	return localLeaseEnd(oldest, lease)
}
