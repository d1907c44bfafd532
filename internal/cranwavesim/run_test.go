package cranwavesim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

func small() Settings {
	return Settings{Instances: 50, Pools: 5, MaxUnavailable: 2, MaxParallel: 4, MaxFailures: 2, Seed: 1}
}

func run(t *testing.T, s Settings) Result {
	r, err := Run(s)
	require.NoError(t, err)
	require.Positive(t, r.Transitions)
	require.Zero(t, r.BudgetBreaches, "a planned step left a pool below its floor")
	r.SlowestCallMs = 0
	return r
}

func TestRoundStaysNearTheBound(t *testing.T) {
	for _, one := range []bool{false, true} {
		s := small()
		s.OneWave = one
		r := run(t, s)
		require.Equal(t, s.Instances, r.Reboots)
		require.Less(t, r.Ratio, 1.2)
		require.Equal(t, r, run(t, s), "the same seed gives the same round")
	}
}

func TestFailedRackHaltsTheWave(t *testing.T) {
	for _, one := range []bool{false, true} {
		s := small()
		s.OneWave, s.Fail = one, true
		r := run(t, s)
		require.Equal(t, 1, r.Halts)
		require.Less(t, r.HaltedMs-r.FailedMs, int64(1000), "halted while the rack was failing")
	}
}

func TestBudgetCountsBrokenSteps(t *testing.T) {
	b := newBudget(1)
	b.floor["p"] = 1
	step := func(id string, from, to cranstate.Phase) {
		b.note(cranstate.InstanceChanged{Instance: id, Pool: "p", From: from, To: to})
	}
	step("a", cranstate.PhaseReturning, cranstate.PhaseServing)
	step("b", cranstate.PhaseReturning, cranstate.PhaseServing)
	step("a", cranstate.PhaseServing, cranstate.PhaseCordoned)
	require.Zero(t, b.broken)
	step("b", cranstate.PhaseServing, cranstate.PhaseReturning)
	require.Zero(t, b.broken, "an unplanned outage is no planned step")
	step("a", cranstate.PhaseCordoned, cranstate.PhaseStopping)
	require.Equal(t, 1, b.broken)
}
