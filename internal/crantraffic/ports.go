package crantraffic

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Slot is the right to run one request at one instance.
type Slot interface {
	// Instance returns the id of the instance whose slot this is.
	Instance() string
}

// SlotBroker hands out the slots that this entry holds. Its methods are called by
// many traffic threads at once.
type SlotBroker[S Slot] interface {
	// TryAcquire returns a free slot of an instance in the group for which
	// avoid is false. It never blocks.
	TryAcquire(group string, avoid func(instance string) bool) (S, bool)
	// Release gives a slot back once the target has ended the request.
	Release(slot S)
	// SetWaiting tells how many requests wait for a slot of the group.
	SetWaiting(group string, n int)
}

// Claims records which request key may run, in the platform's log.
type Claims interface {
	// Claim blocks until the claim is accepted or refused, or the context
	// ends. The fingerprint tells requests with the same key apart. An error
	// of kind AlreadyClaimed says that the request may have run, and may
	// implement Claimer; an error of any other kind says that it hasn't, and
	// that no claim of this call will be used.
	Claim(ctx context.Context, key string, fingerprint uint64) (Grant, error)
}

// Grant is an accepted claim: the right to run one request key once.
type Grant interface {
	// Usable reports whether a send under the grant may still begin.
	Usable() bool
	// Release gives the claim up. It is called only if the request was not
	// and will not be sent.
	Release(ctx context.Context)
	// RecordOutcome records how the request ended.
	RecordOutcome(ctx context.Context, verdict Outcome)
}

// Claimer is implemented by errors of kind AlreadyClaimed that know which
// entry holds the claim.
type Claimer interface {
	// Claimer returns the id of the entry that holds the claim.
	Claimer() string
}

// PeerAnswers asks other entries for answers that they keep.
type PeerAnswers interface {
	// Lookup returns the answer kept for the key by the entry that claimed
	// it. The claimer is empty if it isn't known.
	Lookup(ctx context.Context, key, claimer string) (*Answer, bool)
}

// Counters counts refusals, retries and outcomes. The service is empty if the
// request names none that is known.
type Counters interface {
	// Refused counts a refusal, by the front or by a target.
	Refused(service string, kind cranfault.Kind)
	// Retried counts a second or later send of a request.
	Retried(service string, reason RetryReason)
	// Outcome counts what a caller was told. The reason is empty for an
	// answered request.
	Outcome(service string, verdict Outcome, reason cranfault.Kind)
}

// RetryReason says why a request was sent again.
type RetryReason string

// Reasons of a retry.
const (
	RetryNotSent      RetryReason = "notSent"
	RetryRefused      RetryReason = "refused"
	RetrySilent       RetryReason = "silent"
	RetryLost         RetryReason = "lost"
	RetryBrokenAnswer RetryReason = "brokenAnswer"
	RetryTargetFailed RetryReason = "targetFailed"
)

// noCounters discards every count.
type noCounters struct{}

func (noCounters) Refused(string, cranfault.Kind)          {}
func (noCounters) Retried(string, RetryReason)             {}
func (noCounters) Outcome(string, Outcome, cranfault.Kind) {}

// noPeers knows no answers.
type noPeers struct{}

func (noPeers) Lookup(context.Context, string, string) (*Answer, bool) { return nil, false }
