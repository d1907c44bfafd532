package cranentry

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// renewal is a submitted record that renews a lease once it is accepted.
type renewal struct {
	// sent is the local time just before the record was submitted.
	sent time.Time
	// effects is set for the effects lease, and not for the membership lease.
	effects bool
}

// leaseState tracks the membership lease and the effects lease of this entry.
// Only the control thread uses it.
type leaseState struct {
	joinSubmitted bool
	isMember      bool
	lastHeartbeat time.Time
	// pending maps the sequence number of a record to the renewal it requests.
	pending map[uint64]renewal
	// reportedDrained holds the stops that the last heartbeat reported as drained.
	reportedDrained []uint64
	// effectsRequestedAt is when the effects lease was last requested.
	effectsRequestedAt time.Time
	// effectsLeaseEnd is when the effects lease ends by this entry's clock. It is
	// in the past if this entry doesn't hold the lease.
	effectsLeaseEnd time.Time
}

func newLeaseState() *leaseState { return &leaseState{pending: map[uint64]renewal{}} }

// onTick joins as a member, renews leases and reports changes of readiness.
func (e *Entry) onTick() {
	if e.tailer.Load() == nil {
		return
	}
	if !e.leases.joinSubmitted {
		e.join()
	}
	if !e.leases.isMember {
		return
	}
	e.sendHeartbeat()
	e.requestEffectsLease()
	if t := e.tailer.Load(); t.Position().CaughtUp() && !e.guard.ready.Swap(true) {
		e.reporter.onCaughtUp(e.control.state)
		e.reporter.onReadiness(e.guard.mayServe(), e.control.state.Next())
	}
	if e.reporter.gaugesDue() {
		e.reporter.setGauges(e.control.state)
		e.reporter.onReadiness(e.guard.mayServe(), e.control.state.Next())
		e.reporter.onClaimReadiness(e.claims.Ready())
	}
}

// join submits the record that makes this entry a member.
func (e *Entry) join() {
	sent := time.Now()
	seq := e.submit(cranstate.MemberJoined{
		Instance:   e.instance,
		Address:    e.advertise,
		DataCentre: e.dataCentre,
		LeaseMs:    e.leaseDuration.Milliseconds(),
	})
	if seq == 0 {
		return
	}
	e.leases.joinSubmitted = true
	e.leases.pending[seq] = renewal{sent: sent}
}

// sendHeartbeat submits a heartbeat, which renews the membership lease, when one
// is due, or at once when another stop has drained.
func (e *Entry) sendHeartbeat() {
	drained := e.drainedStops()
	newlyDrained := slices.ContainsFunc(drained, func(id uint64) bool { return !slices.Contains(e.leases.reportedDrained, id) })
	sent := time.Now()
	if !newlyDrained && !e.leases.heartbeatDue(sent, e.heartbeatInterval, e.writer.Backlog().Records()) {
		return
	}
	seq := e.submit(cranstate.Heartbeat{Revision: e.control.state.Revision(), Drained: drained})
	if seq == 0 {
		return
	}
	e.leases.lastHeartbeat = sent
	e.leases.reportedDrained = drained
	e.leases.pending[seq] = renewal{sent: sent}
}

// heartbeatDue reports whether the next heartbeat should be submitted, given the
// number of records of this entry that are in flight. While the log is slow or
// unavailable, at most one heartbeat is in flight. Other records in flight don't
// count, since they don't renew the lease.
func (l *leaseState) heartbeatDue(now time.Time, every time.Duration, inFlight int) bool {
	if now.Sub(l.lastHeartbeat) < every {
		return false
	}
	for _, r := range l.pending {
		if !r.effects && inFlight > 0 {
			return false
		}
	}
	return true
}

// drainedStops returns the stops that wait for this entry to drain although it
// has no request in progress on their instances. No new request can start on such
// an instance: the control thread, which runs this function, has already
// published the view in which the instance is cordoned.
func (e *Entry) drainedStops() []uint64 {
	var list []uint64
	for _, in := range e.control.state.InstancesWithStop() {
		st, ok := in.Stop()
		if !ok || in.Phase() != cranstate.PhaseCordoned || !slices.Contains(st.Waiting(), e.incarnation) {
			continue
		}
		if e.proxy.InFlight(in.ID()) == 0 && e.broker.InProgress(in.ID()) == 0 {
			list = append(list, st.ID())
		}
	}
	return list
}

// requestEffectsLease requests the effects lease if it is free, or renews it if
// this entry holds it.
func (e *Entry) requestEffectsLease() {
	l, held := e.control.state.Lease(effectsShard)
	mine := held && l.Holder() == e.incarnation
	free := !held || l.ExpiryMs() < e.control.state.NowMs()
	if !mine && !free {
		return
	}
	if time.Since(e.leases.effectsRequestedAt) < e.heartbeatInterval || e.guard.stopping.Load() {
		return
	}
	sent := time.Now()
	seq := e.submit(cranstate.LeaseRequested{Shard: effectsShard, DurationMs: e.leaseDuration.Milliseconds()})
	if seq == 0 {
		return
	}
	e.leases.effectsRequestedAt = sent
	e.leases.pending[seq] = renewal{sent: sent, effects: true}
}

// onEffects processes the effects of a record that the reducer has applied.
func (e *Entry) onEffects(entry cranlog.Entry, effects []cranstate.Effect) {
	e.writer.Observe(entry)
	e.reporter.onEffects(e.control.state, entry, effects)
	for _, f := range effects {
		switch f := f.(type) {
		case cranstate.Accepted:
			if f.Writer == e.incarnation {
				e.onAccepted(f)
			}
		case cranstate.Refused:
			if f.Writer == e.incarnation {
				e.onRefused(f)
			}
		case cranstate.MemberChanged:
			e.onMemberChanged(f)
		}
	}
}

// onAccepted completes a proposal of this entry or extends the lease that the
// record renewed.
func (e *Entry) onAccepted(f cranstate.Accepted) {
	e.waiters.resolve(f.Seq, outcome{offset: f.Offset})
	r, ok := e.leases.pending[f.Seq]
	if !ok {
		return
	}
	delete(e.leases.pending, f.Seq)
	end := localLeaseEnd(r.sent, e.leaseDuration)
	if r.effects {
		e.leases.effectsLeaseEnd = end
		return
	}
	e.leases.isMember = true
	e.guard.extend(end)
}

// onRefused fails a proposal of this entry. The entry ends if the reducer no
// longer lists it as a member.
func (e *Entry) onRefused(f cranstate.Refused) {
	e.waiters.resolve(f.Seq, outcome{offset: f.Offset, fault: f.Fault})
	delete(e.leases.pending, f.Seq)
	if f.Fault.Kind() == cranfault.UnknownMember {
		e.fail(f.Fault)
	}
}

// onMemberChanged ends the entry if the reducer wrote it off, which removes it
// from the members.
func (e *Entry) onMemberChanged(f cranstate.MemberChanged) {
	if f.Member != e.incarnation || f.Change != cranstate.MemberWrittenOff {
		return
	}
	e.guard.ready.Store(false)
	e.fail(cranfault.New(cranfault.UnknownMember, "start as a new incarnation", "this entry was removed from the members because its lease expired and was not renewed in time"))
}

// onBatch publishes new views of the state if a batch has changed them.
func (e *Entry) onBatch() {
	if e.control.state.RoutingVersion() != e.publishedVersion {
		e.publish(e.control.state)
	}
}
