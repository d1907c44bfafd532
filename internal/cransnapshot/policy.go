package cransnapshot

import "time"

// Reason says why a snapshot is due. Its text is a label value of the
// counters.
type Reason string

// Reasons for a snapshot.
const (
	// ReasonNone: none is due.
	ReasonNone Reason = "none"
	// ReasonFirst: records exist, and no snapshot.
	ReasonFirst Reason = "first"
	// ReasonRetention: the records after the last snapshot come near to
	// their expiry.
	ReasonRetention Reason = "retention"
	// ReasonRecords: many records were added since the last snapshot.
	ReasonRecords Reason = "records"
	// ReasonInterval: the last snapshot is old, and may expire itself.
	ReasonInterval Reason = "interval"
)

// PolicyInput is what the decision about the next snapshot rests on.
type PolicyInput struct {
	// Oldest is the lowest offset kept in the control stream.
	Oldest uint64
	// Next is the offset after the last record applied.
	Next uint64
	// HasSnapshot tells whether a whole snapshot is known.
	HasSnapshot bool
	// SnapshotOffset is that of the last snapshot; it has no meaning without one.
	SnapshotOffset uint64
	// SnapshotAge is the time since the last snapshot was written.
	SnapshotAge time.Duration
}

// Defaults of the policy.
const (
	defaultMaxRecords   = 10_000
	defaultInterval     = 10 * time.Minute
	defaultKeptPerMille = 500
)

// Policy says when a snapshot is due. It is a pure value.
type Policy struct {
	maxRecords uint64
	interval   time.Duration
	// keptPerMille is the least part of the kept records that has to lie
	// before the last snapshot, once records have expired.
	keptPerMille uint64
}

// PolicyOption sets a bound of a policy.
type PolicyOption func(*Policy)

// WithMaxRecords bounds the records that a newcomer has to apply after a
// snapshot.
func WithMaxRecords(n uint64) PolicyOption {
	return func(p *Policy) { p.maxRecords = n }
}

// WithInterval bounds the age of the last snapshot. It has to be well below
// the time for which the log keeps records, or else the only snapshot expires
// in a quiet time.
func WithInterval(d time.Duration) PolicyOption {
	return func(p *Policy) { p.interval = d }
}

// NewPolicy returns a policy.
func NewPolicy(options ...PolicyOption) Policy {
	p := Policy{maxRecords: defaultMaxRecords, interval: defaultInterval, keptPerMille: defaultKeptPerMille}
	for _, option := range options {
		option(&p)
	}
	return p
}

// Due returns why a snapshot is due, or ReasonNone.
func (p Policy) Due(s PolicyInput) Reason {
	switch {
	case !s.HasSnapshot && s.Next == 0:
		return ReasonNone
	case !s.HasSnapshot:
		return ReasonFirst
	case p.nearExpiry(s):
		return ReasonRetention
	case s.Next >= s.SnapshotOffset+p.maxRecords:
		return ReasonRecords
	case s.SnapshotAge >= p.interval:
		return ReasonInterval
	}
	return ReasonNone
}

// nearExpiry reports whether records have begun to expire and the last
// snapshot has come into the older part of those kept. It is false when the
// snapshot has every record applied, since a new one would change nothing.
func (p Policy) nearExpiry(s PolicyInput) bool {
	if s.Oldest == 0 || s.Next <= s.SnapshotOffset {
		return false
	}
	if s.SnapshotOffset <= s.Oldest {
		return true
	}
	kept := s.Next - s.Oldest
	return (s.SnapshotOffset-s.Oldest)*perMille < kept*p.keptPerMille
}

// perMille is the whole in which parts are given.
const perMille = 1000
