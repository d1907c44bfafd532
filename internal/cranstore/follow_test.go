package cranstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// slowTopic takes a while to return all pages of the newest records, and reports
// expired records at one read.
type slowTopic struct {
	// loadTime is how long all pages of the newest records take together.
	loadTime time.Duration
	// expiredRead is the number of the read that fails with ErrExpired.
	expiredRead int
	reads       int
}

func (s *slowTopic) Append(context.Context, []Record, AppendOptions) (uint64, error) {
	return 0, nil
}

func (s *slowTopic) Read(ctx context.Context, from uint64, o ReadOptions) (Batch, error) {
	s.reads++
	if s.reads == s.expiredRead {
		return Batch{}, ErrExpired
	}
	cranpause.Sleep(ctx, o.Wait)
	return Batch{Next: from, End: from}, ctx.Err()
}

// Newest returns one record per page.
func (s *slowTopic) Newest(ctx context.Context, after string, _ func(int)) (Page, error) {
	const pages = 5
	cranpause.Sleep(ctx, s.loadTime/pages)
	return Page{Records: []Record{{Key: after + "k", Value: []byte("v"), Offset: 6}}, More: len(after) < pages-1, End: 7}, ctx.Err()
}

func (s *slowTopic) End(_ context.Context, from uint64) (uint64, error) { return from, nil }

// follow runs a follower for the duration d and returns its updates.
func follow(t *testing.T, topic Topic, d time.Duration) []Update {
	var updates []Update
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	start := time.Now()
	f := NewFollower(topic, func() time.Duration { return time.Since(start) }, WithWait(time.Second))
	f.Run(ctx, func(u Update) { updates = append(updates, u) })
	return updates
}

// TestSlowLoadCompletes guards against a time limit on the load as a whole: on a
// slow link a reader would time out, start the load again, and never complete it.
func TestSlowLoadCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		updates := follow(t, &slowTopic{loadTime: 10 * time.Second}, 15*time.Second)
		require.NotEmpty(t, updates)
		require.NoError(t, updates[0].Err)
		require.True(t, updates[0].Reset)
		require.Equal(t, uint64(7), updates[0].Next)
	})
}

// TestExpiredRecordsAreReloaded checks that a reader whose next records have
// expired loads the newest record of each key and continues from there.
func TestExpiredRecordsAreReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resets := 0
		for _, u := range follow(t, &slowTopic{expiredRead: 3}, 10*time.Second) {
			require.NoError(t, u.Err)
			if u.Reset {
				resets++
			}
		}
		require.Equal(t, 2, resets)
	})
}

// TestReadAfterLoadInPagesDoesNotWait guards against a reader that waits for a further record
// before it knows whether it has all of those stored during a load.
func TestReadAfterLoadInPagesDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var loadedAt, readAt time.Duration
		f := NewFollower(&slowTopic{loadTime: time.Second}, func() time.Duration { return time.Since(start) }, WithWait(time.Second), WithPages())
		f.Run(ctx, func(u Update) {
			switch {
			case len(u.Records) > 0:
				loadedAt = time.Since(start)
			case readAt == 0:
				readAt = time.Since(start)
			}
		})
		require.Equal(t, time.Second, loadedAt)
		require.Equal(t, loadedAt, readAt)
	})
}

// hastyTopic answers reads without records after a time, if they wait for longer.
type hastyTopic struct {
	slowTopic
	answersAfter time.Duration
}

func (h *hastyTopic) Read(ctx context.Context, from uint64, o ReadOptions) (Batch, error) {
	o.Wait = min(o.Wait, h.answersAfter)
	return h.slowTopic.Read(ctx, from, o)
}

// TestReadIsNoNewerThanItsAnswer guards against a reader that takes a read for newer than it can
// be, because the store answered before the end of the wait.
func TestReadIsNoNewerThanItsAnswer(t *testing.T) {
	for _, answersAfter := range []time.Duration{100 * time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			updates := follow(t, &hastyTopic{answersAfter: answersAfter}, 5*time.Second)
			require.Greater(t, len(updates), 4)
			for _, u := range updates[2:] {
				require.Equal(t, min(answersAfter, time.Second), u.Waited)
			}
		})
	}
}
