package cranclaim

import (
	"fmt"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Outcome is what is known of a claimed request.
type Outcome string

// Outcomes of a claimed request.
const (
	// OutcomeUnknown: it may have run, may be running, or may never run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan: its claimer reported that it ran.
	OutcomeRan Outcome = "ran"
)

// Holder is what is known of the claim that holds a key.
type Holder struct {
	claimer     string
	attempt     uint64
	offset      uint64
	timeMs      int64
	fingerprint uint64
	outcome     Outcome
	uncertain   bool
}

// Claimer returns the incarnation that holds the key.
func (h Holder) Claimer() string { return h.claimer }

// Offset returns the place of the claim in its stream.
func (h Holder) Offset() uint64 { return h.offset }

// TimeMs returns the platform's clock at the claim, in milliseconds since the
// epoch.
func (h Holder) TimeMs() int64 { return h.timeMs }

// Outcome returns what is known of the request.
func (h Holder) Outcome() Outcome { return h.outcome }

// Uncertain reports whether this reader can't tell which claim holds the key,
// since older records had expired when it began to read. The other values are
// those of the first claim that it saw.
func (h Holder) Uncertain() bool { return h.uncertain }

// ClaimedError is the refusal of a key that is held. It is a fault of kind
// cranfault.AlreadyClaimed, or cranfault.Conflict when the key was used for
// another request.
type ClaimedError struct {
	holder Holder
	fault  *cranfault.Fault
}

// Holder returns what is known of the claim that holds the key.
func (e *ClaimedError) Holder() Holder { return e.holder }

// Error returns the text of the fault.
func (e *ClaimedError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *ClaimedError) Unwrap() error { return e.fault }

func claimedError(key Key, h Holder, fingerprint uint64) error {
	if !h.uncertain && h.fingerprint != fingerprint {
		return &ClaimedError{holder: h, fault: cranfault.New(cranfault.Conflict,
			"send each request under a key of its own",
			"key %s was used for another request", key)}
	}
	return &ClaimedError{holder: h, fault: cranfault.New(cranfault.AlreadyClaimed,
		remedyOf(h.outcome), "key %s is claimed by %s (outcome %s)", key, h.claimer, h.outcome)}
}

func remedyOf(outcome Outcome) string {
	if outcome == OutcomeRan {
		return "don't send it again; it ran"
	}
	return "look up whether it took effect before sending it under another key"
}

// String describes the holder.
func (h Holder) String() string {
	return fmt.Sprintf("%s/%d at offset %d, outcome %s, uncertain %t",
		h.claimer, h.attempt, h.offset, h.outcome, h.uncertain)
}
