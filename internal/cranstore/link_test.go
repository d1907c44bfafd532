package cranstore_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// slowLinkRate is the rate of the slowest supported link, 10 Mbit/s, in bytes per second.
const slowLinkRate = 10_000_000 / 8

// followLink follows a topic over a link until the test ends, and passes the updates to
// deliver.
func followLink(t *testing.T, topic cranstore.Topic, deliver func(cranstore.Update), options ...cranstore.FollowerOption) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	start := time.Now()
	f := cranstore.NewFollower(topic, func() time.Duration { return time.Since(start) }, append(options, cranstore.WithWait(500*time.Millisecond))...)
	go func() {
		defer close(done)
		f.Run(ctx, deliver)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestBacklogLargerThanTimeoutIsRead guards against reads that repeat without progress
// because the records stored during an outage take longer than one read may last.
func TestBacklogLargerThanTimeoutIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, records, size = 4, 1000, 1000
		link := cranmemory.NewLink(slowLinkRate)
		var topics [count]*cranmemory.Topic
		var next, end [count]uint64
		for i := range topics {
			topics[i] = cranmemory.New()
			topics[i].Put("k", []byte{1})
			followLink(t, link.Connect(topics[i]), func(u cranstore.Update) {
				if u.Err == nil {
					next[i] = u.Next
				}
			})
		}
		time.Sleep(2 * time.Second)
		link.SetCut(true)
		for i := range topics {
			for r := range records {
				topics[i].Put(fmt.Sprintf("k%d", r), make([]byte, size))
			}
			end[i] = records + 1
		}
		time.Sleep(3 * time.Second)
		link.SetCut(false)
		before := link.Received()
		// The four backlogs take 3.2 s at the rate of the link. A deployment of this size
		// allows 6 s to catch up.
		time.Sleep(6 * time.Second)
		synctest.Wait()
		require.Equal(t, end, next)
		require.Less(t, link.Received()-before, count*records*size*3/2)
	})
}

// TestReplacedRecordsAreSkipped checks that a follower of the newest records delivers each
// key at most once for each read, ends with the newest record of every key, and receives
// far less than all records.
func TestReplacedRecordsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const versions, size = 50, 100_000
		link := cranmemory.NewLink(slowLinkRate)
		topic := cranmemory.New()
		topic.Put("small", []byte{1})
		topic.Put("gone", []byte{1})
		newest := map[string]byte{}
		followLink(t, link.Connect(topic), func(u cranstore.Update) {
			if u.Reset {
				clear(newest)
			}
			seen := map[string]bool{}
			for _, r := range u.Records {
				require.False(t, seen[r.Key], r.Key)
				seen[r.Key] = true
				newest[r.Key] = 0
				if len(r.Value) == 0 {
					delete(newest, r.Key)
				} else {
					newest[r.Key] = r.Value[0]
				}
			}
		}, cranstore.WithNewestOnly())
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, newest, 2)
		topic.Put("gone", nil)
		for v := range byte(versions) {
			topic.Put("large", append([]byte{v}, make([]byte, size)...))
		}
		topic.Put("small", []byte{2})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]byte{"small": 2, "large": versions - 1}, newest)
		require.Less(t, link.Received(), versions*size/5)
	})
}

// deafTopic doesn't answer reads that wait for a record before the end of their wait.
type deafTopic struct{ *cranmemory.Topic }

func (d deafTopic) Read(ctx context.Context, from uint64, o cranstore.ReadOptions) (cranstore.Batch, error) {
	if batch, err := d.Topic.Read(ctx, from, cranstore.ReadOptions{}); err != nil || len(batch.Records) > 0 {
		return batch, err
	}
	cranpause.Sleep(ctx, o.Wait)
	if ctx.Err() != nil {
		return cranstore.Batch{}, ctx.Err()
	}
	return d.Topic.Read(ctx, from, cranstore.ReadOptions{})
}

// TestPokeReadsRecordThatWaitMisses guards against a process that reads its own claim only at
// the end of a wait, because the store received the claim just after the read.
func TestPokeReadsRecordThatWaitMisses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := cranmemory.New()
		var read, failed int
		start := time.Now()
		f := cranstore.NewFollower(deafTopic{topic}, func() time.Duration { return time.Since(start) }, cranstore.WithWait(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx, func(u cranstore.Update) {
				read += len(u.Records)
				if u.Err != nil {
					failed++
				}
			})
		}()
		time.Sleep(1100 * time.Millisecond)
		topic.Put("claim", []byte{1})
		f.Poke()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 1, read)
		require.Zero(t, failed)
		cancel()
		<-done
	})
}

// hangingTopic doesn't answer the first requests of a page, and begins to answer the others after a delay.
type hangingTopic struct {
	*cranmemory.Topic
	hanging atomic.Int32
	delay   time.Duration
}

func (h *hangingTopic) Newest(ctx context.Context, after string, received func(int)) (cranstore.Page, error) {
	if h.hanging.Add(-1) >= 0 {
		<-ctx.Done()
	}
	cranpause.Sleep(ctx, h.delay)
	if ctx.Err() != nil {
		return cranstore.Page{}, ctx.Err()
	}
	received(1)
	return h.Topic.Newest(ctx, after, received)
}

// TestLoadOutlastsLostRequest guards against a load that waits for the answer to a request that was lost, as long as
// for that of a slow store.
func TestLoadOutlastsLostRequest(t *testing.T) {
	for _, c := range []struct {
		hanging     int32
		delay, want time.Duration
	}{
		{0, 0, 0},
		{1, 0, 1200 * time.Millisecond},
		{2, 100 * time.Millisecond, 2500 * time.Millisecond},
		{0, 3500 * time.Millisecond, 3500 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			topic := &hangingTopic{Topic: cranmemory.New(), delay: c.delay}
			topic.hanging.Store(c.hanging)
			topic.Put("key", []byte{1})
			start := time.Now()
			records, end, err := cranstore.Load(t.Context(), topic)
			require.NoError(t, err)
			require.Len(t, records, 1)
			require.EqualValues(t, 1, end)
			require.Equal(t, c.want, time.Since(start))
		})
	}
}
