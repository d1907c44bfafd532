package cranentry

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranclaim"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// claimShardCount is the number of claim streams; all entries use the same.
const claimShardCount = 1

const (
	// releaseTimeout is how long a request waits until the claim that holds
	// its key is released.
	releaseTimeout = time.Second
	// releasePollInterval is how often a waiting request checks that claim.
	releasePollInterval = 10 * time.Millisecond
)

// claimAdapter lets the traffic proxy claim keys in the claim streams.
type claimAdapter struct{ shards *cranclaim.ShardedClaimer }

// Claim claims a key for one execution of a request. While another claim with
// an unknown outcome holds the key, it waits for up to releaseTimeout. A caller
// whose request was reported as not run may retry before the release of its claim
// has reached the log, and a caller that lost the answer may retry before the
// request has finished.
func (c claimAdapter) Claim(ctx context.Context, key string, fingerprint uint64) (crantraffic.Grant, error) {
	hashed := cranclaim.HashKey(key)
	waitCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for {
		g, err := c.shards.Claim(ctx, hashed, fingerprint)
		if err == nil {
			return claimGrant{shards: c.shards, grant: g}, nil
		}
		if !c.awaitRelease(waitCtx, hashed, err) {
			return nil, claimError(err)
		}
	}
}

// awaitRelease waits until the claim that holds the key is released and
// reports whether it was. It returns false at once if the outcome of that claim
// is known, or if the key belongs to a different request.
func (c claimAdapter) awaitRelease(ctx context.Context, key cranclaim.Key, refusal error) bool {
	var held *cranclaim.ClaimedError
	if !errors.As(refusal, &held) || errors.Is(refusal, cranfault.MatchKind(cranfault.Conflict)) {
		return false
	}
	ticker := time.NewTicker(releasePollInterval)
	defer ticker.Stop()
	for holder, holds := held.Holder(), true; holds; holder, holds = c.shards.Lookup(key) {
		if holder.Outcome() != cranclaim.OutcomeUnknown || holder.Uncertain() {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// keyHeldError is the error for a key that another claim holds. It names the
// member that made that claim.
type keyHeldError struct {
	error
	claimer string
}

// Unwrap returns the underlying error.
func (e keyHeldError) Unwrap() error { return e.error }

// Claimer returns the member that holds the claim. It is empty if the holder
// is uncertain.
func (e keyHeldError) Claimer() string { return e.claimer }

func claimError(err error) error {
	var held *cranclaim.ClaimedError
	if !errors.As(err, &held) {
		return err
	}
	if held.Holder().Uncertain() {
		return keyHeldError{error: err}
	}
	return keyHeldError{error: err, claimer: held.Holder().Claimer()}
}

// claimGrant is a granted claim.
type claimGrant struct {
	shards *cranclaim.ShardedClaimer
	grant  *cranclaim.Grant
}

// Usable reports whether the request may still be sent under the claim.
func (g claimGrant) Usable() bool { return g.grant.Usable(time.Now()) }

// Release releases the claim, so that another entry can claim the key.
func (g claimGrant) Release(context.Context) { g.shards.Release(g.grant) }

// RecordOutcome records that the request was executed. It ignores other outcomes.
func (g claimGrant) RecordOutcome(_ context.Context, requestOutcome crantraffic.Outcome) {
	if requestOutcome == crantraffic.Answered {
		g.shards.ReportRan(g.grant)
	}
}

// Lookup fetches the cached answer for a key from the peer that claimed the key.
func (e *Entry) Lookup(ctx context.Context, key, claimer string) (*crantraffic.Answer, bool) {
	p, ok := e.findPeer(claimer)
	if !ok {
		return nil, false
	}
	a, err := e.client.Answer(ctx, p, key)
	if err != nil || !a.Found {
		return nil, false
	}
	return crantraffic.NewAnswer(a.Status, a.Header, a.Body), true
}
