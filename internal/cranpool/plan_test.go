package cranpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unlimited allows up to six moves, of any instance.
var unlimited = Limits{Moves: 6, MayMove: func(Move) bool { return true }}

// poolsWith returns the pools a and b and a standby pool; a and the latter have the given empty instances.
func poolsWith(a, off []string) []Pool {
	return []Pool{{Name: "a", Supply: Supply{Empty: a}}, {Name: "b"}, {Name: "off", Standby: true, Supply: Supply{Empty: off}}}
}

// TestSurplusMovesDirectly lets the demand turn from one pool to another. The instances that
// one has left over must move to the other, and not to the standby pool while others come from
// there.
func TestSurplusMovesDirectly(t *testing.T) {
	empty := []string{"a1", "a2", "a3"}
	pools := poolsWith(empty, []string{"off1", "off2"})
	moves := planMoves([]Balance{{Pool: "a", Total: 3, empty: empty}, {Pool: "b", Punctual: 4, Needed: 4, Held: 4}}, pools, 0, unlimited)
	require.ElementsMatch(t, []Move{{"a1", "b"}, {"a2", "b"}, {"a3", "b"}, {"off1", "b"}}, moves)
	moves = planMoves([]Balance{{Pool: "a", Total: 2, empty: empty}, {Pool: "b", Punctual: 1, Needed: 1, Held: 1}}, pools, 0, unlimited)
	require.ElementsMatch(t, []Move{{"a1", "b"}, {"a2", "off"}}, moves)
}

// TestPeakThatIsOverKeepsNoInstance lets the demand turn from one pool to another while no
// instance is in the standby pool. The pool whose turn has ended must give its empty instances
// at once, although it keeps the rest from the standby pool for a while.
func TestPeakThatIsOverKeepsNoInstance(t *testing.T) {
	empty := []string{"a1", "a2", "a3"}
	pools := poolsWith(empty, nil)
	moves := planMoves([]Balance{{Pool: "a", Total: 3, Held: 3, empty: empty}, {Pool: "b", Punctual: 2, Needed: 2, Held: 2}}, pools, 0, unlimited)
	require.ElementsMatch(t, []Move{{"a1", "b"}, {"a2", "b"}}, moves)
	moves = planMoves([]Balance{{Pool: "a", Total: 3, Held: 2, empty: empty}, {Pool: "b"}}, pools, 0, unlimited)
	require.Equal(t, []Move{{"a1", "off"}}, moves)
}

// TestRefusedMoveUsesNoBudget guards against a refused move that takes the place of another one.
func TestRefusedMoveUsesNoBudget(t *testing.T) {
	empty := []string{"a1", "a2", "a3"}
	limits := Limits{Moves: 1, MayMove: func(m Move) bool { return m.Instance != "a1" }}
	moves := planMoves([]Balance{{Pool: "a", Total: 3, empty: empty}, {Pool: "b", Punctual: 3, Needed: 3, Held: 3}}, poolsWith(empty, nil), 0, limits)
	require.Equal(t, []Move{{"a2", "b"}}, moves)
}

// TestForecastFollowsGrowth checks the forecasts of a load that doubles with each slot, a
// constant load and one that has ended.
func TestForecastFollowsGrowth(t *testing.T) {
	now := time.Hour
	growing, steady, ended := &Arrivals{}, &Arrivals{}, &Arrivals{}
	for i := range arrivalSlots {
		at := now + time.Duration(i)*arrivalSlot
		growing.Add(Load{CPU: float64(int(100) << i)}, at, 0)
		steady.Add(Load{CPU: 100}, at, 0)
		ended.Add(Load{CPU: 100}, at, 0)
	}
	at := now + (arrivalSlots-1)*arrivalSlot
	perSecond := 100 / arrivalSlot.Seconds()
	require.InDelta(t, perSecond, steady.Forecast(at).CPU, 1)
	require.Greater(t, growing.Forecast(at).CPU, 2*perSecond)
	require.Zero(t, ended.Forecast(at+2*time.Second).CPU)
}

// TestIdleInstanceMovesOnlyIfThatPays guards against an instance that idles for longer than its move to the standby
// pool and back costs, and against one that is moved away although it is needed sooner.
func TestIdleInstanceMovesOnlyIfThatPays(t *testing.T) {
	capacity := Load{CPU: 1000, Memory: 1000}
	empty := []string{"a1", "a2", "a3", "a4"}
	// moved returns how many instances move to the standby pool, given the forecasts of two pools.
	moved := func(costs Costs, a, b *Outlook) int {
		pools := poolsWith(empty, nil)
		pools[0].Supply = Supply{Members: 4, Empty: empty, Capacity: capacity}
		pools[1].Supply = Supply{Members: 1, Capacity: capacity}
		pools[0].Outlook, pools[1].Outlook = a, b
		p := NewPlanner(costs)
		p.peaks["a"] = &peakDemand{count: 4, until: time.Hour + time.Second}
		_, moves := p.Plan(time.Hour, pools, unlimited)
		return len(moves)
	}
	peakIn := func(next time.Duration) *Outlook {
		return &Outlook{Period: 20 * time.Second, NextPeak: next, Height: Load{CPU: 1800}}
	}
	cheap, dear := Costs{IdlePerSecond: 1, Move: 0.6}, Costs{IdlePerSecond: 1, Move: 3}
	require.Equal(t, 0, moved(cheap, nil, nil), "the peak was just now, and nothing is known of the next one")
	require.Equal(t, 0, moved(cheap, &Outlook{Period: 20 * time.Second, NextPeak: 15 * time.Second, InPeak: true}, nil))
	require.Equal(t, 3, moved(cheap, peakIn(15*time.Second), nil))
	require.Equal(t, 1, moved(dear, peakIn(7*time.Second), nil), "a peak of two instances and a spare one is near")
	require.Equal(t, 3, moved(cheap, peakIn(7*time.Second), nil))
	require.Equal(t, 1, moved(cheap, peakIn(15*time.Second), peakIn(prepareAhead+500*time.Millisecond)), "the other pool lacks two soon")
	require.Equal(t, 3, moved(cheap, peakIn(15*time.Second), peakIn(prepareAhead+700*time.Millisecond)))
}

// TestBeginOfPeakAsksForNoMoreThanItsHeight guards against a pool that takes every instance at the begin of a peak
// since its growth is extrapolated, and against a surge beyond all earlier ones that gets too few.
func TestBeginOfPeakAsksForNoMoreThanItsHeight(t *testing.T) {
	needed := func(o *Outlook, expected float64) int {
		pool := Pool{Name: "a", Outlook: o, Supply: Supply{Capacity: Load{CPU: 1000, Memory: 1000}}, Demand: Demand{Expected: Load{CPU: expected}}}
		balances, _ := NewPlanner(DefaultCosts()).Plan(time.Hour, []Pool{pool}, unlimited)
		return balances[0].Needed
	}
	known := &Outlook{Period: 20 * time.Second, NextPeak: 18 * time.Second, Height: Load{CPU: 7200}, InPeak: true}
	require.Equal(t, 30+spareInstances, needed(nil, 27_000))
	require.Equal(t, 10+spareInstances, needed(known, 27_000))
	require.Equal(t, 20+spareInstances, needed(known, 54_000))
}
