package crannode

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// TestEntryWithoutStoreRefusesAtOnce guards against an entry instance that holds submissions until their
// deadlines when the store doesn't answer it, with an unknown outcome. Only the first append of each shard may
// end like that; all other jobs are refused within maxUnanswered, and at once when reads and appends have
// failed. A refused job is never stored, and jobs are accepted again soon after the store answers.
func TestEntryWithoutStoreRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, fleetShards+2)
		defer f.close()
		time.Sleep(5 * time.Second)
		const step, failing = 50 * time.Millisecond, 6 * time.Second
		cut := f.nodes[0]
		cut.fault.set(true, 1200*time.Millisecond)
		start := time.Now()
		var mu sync.Mutex
		var callers sync.WaitGroup
		refused, unknown := map[string]bool{}, 0
		for i := range int(failing / step) {
			callers.Go(func() {
				sent := time.Since(start)
				ctx, cancel := WithCallerDeadline(t.Context(), 3*time.Second)
				defer cancel()
				job := fleetJob(i)
				err := cut.node.Submit(ctx, job)
				took := time.Since(start) - sent
				mu.Lock()
				defer mu.Unlock()
				if cranfault.KindOf(err) == cranfault.Timeout {
					unknown++
					return
				}
				require.Equal(t, cranfault.LogUnavailable, cranfault.KindOf(err), "sent after %v", sent)
				refused[job.ID] = true
				require.LessOrEqual(t, took, maxUnanswered)
				if sent > 2400*time.Millisecond {
					require.Zero(t, took, "sent after %v", sent)
				}
			})
			time.Sleep(step)
		}
		callers.Wait()
		require.LessOrEqual(t, unknown, fleetShards)
		require.NotEmpty(t, refused)
		cut.fault.set(false, 0)
		time.Sleep(2 * time.Second)
		require.NoError(t, cut.node.Submit(t.Context(), fleetJob(1000)))
		for _, s := range f.shards {
			records, _, err := cranstore.Load(t.Context(), s.Submissions.(*cranmemory.Topic))
			require.NoError(t, err)
			for _, r := range records {
				require.NotContains(t, refused, r.Key[1:])
			}
		}
	})
}

// TestSubmissionIsRefusedWhenAllCallsFail guards against submissions that wait although the newest reads and
// appends have all failed: nothing is in flight yet for most shards, and the last good read is still recent.
func TestSubmissionIsRefusedWhenAllCallsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, fleetShards+2)
		defer f.close()
		cut := f.nodes[0]
		cut.stop()
		f.directory.Operator = &link{Topic: f.directory.Operator.(*cranmemory.Topic), fault: cut.fault}
		f.start(cut)
		time.Sleep(5 * time.Second)
		cut.fault.set(true, 1200*time.Millisecond)
		cut.targetsFault.set(true, 1200*time.Millisecond)
		time.Sleep(1750 * time.Millisecond)
		require.True(t, cut.node.storeReachable())
		start := time.Now()
		for i := range 20 {
			ctx, cancel := WithCallerDeadline(t.Context(), 3*time.Second)
			err := cut.node.Submit(ctx, fleetJob(i))
			cancel()
			require.Equal(t, cranfault.LogUnavailable, cranfault.KindOf(err))
		}
		require.Zero(t, time.Since(start))
	})
}

// TestLostResponseRefusesNothing guards against refusals after single responses were lost while others arrive.
func TestLostResponseRefusesNothing(t *testing.T) {
	var c storeContact
	c.observe(nil, time.Second)
	c.observe(context.DeadlineExceeded, 2*time.Second)
	require.False(t, c.lost(4*time.Second))
	c.observe(context.Canceled, 4*time.Second)
	require.False(t, c.lost(4*time.Second))
	c.observe(context.DeadlineExceeded, 4*time.Second)
	require.True(t, c.lost(4*time.Second))
	c.observe(nil, 4500*time.Millisecond)
	require.False(t, c.lost(10*time.Second))
}
