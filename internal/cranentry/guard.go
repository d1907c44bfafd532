package cranentry

import (
	"sync/atomic"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// guard answers whether this entry may start work now. The control thread
// sets it, the traffic threads ask it.
type guard struct {
	origin time.Time
	// until is when the right to serve ends, in nanoseconds after origin.
	until atomic.Int64
	// ready is set once the entry is a member and has applied the log's end.
	ready atomic.Bool
	// stopping is set for good when the entry begins its planned stop.
	stopping atomic.Bool
}

func newGuard() *guard { return &guard{origin: time.Now()} }

// extend moves the end of the right to serve; it never moves it back.
func (g *guard) extend(until time.Time) {
	n := until.Sub(g.origin).Nanoseconds()
	for {
		old := g.until.Load()
		if n <= old || g.until.CompareAndSwap(old, n) {
			return
		}
	}
}

// mayServe returns nil, or the fault that says why no work may start.
func (g *guard) mayServe() error {
	if g.stopping.Load() {
		return cranfault.New(cranfault.NotReady, "send the request to another entry", "this entry is stopping")
	}
	if !g.ready.Load() {
		return cranfault.New(cranfault.NotReady, "send the request to another entry", "this entry has not caught up with the log")
	}
	if time.Since(g.origin).Nanoseconds() >= g.until.Load() {
		return cranfault.New(cranfault.Isolated, "send the request to another entry", "this entry reaches neither the log nor a majority of its peers")
	}
	return nil
}

// leaseMargin is the part of a lease that is left unused, for clocks that run
// at different speeds.
const leaseMargin = 10

// localEnd returns when a lease that was asked for at sent ends by this
// entry's clock: always before it ends by the platform's.
func localEnd(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - lease/leaseMargin)
}

// peerReport is what one peer said of its contact with the log.
type peerReport struct {
	// heard is when the question was sent.
	heard time.Time
	// contactFor is for how long the peer has read the log without a break.
	contactFor time.Duration
	// contactAge is how long ago the peer last read the log.
	contactAge time.Duration
}

// contactBound is the age from which the last read of the log is no contact
// any more. It is well under the lease, so that an entry knows that the log
// is down for everybody before its own lease ends, and well over a long poll.
func contactBound(lease time.Duration) time.Duration { return lease / 4 }

// outageEnd returns until when an entry that cannot renew its lease may go on
// serving because the log is down for everybody. It is the zero time if it
// may not. Members counts all members, this entry included; reports are those
// of its peers. A peer that has long been in contact with the log proves that
// the log is up; one that has just regained it does not, since the outage put
// off every lease.
func outageEnd(now time.Time, lease time.Duration, members int, reports []peerReport) time.Time {
	heard := 1
	oldest := now
	for _, r := range reports {
		if now.Sub(r.heard) > lease/2 {
			continue
		}
		if r.contactAge < contactBound(lease) && r.contactFor > lease/2 {
			return time.Time{}
		}
		heard++
		if r.heard.Before(oldest) {
			oldest = r.heard
		}
	}
	if 2*heard <= members {
		return time.Time{}
	}
	return localEnd(oldest, lease)
}
