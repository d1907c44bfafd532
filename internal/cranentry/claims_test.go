package cranentry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranclaim"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// newClaimPair returns the claim adapters of two entries that share one log.
func newClaimPair(t *testing.T) (first, second claimAdapter) {
	log := cranstandin.NewLog()
	open := func(name string) claimAdapter {
		s, err := cranclaim.NewShardedClaimer(log, 1, name)
		require.NoError(t, err)
		return claimAdapter{shards: s}
	}
	first, second = open("first"), open("second")
	t.Cleanup(func() {
		require.NoError(t, first.shards.Close())
		require.NoError(t, second.shards.Close())
		require.NoError(t, log.Close())
	})
	time.Sleep(time.Second)
	require.NoError(t, first.shards.Ready())
	require.NoError(t, second.shards.Ready())
	return first, second
}

// TestRetryWaitsForTheRelease retries a request through a second entry before
// the release by the first entry has reached the log.
func TestRetryWaitsForTheRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newClaimPair(t)
		ctx := context.Background()
		g, err := first.Claim(ctx, "order", 1)
		require.NoError(t, err)
		time.AfterFunc(releaseTimeout/2, func() { g.Release(ctx) })
		again, err := second.Claim(ctx, "order", 1)
		require.NoError(t, err)
		require.True(t, again.Usable())
	})
}

// TestRetryLearnsThatTheRequestRan checks that a retry stops waiting when the
// first entry records that the request ran, and that the error names the member
// that caches the answer.
func TestRetryLearnsThatTheRequestRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newClaimPair(t)
		ctx := context.Background()
		g, err := first.Claim(ctx, "order", 1)
		require.NoError(t, err)
		time.AfterFunc(releaseTimeout/2, func() { g.RecordOutcome(ctx, crantraffic.Answered) })
		began := time.Now()
		_, err = second.Claim(ctx, "order", 1)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.AlreadyClaimed))
		require.Less(t, time.Since(began), releaseTimeout)
		var by crantraffic.Claimer
		require.ErrorAs(t, err, &by)
		require.Equal(t, "first", by.Claimer())
	})
}

// TestRetryGivesUpOnAHeldKey checks that a retry fails after the timeout when
// the first entry neither releases its claim nor records an outcome.
func TestRetryGivesUpOnAHeldKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newClaimPair(t)
		_, err := first.Claim(context.Background(), "order", 1)
		require.NoError(t, err)
		began := time.Now()
		_, err = second.Claim(context.Background(), "order", 1)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.AlreadyClaimed))
		require.GreaterOrEqual(t, time.Since(began), releaseTimeout)
		_, err = second.Claim(context.Background(), "order", 2)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Conflict), "the key belongs to a different request")
	})
}
