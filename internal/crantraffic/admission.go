package crantraffic

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// admission is what decides whether a request may wait for a slot.
type admission struct {
	route    Route
	left     time.Duration // until the request's deadline
	inUse    int           // slots of the group that requests of this entry hold
	estimate estimate      // of the service's times
}

// check returns why the request may not wait behind others, of which own are
// of its service, or nil if it may.
func (a admission) check(own, ahead int) *cranfault.Fault {
	if own >= a.route.maxQueue {
		return cranfault.New(cranfault.QueueFull, "try again later or through another entry",
			"%d requests of service %s wait already", own, a.route.service)
	}
	if wait := a.expectedWait(ahead); wait+a.estimate.median > a.left {
		return cranfault.New(cranfault.DeadlineTooShort, "try again later, or with a later deadline",
			"%d requests wait already, and this one would wait about %s", ahead, wait.Round(time.Millisecond))
	}
	return nil
}

// expectedWait returns how long a request waits behind others for one of the
// slots that are in use, if each is in use for the mean time. It is zero if
// nothing is known.
func (a admission) expectedWait(ahead int) time.Duration {
	if !a.estimate.known || a.inUse <= 0 {
		return 0
	}
	return a.estimate.mean * time.Duration(ahead+1) / time.Duration(a.inUse)
}
