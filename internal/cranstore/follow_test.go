package cranstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

// slowTopic takes a while for all of the newest records and has expired records.
type slowTopic struct {
	newest  time.Duration
	expired int
	reads   int
}

func (s *slowTopic) Append(context.Context, []Record, AppendOptions) (uint64, error) {
	return 0, nil
}

func (s *slowTopic) Read(ctx context.Context, from uint64, wait time.Duration) (Batch, error) {
	s.reads++
	if s.reads == s.expired {
		return Batch{}, ErrExpired
	}
	cranpause.For(ctx, wait)
	return Batch{Next: from, End: from}, ctx.Err()
}

// Newest returns one record a page.
func (s *slowTopic) Newest(ctx context.Context, after string) (Page, error) {
	const pages = 5
	cranpause.For(ctx, s.newest/pages)
	return Page{Records: []Record{{Key: after + "k", Value: []byte("v"), Offset: 6}}, More: len(after) < pages-1, End: 7}, ctx.Err()
}

func (s *slowTopic) End(_ context.Context, from uint64) (uint64, error) { return from, nil }

// follow collects the updates of a while.
func follow(t *testing.T, topic Topic, d time.Duration) []Update {
	var updates []Update
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	start := time.Now()
	f := NewFollower(topic, func() time.Duration { return time.Since(start) }, time.Second, func() time.Duration { return 0 })
	f.Run(ctx, func(u Update) { updates = append(updates, u) })
	return updates
}

// TestLongLoad has a reader for which the newest records take long: it must
// not give up and begin again, or a slow link never gets to the end.
func TestLongLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		updates := follow(t, &slowTopic{newest: 10 * time.Second}, 15*time.Second)
		require.NotEmpty(t, updates)
		require.NoError(t, updates[0].Err)
		require.True(t, updates[0].Reset)
		require.Equal(t, uint64(7), updates[0].Next)
	})
}

// TestExpired has the history dropped under a reader: it loads the newest
// records and goes on.
func TestExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resets := 0
		for _, u := range follow(t, &slowTopic{expired: 3}, 10*time.Second) {
			require.NoError(t, u.Err)
			if u.Reset {
				resets++
			}
		}
		require.Equal(t, 2, resets)
	})
}
