package cranentry

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// readiness is what a reporter last said of whether requests are taken. The
// control thread alone uses it.
type readiness struct {
	// ready is set while this entry takes requests.
	ready bool
	// isolatedAt is since when the entry is isolated, zero if it is not.
	isolatedAt time.Time
	// claimsDownAt is since when claims can't be made, zero if they can.
	claimsDownAt time.Time
}

// serving logs a change of the guard's answer: nil, or why no work may start.
func (r *reporter) serving(refusal error, next uint64) {
	switch isolated := cranfault.KindOf(refusal) == cranfault.Isolated; {
	case isolated && r.isolatedAt.IsZero():
		r.isolatedAt = time.Now()
		r.emit(cranevent.Isolated, cranevent.Offset(next))
	case refusal == nil && !r.isolatedAt.IsZero():
		r.emit(cranevent.Reconnected, cranevent.Elapsed(time.Since(r.isolatedAt)), cranevent.Offset(next))
		r.isolatedAt = time.Time{}
	}
	if ready := refusal == nil; ready != r.ready {
		r.turnReady(refusal, next)
	}
}

func (r *reporter) turnReady(refusal error, next uint64) {
	r.ready = refusal == nil
	r.metrics.SetReady(r.ready)
	if r.ready {
		r.emit(cranevent.EntryReady, cranevent.Member(r.self), cranevent.Offset(next))
		return
	}
	r.emit(cranevent.EntryNotReady, cranevent.Member(r.self),
		cranevent.Reason(cranfault.KindOf(refusal)), cranevent.Err(refusal))
}

// claiming logs a change of whether claims can be made.
func (r *reporter) claiming(refusal error) {
	down := refusal != nil
	if down != r.claimsDownAt.IsZero() {
		return
	}
	if down {
		r.claimsDownAt = time.Now()
		r.emit(cranevent.ClaimsNotReady, cranevent.Reason(cranfault.KindOf(refusal)), cranevent.Err(refusal))
		return
	}
	r.emit(cranevent.ClaimsReady, cranevent.Elapsed(time.Since(r.claimsDownAt)))
	r.claimsDownAt = time.Time{}
}
