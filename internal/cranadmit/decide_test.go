package cranadmit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func request(n int, tenant string) Request {
	return Request{ID: fmt.Sprintf("%016x", n), Queue: "q", Tenant: tenant, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}
}

// load returns figures with waiting work of which a part is within entitlements.
func load(drain, within time.Duration) Figures {
	return Figures{
		Queues: map[string]QueueLoad{"q": {Waiting: 100, Drain: drain, Ahead: drain, Within: within, Path: time.Second, Share: 1}},
		Within: map[string]float64{"hot": 0.25},
	}
}

// TestOldFiguresRefuseNothing guards against refusals by the figures of an owner that is lost, of a queue that was
// removed, or of another shard.
func TestOldFiguresRefuseNothing(t *testing.T) {
	b := NewBoard()
	require.True(t, b.Decide(request(1, "hot"), time.Second).Admitted)
	b.Publish(0, load(time.Hour, time.Hour), time.Second)
	require.False(t, b.Decide(request(1, "hot"), 2900*time.Millisecond).Admitted)
	require.True(t, b.Decide(request(1, "hot"), 3*time.Second).Admitted)
	b.Publish(0, load(time.Hour, time.Hour), 4*time.Second)
	other := request(1, "hot")
	other.Shard = 1
	require.True(t, b.Decide(other, 4*time.Second).Admitted)
	other = request(1, "hot")
	other.Queue = "removed"
	require.True(t, b.Decide(other, 4*time.Second).Admitted)
	b.Publish(0, Figures{}, 5*time.Second)
	require.True(t, b.Decide(request(1, "hot"), 5*time.Second).Admitted)
}

// TestWorkWithinIsRefusedOnlyIfWorthless guards against refusals of work within its entitlement because of the work
// beyond another's, or before the work has lost its worth.
func TestWorkWithinIsRefusedOnlyIfWorthless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drain := time.Duration(rapid.Int64Range(0, int64(100*time.Second)).Draw(t, "drain"))
		within := time.Duration(rapid.Int64Range(0, int64(drain)).Draw(t, "within"))
		f := load(drain, within)
		q := f.Queues["q"]
		q.Arriving = rapid.Float64Range(0, 10).Draw(t, "arriving")
		f.Queues["q"] = q
		b := NewBoard()
		b.Publish(0, f, 0)
		r := request(rapid.Int().Draw(t, "id"), rapid.SampledFrom([]string{"", "calm"}).Draw(t, "tenant"))
		d := b.Decide(r, 0)
		worthless := q.After(within)+q.Path > worthlessFactor*2200*time.Millisecond
		require.Equal(t, !worthless, d.Admitted)
		if worthless {
			require.Equal(t, Overload, d.Cause)
		}
	})
}

// TestEntriesAgree guards against callers that get in by repeating a request at other entry instances, and against
// a choice that depends on the order of ids. Of the tenant's work a quarter is within; of the rest, the published
// share is admitted, and nothing if it can't be served in time.
func TestEntriesAgree(t *testing.T) {
	const jobs = 4000
	refusedBefore := map[int]bool{}
	for _, c := range []struct {
		wait           time.Duration
		share, refused float64
	}{{0, 1, 0}, {2400 * time.Millisecond, 1, 0}, {0, 0.5, 0.375}, {0, 0.1, 0.675}, {2401 * time.Millisecond, 1, 0.75}} {
		f := load(c.wait, 0)
		q := f.Queues["q"]
		q.Share = c.share
		f.Queues["q"] = q
		first, second := NewBoard(), NewBoard()
		first.Publish(0, f, 0)
		second.Publish(0, f, 0)
		refused := 0
		for n := range jobs {
			d := first.Decide(request(n, "hot"), 0)
			require.Equal(t, d, second.Decide(request(n, "hot"), 0))
			require.False(t, refusedBefore[n] && d.Admitted, "a smaller share admits a job that a larger one refuses")
			if !d.Admitted {
				refused++
				refusedBefore[n] = true
			}
		}
		require.InDelta(t, c.refused, float64(refused)/jobs, 0.03, "wait %v, share %v", c.wait, c.share)
	}
}

// TestRetryAfterIsSpread guards against callers that all return at once, too early, or after hours.
func TestRetryAfterIsSpread(t *testing.T) {
	counts := map[int]int{}
	for n := range 1000 {
		b := NewBoard()
		b.Publish(0, load(10*time.Second, 0), 0)
		if d := b.Decide(request(n, "hot"), 0); !d.Admitted {
			counts[d.RetryAfter]++
		}
	}
	require.GreaterOrEqual(t, len(counts), 8)
	for after := range counts {
		require.GreaterOrEqual(t, after, 5)
		require.LessOrEqual(t, after, 16)
	}
	b := NewBoard()
	b.Publish(0, load(time.Hour, time.Hour), 0)
	require.Equal(t, maxRetryAfter, b.Decide(request(1, ""), 0).RetryAfter)
}

// TestAdmittedJobsCount guards against an entry instance that admits a whole burst by figures from before it.
func TestAdmittedJobsCount(t *testing.T) {
	b := NewBoard()
	f := load(100*time.Millisecond, 0)
	q := f.Queues["q"]
	q.JobTime = 50 * time.Millisecond
	f.Queues["q"], f.Within = q, map[string]float64{"hot": 0}
	b.Publish(0, f, 0)
	admitted := 0
	for n := range 1000 {
		if b.Decide(request(n, "hot"), 0).Admitted {
			admitted++
		}
	}
	require.Equal(t, 47, admitted)
}
