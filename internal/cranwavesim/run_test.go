package cranwavesim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// smallSettings returns the settings of a fleet of 50 instances.
func smallSettings() Settings {
	return Settings{Instances: 50, Pools: 5, MaxUnavailable: 2, MaxParallel: 4, MaxFailures: 2, Seed: 1}
}

// runChecked runs a simulation and checks that no availability budget was breached. It clears
// the only figure that depends on real time.
func runChecked(t *testing.T, s Settings) Result {
	r, err := Run(s)
	require.NoError(t, err)
	require.Positive(t, r.Transitions)
	require.Zero(t, r.BudgetBreaches, "a planned step breached the availability budget of a pool")
	r.SlowestCallMs = 0
	return r
}

func TestMakespanIsNearLowerBound(t *testing.T) {
	for _, one := range []bool{false, true} {
		s := smallSettings()
		s.OneWave = one
		r := runChecked(t, s)
		require.Equal(t, s.Instances, r.Reboots)
		require.Less(t, r.Ratio, 1.2)
		require.Equal(t, r, runChecked(t, s), "the same seed must give the same result")
	}
}

func TestFailedRackHaltsTheWave(t *testing.T) {
	for _, one := range []bool{false, true} {
		s := smallSettings()
		s.OneWave, s.Fail = one, true
		r := runChecked(t, s)
		require.Equal(t, 1, r.Halts)
		require.Less(t, r.HaltedMs-r.FailedMs, int64(1000), "the wave must halt within a second, while the rack is failing")
	}
}

func TestBudgetCountsBreaches(t *testing.T) {
	b := newBudget(1)
	b.minAvailable["p"] = 1
	step := func(id string, from, to cranstate.Phase) {
		b.record(cranstate.InstanceChanged{Instance: id, Pool: "p", From: from, To: to})
	}
	step("a", cranstate.PhaseReturning, cranstate.PhaseServing)
	step("b", cranstate.PhaseReturning, cranstate.PhaseServing)
	step("a", cranstate.PhaseServing, cranstate.PhaseCordoned)
	require.Zero(t, b.breaches)
	step("b", cranstate.PhaseServing, cranstate.PhaseReturning)
	require.Zero(t, b.breaches, "an unplanned outage is not a planned step")
	step("a", cranstate.PhaseCordoned, cranstate.PhaseStopping)
	require.Equal(t, 1, b.breaches)
}
