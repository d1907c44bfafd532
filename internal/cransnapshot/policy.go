package cransnapshot

import "time"

// Reason says why a snapshot is due. Its text is a label value of metrics.
type Reason string

// Reasons for writing a snapshot.
const (
	// ReasonNone means that no snapshot is due.
	ReasonNone Reason = "none"
	// ReasonFirst means that records exist, but no snapshot.
	ReasonFirst Reason = "first"
	// ReasonRetention means that the records after the last snapshot will soon
	// expire.
	ReasonRetention Reason = "retention"
	// ReasonRecords means that many records were applied since the last snapshot.
	ReasonRecords Reason = "records"
	// ReasonInterval means that the last snapshot is old and may itself expire.
	ReasonInterval Reason = "interval"
)

// PolicyInput holds the values from which a policy decides whether a snapshot is
// due.
type PolicyInput struct {
	// Oldest is the lowest offset kept in the control stream.
	Oldest uint64
	// Next is the offset after the last record applied.
	Next uint64
	// HasSnapshot reports whether a complete snapshot is known.
	HasSnapshot bool
	// SnapshotOffset is the offset of the last snapshot; it is ignored without one.
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

// Policy decides when a snapshot is due. It is an immutable value.
type Policy struct {
	maxRecords uint64
	interval   time.Duration
	// keptPerMille is the minimum share of the kept records, in thousandths, that
	// must precede the last snapshot once records have begun to expire.
	keptPerMille uint64
}

// PolicyOption configures a policy.
type PolicyOption func(*Policy)

// WithMaxRecords limits the number of records that a starting process has to apply
// after a snapshot.
func WithMaxRecords(n uint64) PolicyOption {
	return func(p *Policy) { p.maxRecords = n }
}

// WithInterval limits the age of the last snapshot. It must be well below the time
// for which the log keeps records; otherwise the only snapshot expires while few
// records are written.
func WithInterval(d time.Duration) PolicyOption {
	return func(p *Policy) { p.interval = d }
}

// NewPolicy returns a policy with the given options.
func NewPolicy(options ...PolicyOption) Policy {
	p := Policy{maxRecords: defaultMaxRecords, interval: defaultInterval, keptPerMille: defaultKeptPerMille}
	for _, option := range options {
		option(&p)
	}
	return p
}

// Due returns why a snapshot is due, or ReasonNone if it isn't.
func (p Policy) Due(input PolicyInput) Reason {
	switch {
	case !input.HasSnapshot && input.Next == 0:
		return ReasonNone
	case !input.HasSnapshot:
		return ReasonFirst
	case p.nearExpiry(input):
		return ReasonRetention
	case input.Next >= input.SnapshotOffset+p.maxRecords:
		return ReasonRecords
	case input.SnapshotAge >= p.interval:
		return ReasonInterval
	}
	return ReasonNone
}

// nearExpiry reports whether records have begun to expire and the last snapshot
// is in the older part of the records kept, as set by keptPerMille. It is false when
// the snapshot covers every record applied, since a new one would be the same.
func (p Policy) nearExpiry(input PolicyInput) bool {
	if input.Oldest == 0 || input.Next <= input.SnapshotOffset {
		return false
	}
	if input.SnapshotOffset <= input.Oldest {
		return true
	}
	kept := input.Next - input.Oldest
	return (input.SnapshotOffset-input.Oldest)*perMille < kept*p.keptPerMille
}

// perMille is the number of thousandths in the whole.
const perMille = 1000
