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
				for b.allows() {
					b.spend()
					ordered++
				}
			}
			require.InDelta(t, 2*want, ordered, float64(want)/8+1, "rate %v, interval %v", rate, interval)
		}
	}
}

// TestSurplusMovesDirectly lets the demand turn from one pool to another. The instances that
// one has left over must move to the other, and not to the standby pool while others come from
// there.
func TestSurplusMovesDirectly(t *testing.T) {
	config := &Config{Version: 1, Pools: map[string]*Pool{"a": {Name: "a"}, "b": {Name: "b"}, "off": {Name: "off", Standby: true}}}
	s := New(1, simTiming, config, cranjob.NewReplica(), Clock{Steady: time.Hour}, Predecessor{})
	supply := map[string]*poolSupply{"a": {empty: []string{"a1", "a2", "a3"}}, "b": {}, "off": {empty: []string{"off1", "off2"}}}
	s.fleet.budget.left = 6
	s.rebalance([]*poolBalance{{pool: "a", total: 3}, {pool: "b", punctual: 4, needed: 4, held: 4}}, supply)
	moves := map[string]string{}
	for id, m := range s.fleet.moves {
		moves[id] = m.pool
	}
	require.Equal(t, map[string]string{"a1": "b", "a2": "b", "a3": "b", "off1": "b"}, moves)
	s.fleet.moves = map[string]*move{}
	s.rebalance([]*poolBalance{{pool: "a", total: 2}, {pool: "b", punctual: 1, needed: 1, held: 1}}, supply)
	require.Equal(t, "b", s.fleet.moves["a1"].pool)
	require.Equal(t, "off", s.fleet.moves["a2"].pool)
	require.Len(t, s.fleet.moves, 2)
}

// TestPeakThatIsOverKeepsNoInstance lets the demand turn from one pool to another while no
// instance is in the standby pool. The pool whose turn has ended must give its empty instances
// at once, although it keeps the rest from the standby pool for peakHoldTime.
func TestPeakThatIsOverKeepsNoInstance(t *testing.T) {
	config := &Config{Version: 1, Pools: map[string]*Pool{"a": {Name: "a"}, "b": {Name: "b"}, "off": {Name: "off", Standby: true}}}
	s := New(1, simTiming, config, cranjob.NewReplica(), Clock{Steady: time.Hour}, Predecessor{})
	s.fleet.budget.left = 6
	supply := map[string]*poolSupply{"a": {empty: []string{"a1", "a2", "a3"}}, "b": {}, "off": {}}
	s.rebalance([]*poolBalance{{pool: "a", total: 3, needed: 0, held: 3}, {pool: "b", punctual: 2, needed: 2, held: 2}}, supply)
	require.Len(t, s.fleet.moves, 2)
	require.Equal(t, "b", s.fleet.moves["a1"].pool)
	require.Equal(t, "b", s.fleet.moves["a2"].pool)
	s.fleet.moves = map[string]*move{}
	s.rebalance([]*poolBalance{{pool: "a", total: 3, needed: 0, held: 2}, {pool: "b"}}, supply)
	require.Equal(t, "off", s.fleet.moves["a1"].pool)
	require.Len(t, s.fleet.moves, 1)
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
