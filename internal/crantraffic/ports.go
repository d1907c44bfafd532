package crantraffic

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Slot is the right to run one request at one instance.
type Slot interface {
	// Instance returns the id of the instance to which the slot belongs.
	Instance() string
}

// SlotBroker allocates the slots that this entry holds. Its methods are called
// by many goroutines at once.
type SlotBroker[S Slot] interface {
	// TryAcquire returns a free slot of an instance in the group for which
	// avoid returns false. It never blocks.
	TryAcquire(group string, avoid func(instance string) bool) (S, bool)
	// Release returns a slot after the target has ended the request.
	Release(slot S)
	// SetWaiting reports how many requests wait for a slot of the group.
	SetWaiting(group string, n int)
}

// Claims records in the platform's log which request keys are claimed. A
// non-idempotent request runs only under a claim for its key.
type Claims interface {
	// Claim blocks until the claim is accepted or refused, or the context ends.
	// The fingerprint distinguishes requests with the same key. An error of
	// kind AlreadyClaimed means that the request may have run; it may implement
	// Claimer. An error of any other kind means that the request has not run
	// and that no claim of this call will be used.
	Claim(ctx context.Context, key string, fingerprint uint64) (Grant, error)
}

// Grant is an accepted claim. It is the right to run the request with one key
// once.
type Grant interface {
	// Usable reports whether a send under the grant may still begin.
	Usable() bool
	// Release gives up the claim. It is called only if the request was not sent
	// and will not be sent.
	Release(ctx context.Context)
	// RecordOutcome records how the request ended.
	RecordOutcome(ctx context.Context, outcome Outcome)
}

// Claimer is implemented by errors of kind AlreadyClaimed that know which entry
// holds the claim.
type Claimer interface {
	// Claimer returns the id of the entry that holds the claim.
	Claimer() string
}

// PeerAnswers asks other entries for answers that they have cached.
type PeerAnswers interface {
	// Lookup asks the entry that claimed the key for its cached answer. The
	// claimer is empty if it is unknown.
	Lookup(ctx context.Context, key, claimer string) (*Answer, bool)
}

// Counters counts refusals, retries and outcomes. The service is empty if the
// request names no known service.
type Counters interface {
	// Refused counts a refusal by the proxy or by a target.
	Refused(service string, kind cranfault.Kind)
	// Retried counts each send of a request after the first.
	Retried(service string, reason RetryReason)
	// Outcome counts the outcome reported to a caller. The reason is empty for
	// an answered request.
	Outcome(service string, outcome Outcome, reason cranfault.Kind)
}

// RetryReason says why a request was sent again.
type RetryReason string

// Reasons for a retry.
const (
	RetryNotSent      RetryReason = "notSent"      // nothing was written to the target
	RetryRefused      RetryReason = "refused"      // the target had no free slot or connection
	RetrySilent       RetryReason = "silent"       // the target did not answer in the expected time
	RetryLost         RetryReason = "lost"         // the connection was lost after the request was sent
	RetryBrokenAnswer RetryReason = "brokenAnswer" // the answer was cut short or for another request
	RetryTargetFailed RetryReason = "targetFailed" // the target answered with status 500, 502 or 503
)

// noCounters discards all counts.
type noCounters struct{}

func (noCounters) Refused(string, cranfault.Kind)          {}
func (noCounters) Retried(string, RetryReason)             {}
func (noCounters) Outcome(string, Outcome, cranfault.Kind) {}

// noPeers finds no answers.
type noPeers struct{}

func (noPeers) Lookup(context.Context, string, string) (*Answer, bool) { return nil, false }
