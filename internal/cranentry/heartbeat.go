package cranentry

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// renewal is a record that renews a lease once it is accepted.
type renewal struct {
	// sent is the local time before the record was handed to the log.
	sent    time.Time
	effects bool
}

// beats is the entry's side of its leases. The control thread alone uses it.
type beats struct {
	joined bool
	member bool
	last   time.Time
	// pending is keyed by sequence number.
	pending map[uint64]renewal
	// reported holds the stops reported as drained.
	reported []uint64
	// leaseAsked is when the effects lease was last asked for.
	leaseAsked time.Time
	// effectsUntil is when the effects lease ends by this entry's clock.
	effectsUntil time.Time
}

func newBeats() *beats { return &beats{pending: map[uint64]renewal{}} }

// onTick runs the control thread's timers.
func (e *Entry) onTick() {
	if e.tailer.Load() == nil {
		return
	}
	if !e.beats.joined {
		e.join()
	}
	if !e.beats.member {
		return
	}
	e.beat()
	e.seekEffects()
	if t := e.tailer.Load(); t.Position().CaughtUp() && !e.guard.ready.Swap(true) {
		e.report.caughtUp(e.control.state)
		e.report.serving(e.guard.mayServe(), e.control.state.Next())
	}
	if e.report.due() {
		e.report.state(e.control.state)
		e.report.serving(e.guard.mayServe(), e.control.state.Next())
		e.report.claiming(e.claims.Ready())
	}
}

func (e *Entry) join() {
	sent := time.Now()
	seq := e.submit(cranstate.MemberJoined{
		Instance:   e.instance,
		Address:    e.advertise,
		DataCentre: e.dataCentre,
		LeaseMs:    e.lease.Milliseconds(),
	})
	if seq == 0 {
		return
	}
	e.beats.joined = true
	e.beats.pending[seq] = renewal{sent: sent}
}

// beat renews the membership lease when it is due, or at once when an
// instance has drained.
func (e *Entry) beat() {
	drained := e.drained()
	news := slices.ContainsFunc(drained, func(id uint64) bool { return !slices.Contains(e.beats.reported, id) })
	sent := time.Now()
	if !news && !e.beats.due(sent, e.heartbeat, e.writer.Backlog().Records()) {
		return
	}
	seq := e.submit(cranstate.Heartbeat{Revision: e.control.state.Revision(), Drained: drained})
	if seq == 0 {
		return
	}
	e.beats.last = sent
	e.beats.reported = drained
	e.beats.pending[seq] = renewal{sent: sent}
}

// due reports whether the next heartbeat is to be submitted while a number of
// records are in flight. While the log is slow or down one heartbeat waits:
// other records don't renew the lease, however many there are.
func (b *beats) due(now time.Time, every time.Duration, inFlight int) bool {
	if now.Sub(b.last) < every {
		return false
	}
	for _, r := range b.pending {
		if !r.effects && inFlight > 0 {
			return false
		}
	}
	return true
}

// drained returns the stops that wait for this entry although it has no
// request in progress on their instances. The view that closed the instance
// has been published before: both are done by the control thread.
func (e *Entry) drained() []uint64 {
	var list []uint64
	for _, in := range e.control.state.InstancesWithStop() {
		st, ok := in.Stop()
		if !ok || in.Phase() != cranstate.PhaseCordoned || !slices.Contains(st.Waiting(), e.incarnation) {
			continue
		}
		if e.front.InFlight(in.ID()) == 0 && e.broker.InProgress(in.ID()) == 0 {
			list = append(list, st.ID())
		}
	}
	return list
}

// seekEffects asks for the effects lease when it is free, and renews it.
func (e *Entry) seekEffects() {
	l, held := e.control.state.Lease(effectsShard)
	mine := held && l.Holder() == e.incarnation
	free := !held || l.ExpiryMs() < e.control.state.NowMs()
	if !mine && !free {
		return
	}
	if time.Since(e.beats.leaseAsked) < e.heartbeat || e.guard.stopping.Load() {
		return
	}
	sent := time.Now()
	seq := e.submit(cranstate.LeaseRequested{Shard: effectsShard, DurationMs: e.lease.Milliseconds()})
	if seq == 0 {
		return
	}
	e.beats.leaseAsked = sent
	e.beats.pending[seq] = renewal{sent: sent, effects: true}
}

// onEffects notes what the reducer made of a record.
func (e *Entry) onEffects(entry cranlog.Entry, effects []cranstate.Effect) {
	e.writer.Observe(entry)
	e.report.effects(e.control.state, entry, effects)
	for _, f := range effects {
		switch f := f.(type) {
		case cranstate.Accepted:
			if f.Writer == e.incarnation {
				e.accepted(f)
			}
		case cranstate.Refused:
			if f.Writer == e.incarnation {
				e.refused(f)
			}
		case cranstate.MemberChanged:
			e.memberChanged(f)
		}
	}
}

func (e *Entry) accepted(f cranstate.Accepted) {
	e.waiters.settle(f.Seq, outcome{offset: f.Offset})
	r, ok := e.beats.pending[f.Seq]
	if !ok {
		return
	}
	delete(e.beats.pending, f.Seq)
	end := localEnd(r.sent, e.lease)
	if r.effects {
		e.beats.effectsUntil = end
		return
	}
	e.beats.member = true
	e.guard.extend(end)
}

func (e *Entry) refused(f cranstate.Refused) {
	e.waiters.settle(f.Seq, outcome{offset: f.Offset, fault: f.Fault})
	delete(e.beats.pending, f.Seq)
	if f.Fault.Kind() == cranfault.UnknownMember {
		e.end(f.Fault)
	}
}

// memberChanged ends the entry when it was written off.
func (e *Entry) memberChanged(f cranstate.MemberChanged) {
	if f.Member != e.incarnation || f.Change != cranstate.MemberWrittenOff {
		return
	}
	e.guard.ready.Store(false)
	e.end(cranfault.New(cranfault.UnknownMember, "start as a new incarnation", "this entry was written off after it fell silent"))
}

// onBatch publishes views of the state if they have changed.
func (e *Entry) onBatch() {
	if e.control.state.RoutingVersion() != e.published {
		e.publish(e.control.state)
	}
}
