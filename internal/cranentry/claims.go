package cranentry

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranclaim"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// claimShards is the number of claim streams; all entries use the same.
const claimShards = 1

const (
	// heldWait is how long a request waits for the release of its key.
	heldWait = time.Second
	// heldPoll is how often it looks.
	heldPoll = 10 * time.Millisecond
)

// claims makes the claim keepers serve the traffic threads.
type claims struct{ shards *cranclaim.Shards }

// Claim claims a key for one run of a request. While another claim holds the
// key with an unknown outcome it waits a little: a caller who was told notRun
// retries before the release has reached the log, and one who lost the answer
// retries before the run has ended.
func (c claims) Claim(ctx context.Context, key string, fingerprint uint64) (crantraffic.Grant, error) {
	hashed := cranclaim.KeyOf(key)
	patience, cancel := context.WithTimeout(ctx, heldWait)
	defer cancel()
	for {
		g, err := c.shards.Claim(ctx, hashed, fingerprint)
		if err == nil {
			return grant{shards: c.shards, grant: g}, nil
		}
		if !c.awaitRelease(patience, hashed, err) {
			return nil, claimError(err)
		}
	}
}

// awaitRelease waits until the claim that holds the key is released, and
// reports whether it was. It returns at once if the outcome is known.
func (c claims) awaitRelease(ctx context.Context, key cranclaim.Key, refusal error) bool {
	var held *cranclaim.ClaimedError
	if !errors.As(refusal, &held) || errors.Is(refusal, cranfault.MatchKind(cranfault.Conflict)) {
		return false
	}
	ticker := time.NewTicker(heldPoll)
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

// heldError is a refusal that names the holder of the key.
type heldError struct {
	error
	claimer string
}

// Unwrap returns the refusal.
func (e heldError) Unwrap() error { return e.error }

// Claimer returns the member that holds the claim, empty if it is not known
// for sure.
func (e heldError) Claimer() string { return e.claimer }

func claimError(err error) error {
	var held *cranclaim.ClaimedError
	if !errors.As(err, &held) {
		return err
	}
	if held.Holder().Uncertain() {
		return heldError{error: err}
	}
	return heldError{error: err, claimer: held.Holder().Claimer()}
}

// grant is one granted claim.
type grant struct {
	shards *cranclaim.Shards
	grant  *cranclaim.Grant
}

// Usable reports whether a send may still begin.
func (g grant) Usable() bool { return g.grant.Usable(time.Now()) }

// Release gives the claim up.
func (g grant) Release(context.Context) { g.shards.Release(g.grant) }

// RecordOutcome records that the request ran.
func (g grant) RecordOutcome(_ context.Context, verdict crantraffic.Outcome) {
	if verdict == crantraffic.Answered {
		g.shards.Done(g.grant)
	}
}

// Lookup asks the peer that claimed a key for the answer that it keeps.
func (e *Entry) Lookup(ctx context.Context, key, claimer string) (*crantraffic.Answer, bool) {
	p, ok := e.peer(claimer)
	if !ok {
		return nil, false
	}
	a, err := e.client.Answer(ctx, p, key)
	if err != nil || !a.Found {
		return nil, false
	}
	return crantraffic.NewAnswer(a.Status, a.Header, a.Body), true
}
