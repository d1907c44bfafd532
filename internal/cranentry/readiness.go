package cranentry

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// readiness is the readiness that a reporter last reported. Only the control
// thread uses it.
type readiness struct {
	// ready is set while this entry accepts requests.
	ready bool
	// isolatedSince is when the entry became isolated, or zero if it is not.
	isolatedSince time.Time
	// claimsDownSince is when claims became impossible, or zero if they are
	// possible.
	claimsDownSince time.Time
}

// onReadiness reports a change of readiness. The argument refusal is the result
// of guard.mayServe, and next is the next offset to apply.
func (r *reporter) onReadiness(refusal error, next uint64) {
	switch isolated := cranfault.KindOf(refusal) == cranfault.Isolated; {
	case isolated && r.isolatedSince.IsZero():
		r.isolatedSince = time.Now()
		r.emit(cranevent.Isolated, cranevent.Offset(next))
	case refusal == nil && !r.isolatedSince.IsZero():
		r.emit(cranevent.Reconnected, cranevent.Elapsed(time.Since(r.isolatedSince)), cranevent.Offset(next))
		r.isolatedSince = time.Time{}
	}
	if ready := refusal == nil; ready != r.ready {
		r.setReady(refusal, next)
	}
}

// setReady sets the readiness gauge and logs the change.
func (r *reporter) setReady(refusal error, next uint64) {
	r.ready = refusal == nil
	r.metrics.SetReady(r.ready)
	if r.ready {
		r.emit(cranevent.EntryReady, cranevent.Member(r.self), cranevent.Offset(next))
		return
	}
	r.emit(cranevent.EntryNotReady, cranevent.Member(r.self),
		cranevent.Reason(cranfault.KindOf(refusal)), cranevent.Err(refusal))
}

// onClaimReadiness reports when claims become possible or impossible.
func (r *reporter) onClaimReadiness(refusal error) {
	down := refusal != nil
	if down != r.claimsDownSince.IsZero() {
		return
	}
	if down {
		r.claimsDownSince = time.Now()
		r.emit(cranevent.ClaimsNotReady, cranevent.Reason(cranfault.KindOf(refusal)), cranevent.Err(refusal))
		return
	}
	r.emit(cranevent.ClaimsReady, cranevent.Elapsed(time.Since(r.claimsDownSince)))
	r.claimsDownSince = time.Time{}
}
