package cranpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateWorkKeepsThirdOfItsInstances guards against late work that keeps all instances from punctual work, and
// against a pool that is left with one instance after several rounds, where its jobs stand still.
func TestLateWorkKeepsThirdOfItsInstances(t *testing.T) {
	p := NewPlanner(DefaultCosts())
	capacity := Load{CPU: 1000, Memory: 1000}
	late := Pool{Name: "late", Supply: Supply{Members: 12, Capacity: capacity}, Demand: Demand{Late: Load{CPU: 90_000}}}
	punctual := Pool{Name: "punctual", Supply: Supply{Capacity: capacity}, Demand: Demand{Urgent: Load{CPU: 18_000}}}
	given := 0
	for round := range 20 {
		now := time.Hour + time.Duration(round)*100*time.Millisecond
		pools := []Pool{late, punctual}
		balances, _ := p.Plan(now, pools, unlimited)
		for _, y := range p.Yields(now, pools, balances) {
			require.Equal(t, Yield{From: "late", To: "punctual", Count: y.Count}, y)
			require.NotZero(t, round, "a shortage of one round is no reason")
			given += y.Count
			late.Supply.Members -= y.Count
			punctual.Promised += y.Count
		}
	}
	require.Equal(t, 8, given)

	// Once its late work is done, the pool yields again from what it has then.
	late.Demand.Late = Load{}
	pools := []Pool{late, punctual}
	balances, _ := p.Plan(2*time.Hour, pools, unlimited)
	require.Empty(t, p.Yields(2*time.Hour, pools, balances))
	require.Zero(t, p.yields["late"].floor)
}
