package cranpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unlimited allows up to six moves, of any instance.
var unlimited = Limits{Moves: 6, MayMove: func(Move) bool { return true }}

// poolsWith returns the pools a and b and a standby pool with the given empty instances.
func poolsWith(a, b, off []string) []Pool {
	return []Pool{{Name: "a", Supply: Supply{Empty: a}}, {Name: "b", Supply: Supply{Empty: b}}, {Name: "off", Standby: true, Supply: Supply{Empty: off}}}
}

// TestSurplusMovesDirectly lets the demand turn from one pool to another. The instances that
// one has left over must move to the other, and not to the standby pool while others come from
// there.
func TestSurplusMovesDirectly(t *testing.T) {
	empty := []string{"a1", "a2", "a3"}
	pools := poolsWith(empty, nil, []string{"off1", "off2"})
	moves := planMoves([]Balance{{Pool: "a", Total: 3, empty: empty}, {Pool: "b", Punctual: 4, Needed: 4, Held: 4}}, pools, unlimited)
	require.ElementsMatch(t, []Move{{"a1", "b"}, {"a2", "b"}, {"a3", "b"}, {"off1", "b"}}, moves)
	moves = planMoves([]Balance{{Pool: "a", Total: 2, empty: empty}, {Pool: "b", Punctual: 1, Needed: 1, Held: 1}}, pools, unlimited)
	require.ElementsMatch(t, []Move{{"a1", "b"}, {"a2", "off"}}, moves)
}

// TestPeakThatIsOverKeepsNoInstance lets the demand turn from one pool to another while no
// instance is in the standby pool. The pool whose turn has ended must give its empty instances
// at once, although it keeps the rest from the standby pool for a while.
func TestPeakThatIsOverKeepsNoInstance(t *testing.T) {
	empty := []string{"a1", "a2", "a3"}
	pools := poolsWith(empty, nil, nil)
	moves := planMoves([]Balance{{Pool: "a", Total: 3, Held: 3, empty: empty}, {Pool: "b", Punctual: 2, Needed: 2, Held: 2}}, pools, unlimited)
	require.ElementsMatch(t, []Move{{"a1", "b"}, {"a2", "b"}}, moves)
	moves = planMoves([]Balance{{Pool: "a", Total: 3, Held: 2, empty: empty}, {Pool: "b"}}, pools, unlimited)
	require.Equal(t, []Move{{"a1", "off"}}, moves)
}

// TestRefusedMoveUsesNoBudget guards against a refused move that takes the place of another one.
func TestRefusedMoveUsesNoBudget(t *testing.T) {
	empty := []string{"a1", "a2", "a3"}
	limits := Limits{Moves: 1, MayMove: func(m Move) bool { return m.Instance != "a1" }}
	moves := planMoves([]Balance{{Pool: "a", Total: 3, empty: empty}, {Pool: "b", Punctual: 3, Needed: 3, Held: 3}}, poolsWith(empty, nil, nil), limits)
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
