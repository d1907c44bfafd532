package cranclaim

import (
	"fmt"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Outcome states whether a claimed request is known to have run.
type Outcome string

// Outcomes of a claimed request.
const (
	// OutcomeUnknown means that the request may have run, may be running or may
	// never run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the claimer reported that the request ran.
	OutcomeRan Outcome = "ran"
)

// Holder describes the claim that holds a key.
type Holder struct {
	claimer     string
	attempt     uint64
	offset      uint64
	timeMs      int64
	fingerprint uint64
	outcome     Outcome
	uncertain   bool
}

// Claimer returns the incarnation of the process whose claim holds the key.
func (h Holder) Claimer() string { return h.claimer }

// Offset returns the offset of the claim in its stream.
func (h Holder) Offset() uint64 { return h.offset }

// TimeMs returns the platform time of the claim, in milliseconds since the Unix
// epoch.
func (h Holder) TimeMs() int64 { return h.timeMs }

// Outcome returns whether the request is known to have run.
func (h Holder) Outcome() Outcome { return h.outcome }

// Uncertain reports whether this reader can't tell which claim holds the key,
// because older records had expired before it began to read. The other values
// are then those of the first claim that it read.
func (h Holder) Uncertain() bool { return h.uncertain }

// ClaimedError is the error for a key that is held. It wraps a fault of kind
// cranfault.AlreadyClaimed, or cranfault.Conflict if the key was used for a
// different request.
type ClaimedError struct {
	holder Holder
	fault  *cranfault.Fault
}

// Holder returns the claim that holds the key.
func (e *ClaimedError) Holder() Holder { return e.holder }

// Error returns the text of the fault.
func (e *ClaimedError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *ClaimedError) Unwrap() error { return e.fault }

// newClaimedError returns the error for a key that is held by h, on a request
// with the fingerprint.
func newClaimedError(key Key, h Holder, fingerprint uint64) error {
	if !h.uncertain && h.fingerprint != fingerprint {
		return &ClaimedError{holder: h, fault: cranfault.New(cranfault.Conflict,
			"use a different key for each request",
			"key %s was used for a different request", key)}
	}
	return &ClaimedError{holder: h, fault: cranfault.New(cranfault.AlreadyClaimed,
		remedyFor(h.outcome), "key %s is claimed by %s (outcome %s)", key, h.claimer, h.outcome)}
}

// remedyFor returns the advice to a caller whose key is held.
func remedyFor(outcome Outcome) string {
	if outcome == OutcomeRan {
		return "don't send the request again; it ran"
	}
	return "check whether the request took effect before sending it under another key"
}

// String formats the holder for messages.
func (h Holder) String() string {
	return fmt.Sprintf("%s/%d at offset %d, outcome %s, uncertain %t",
		h.claimer, h.attempt, h.offset, h.outcome, h.uncertain)
}
