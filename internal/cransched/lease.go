package cransched

import (
	"maps"
	"slices"
	"time"
)

// SilentTarget is a target to which its owner grants no lease.
type SilentTarget struct {
	ID string
	// EndsIn is how long all leases that were granted to the target may last at most.
	EndsIn time.Duration
}

// suspensions are the targets to which no lease is granted. The owner publishes them, so that a
// successor knows when the runs on a silent target have ended: without that it would have to
// wait for the longest lease that could have been granted until the owner was lost. A
// suspension ends only once its end is stored.
type suspensions struct {
	// wanted holds the targets that don't respond, and published those in the newest record
	// that is stored. inFlight holds those in the record that is being stored; nil if none is.
	wanted, published, inFlight map[string]bool
}

func newSuspensions(wanted map[string]time.Duration) suspensions {
	p := suspensions{wanted: map[string]bool{}, published: map[string]bool{}}
	for id := range wanted {
		p.wanted[id] = true
	}
	return p
}

// active reports whether no lease may be granted to a target.
func (p *suspensions) active(id string) bool {
	return p.wanted[id] || p.published[id] || p.inFlight[id]
}

// changed reports whether a record is to be stored.
func (p *suspensions) changed() bool { return p.inFlight == nil && !maps.Equal(p.wanted, p.published) }

// SilentTargetsChanged reports whether the silent targets have changed since they were last
// published.
func (s *Scheduler) SilentTargetsChanged() bool { return s.suspensions.changed() }

// NextSilentTargets returns the silent targets, which the caller publishes before it calls
// [Scheduler.ConfirmSilentTargets]. Targets that are gone are dropped, since nothing runs there.
func (s *Scheduler) NextSilentTargets() []SilentTarget {
	p := &s.suspensions
	maps.DeleteFunc(p.wanted, func(id string, _ bool) bool { return s.targets[id] == nil })
	p.inFlight = maps.Clone(p.wanted)
	list := make([]SilentTarget, 0, len(p.wanted))
	for _, id := range slices.Sorted(maps.Keys(p.wanted)) {
		list = append(list, SilentTarget{ID: id, EndsIn: s.leasesEndIn(id)})
	}
	return list
}

// ConfirmSilentTargets records that the list is stored.
func (s *Scheduler) ConfirmSilentTargets() {
	p := &s.suspensions
	p.published, p.inFlight = p.inFlight, nil
}

// leasesEndIn returns how long the leases of a target may last at most.
func (s *Scheduler) leasesEndIn(id string) time.Duration {
	t := s.targets[id]
	endsIn := t.earlierLeasesEndAt - s.clock.Steady
	if t.clockAt != 0 {
		left := time.Duration(t.leaseEndMs-t.minClockMs(s.clock.Steady))*time.Millisecond + leaseExpiryMargin
		endsIn = max(endsIn, time.Duration(float64(left)/(1-maxClockDrift))+time.Millisecond)
	}
	return max(endsIn, 0)
}

// suspendIfSilent suspends the leases of a target that has runs and doesn't respond.
func (s *Scheduler) suspendIfSilent(t *target) {
	if len(t.runs) > 0 && s.clock.Steady-max(t.lastResponseAt, t.addedAt) > responseTimeout {
		s.suspensions.wanted[t.info.ID] = true
	}
}

// leaseBound returns how long a lease of a duration on a target's clock lasts at most on the clock of
// this process, until the target has killed its runs.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-maxClockDrift)) + leaseExpiryMargin
}

// restartedLeaseBound returns how long a lease lasts at most that an order grants which has been sent
// already. If the target restarts before the order arrives, the deadline is far ahead on the clock of
// its new process, and the lease is cut to the longest one.
func (s *Scheduler) restartedLeaseBound() time.Duration {
	return deliveryTimeout + leaseBound(s.timing.MaxLease)
}

// earlierLeaseEnd returns the time by which all leases that earlier owners have granted to a
// target have expired.
func (s *Scheduler) earlierLeaseEnd(id string) time.Duration {
	stopped := s.predecessor.StoppedBy
	if known, silent := s.predecessor.LeasesEndAt[id]; silent {
		return min(known, stopped+s.restartedLeaseBound())
	}
	return stopped + leaseBound(s.leaseDuration())
}

// mayGrantLease reports whether a lease may be granted to a target: its leases are not suspended,
// and nothing tells of a restart, after which the target's clock begins anew.
func (s *Scheduler) mayGrantLease(t *target) bool {
	return !s.suspensions.active(t.info.ID) && !t.mayHaveRestarted()
}

// grantLease returns the deadline, on the target's clock, of a lease that begins now. It
// returns 0 if the target's clock isn't known yet, or if no lease may be granted.
func (s *Scheduler) grantLease(t *target) int64 {
	if t.clockAt == 0 || !s.mayGrantLease(t) {
		return 0
	}
	deadline := t.minClockMs(s.clock.Steady) + s.leaseDuration().Milliseconds()
	t.leaseEndMs = max(t.leaseEndMs, deadline)
	return deadline
}
