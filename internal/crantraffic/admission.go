package crantraffic

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// admission holds the inputs of the decision whether a request may wait for a
// slot.
type admission struct {
	route    Route
	left     time.Duration   // time until the request's deadline
	inUse    int             // slots of the group that requests of this entry hold
	estimate latencyEstimate // latency estimate of the service
}

// check returns why the request may not wait, or nil if it may. Ahead is the
// number of requests already waiting, and own is how many of them belong to its
// service.
func (a admission) check(own, ahead int) *cranfault.Fault {
	if own >= a.route.maxQueue {
		return cranfault.New(cranfault.QueueFull, "try again later or through another entry",
			"%d requests of service %s are already waiting", own, a.route.service)
	}
	if wait := a.expectedWait(ahead); wait+a.estimate.median > a.left {
		return cranfault.New(cranfault.DeadlineTooShort, "try again later, or with a later deadline",
			"%d requests are already waiting, and this one would wait about %s", ahead, wait.Round(time.Millisecond))
	}
	return nil
}

// expectedWait estimates how long a request waits behind ahead others. It
// assumes that each slot in use is held for the mean latency. It is zero if the
// latency is unknown or no slot is in use.
func (a admission) expectedWait(ahead int) time.Duration {
	if !a.estimate.known || a.inUse <= 0 {
		return 0
	}
	return a.estimate.mean * time.Duration(ahead+1) / time.Duration(a.inUse)
}
