package cransched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestMovesUseRateOfPlatform checks that planning rounds order as many moves as the platform
// accepts, however long they are apart, and some when the rate is low or unknown. An idle time
// must not let a burst above the rate through.
func TestMovesUseRateOfPlatform(t *testing.T) {
	for rate, want := range map[float64]int{0: 60, 1: 1, 64: 60, 118: 112, 215: 204} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 112 * time.Millisecond, 137 * time.Millisecond} {
			b := moveBudget{}
			b.replenish(time.Hour, rate)
			idle := int(b.left)
			require.LessOrEqual(t, float64(idle), max(moveBurst.Seconds()*max(rate, defaultOrdersPerSecond), 1))
			b.left = 0
			ordered := 0
			for now := time.Duration(0); now < 2*time.Second; now += interval {
				b.replenish(time.Hour+now, rate)
				for b.available() > 0 {
					b.spend()
					ordered++
				}
			}
			require.InDelta(t, 2*want, ordered, float64(want)/8+1, "rate %v, interval %v", rate, interval)
		}
	}
}

// TestMovesOfEarlierProcessAreKnown guards against tasks on an instance whose move was ordered by an
// earlier process of the entry instance, which has restarted.
func TestMovesOfEarlierProcessAreKnown(t *testing.T) {
	stored := cranjob.NewReplica()
	now := Clock{Steady: time.Hour, UnixMs: 1_700_000_000_000}
	order := cranjob.InstanceOrder{Pool: "q", Moving: true, DecidedMs: now.UnixMs - 500}
	_, err := stored.Apply(cranjob.OrderKey("m"), cranjob.Encode(order), 0)
	require.NoError(t, err)
	s := New(2, simTiming, &Config{}, stored, now, Predecessor{
		StoppedBy: now.Steady, LastOrderAt: map[string]time.Duration{"m": now.Steady}, SameInstance: true,
	})
	s.SetTargets([]TargetInfo{{ID: "t", Pool: "p", Address: "t", Instance: "m"}})
	require.True(t, s.hasPendingOrder(s.targets["t"]))
	require.True(t, s.mayOrder("m"))
}
