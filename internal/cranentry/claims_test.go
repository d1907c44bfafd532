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

// pair is two claimers on one log.
func pair(t *testing.T) (first, second claims) {
	log := cranstandin.NewLog()
	open := func(name string) claims {
		s, err := cranclaim.NewShards(log, 1, name)
		require.NoError(t, err)
		return claims{shards: s}
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

// TestRetryWaitsForTheRelease retries through another entry before the first
// one's release has reached the log.
func TestRetryWaitsForTheRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := pair(t)
		ctx := context.Background()
		g, err := first.Claim(ctx, "order", 1)
		require.NoError(t, err)
		time.AfterFunc(heldWait/2, func() { g.Release(ctx) })
		again, err := second.Claim(ctx, "order", 1)
		require.NoError(t, err)
		require.True(t, again.Usable())
	})
}

// TestRetryLearnsThatTheRequestRan ends the wait with the report of the run,
// and names who keeps the answer.
func TestRetryLearnsThatTheRequestRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := pair(t)
		ctx := context.Background()
		g, err := first.Claim(ctx, "order", 1)
		require.NoError(t, err)
		time.AfterFunc(heldWait/2, func() { g.RecordOutcome(ctx, crantraffic.Answered) })
		began := time.Now()
		_, err = second.Claim(ctx, "order", 1)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.AlreadyClaimed))
		require.Less(t, time.Since(began), heldWait)
		var by crantraffic.Claimer
		require.ErrorAs(t, err, &by)
		require.Equal(t, "first", by.Claimer())
	})
}

// TestRetryGivesUpOnAHeldKey refuses when nothing is heard of the claimer.
func TestRetryGivesUpOnAHeldKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := pair(t)
		_, err := first.Claim(context.Background(), "order", 1)
		require.NoError(t, err)
		began := time.Now()
		_, err = second.Claim(context.Background(), "order", 1)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.AlreadyClaimed))
		require.GreaterOrEqual(t, time.Since(began), heldWait)
		_, err = second.Claim(context.Background(), "order", 2)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Conflict), "the key belongs to another request")
	})
}
