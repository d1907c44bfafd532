package crannode

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
)

// TestOwnerThatLagsHandsOver guards against an owner that keeps a shard though it gets to read its responses
// too late: its work is lost again and again (LOST, TWICE). Its ticks are in time all the while.
func TestOwnerThatLagsHandsOver(t *testing.T) {
	for _, lag := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t, 0)
			defer p.close()
			require.True(t, p.isOwner(0))
			n := p.nodes[0]
			n.postAndWait(t.Context(), func() { n.measureLag = func() time.Duration { return lag } })
			time.Sleep(5 * time.Second)
			require.Equal(t, lag < maxLag, p.isOwner(0))
			require.Equal(t, lag >= maxLag, p.isOwner(1))
		})
	}
}

// TestSmallOwnerThatLagsHandsOver is like TestOwnerThatLagsHandsOver for a process with less capacity than a
// shard takes, which is late by less.
func TestSmallOwnerThatLagsHandsOver(t *testing.T) {
	for cores, want := range map[float64]bool{4: false, 0.1: true} {
		now := cransched.Clock{Steady: time.Hour}
		n := New("a", "a-1", memoryTopics(), Directory{}, noInstances{}, WithLimits(cranshard.Limits{Cores: cores}))
		n.digest = crandigest.New()
		_, err := n.digest.Apply(crandigest.KeyLayout, cranshard.New(1, 200, nil).Encode(), 0)
		require.NoError(t, err)
		o := &ownership{shard: &shard{node: n}, progress: &fencedWriter{}, scheduledAt: now.Steady, scheduler: cransched.New(1, cransched.Timing{}, nil, cranjob.NewReplica(), now, cransched.Predecessor{})}
		for i := range maxLateIntervals + 2 {
			// A moment in time among late ones doesn't end the count.
			o.observeLag(map[bool]time.Duration{true: 40 * time.Millisecond, false: 80 * time.Millisecond}[i == 3])
		}
		require.Equal(t, want, o.observeStall(now.Steady), "%v cores", cores)
		for range maxLateIntervals {
			o.observeLag(0)
		}
		require.False(t, o.observeStall(now.Steady+stallMemory))
	}
}

// TestQuantile checks the wait that a tenth of the goroutines exceed.
func TestQuantile(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0, 0.1, 0.2, math.Inf(1)}
	require.Equal(t, 100*time.Millisecond, quantile([]uint64{0, 80, 15, 5}, bounds))
	require.Equal(t, 200*time.Millisecond, quantile([]uint64{0, 80, 0, 20}, bounds))
	require.Zero(t, quantile([]uint64{0, 95, 0, 5}, bounds))
	require.Zero(t, quantile([]uint64{0, 0, 0, 5}, bounds), "too few goroutines")
	require.Zero(t, NewLagMeter().Measure())
}

// TestOwnerThatCatchesUpDuringItsReleaseGoesOn guards against an owner that keeps a shard and stores no decision
// any more, since its lag ended after it had stored the last decisions before a release (LOST).
func TestOwnerThatCatchesUpDuringItsReleaseGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		defer f.close()
		time.Sleep(3 * time.Second)
		n := f.nodes[0]
		require.NotZero(t, n.node.owned.Load())
		lag := func(lag time.Duration) {
			n.node.postAndWait(t.Context(), func() { n.node.measureLag = func() time.Duration { return lag } })
		}
		lag(2 * maxLag)
		time.Sleep((maxLateIntervals - 1) * lagInterval)
		n.fault.set(true, 0)
		time.Sleep(2 * lagInterval)
		lag(0)
		time.Sleep(2 * lagInterval)
		n.fault.set(false, 0)
		time.Sleep(4 * time.Second)
		jobs := make([]*cranjob.Job, 4*fleetShards)
		for number := range jobs {
			jobs[number] = f.submitLasting(number)
		}
		time.Sleep(3 * time.Second)
		for _, j := range jobs {
			require.Equal(t, j.Steps[0].Count, f.targets.runningTasks(j.ID), j.ID)
		}
	})
}

// TestOwnerRecoversFromLateTicks guards against a shard that is taken from an owner that gets on, since some of its
// ticks were late long ago.
func TestOwnerRecoversFromLateTicks(t *testing.T) {
	for name, pause := range map[string]time.Duration{"rare": 20 * time.Second, "frequent": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStallFleet(t, 1)
				defer f.close()
				n := f.nodes[0].node
				claim := func() (c cranjob.Claim) {
					n.postAndWait(t.Context(), func() { c = n.digest.Claim(stalledShard) })
					return c
				}
				for range maxLateTicks {
					n.postAndWait(t.Context(), func() { time.Sleep(2 * lateTickThreshold) })
					time.Sleep(pause)
				}
				require.Equal(t, pause < lateTickMemory, claim().Stalled)
				time.Sleep(lateTickMemory + 2*stallMemory)
				require.False(t, claim().Stalled)
			})
		})
	}
}
