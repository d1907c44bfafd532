package cranentry

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranclaim"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// claimShards is the number of claim streams; all entries use the same.
const claimShards = 1

// claims makes the claim keepers serve the traffic threads.
type claims struct{ shards *cranclaim.Shards }

// Claim claims a key for one run of a request.
func (c claims) Claim(ctx context.Context, key string, fingerprint uint64) (crantraffic.Grant, error) {
	g, err := c.shards.Claim(ctx, cranclaim.KeyOf(key), fingerprint)
	if err != nil {
		return nil, claimError(err)
	}
	return grant{shards: c.shards, grant: g}, nil
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

// Done records that the request ran.
func (g grant) Done(_ context.Context, verdict crantraffic.Verdict) {
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
