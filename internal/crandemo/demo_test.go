package crandemo

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// smallPlan returns the plan of a demonstration with seven instances in service pools and
// two spares. Its timeout is generous: the test does not check how fast the wave is.
func smallPlan(t *testing.T) plan {
	t.Helper()
	short := cranfleet.MaxDuration(500 * time.Millisecond)
	config, err := cranfleet.New("small", cranfleet.WithSpare("office"),
		cranfleet.WithPool("rosters", 4), cranfleet.WithPool("outings", 3),
		cranfleet.WithService("rosters", "rosters", cranfleet.MaxUnavailable(2), short),
		cranfleet.WithService("outings", "outings", cranfleet.MaxUnavailable(1), short))
	require.NoError(t, err)
	p := plan{
		spares:    2,
		entries:   3,
		surge:     1500 * time.Millisecond,
		waveAt:    200 * time.Millisecond,
		killAt:    600 * time.Millisecond,
		outageAt:  900 * time.Millisecond,
		outage:    500 * time.Millisecond,
		publishAt: 2 * time.Second,
		timeout:   2 * time.Minute,
	}
	p, err = p.withConfig(config)
	require.NoError(t, err)
	return p
}

// TestSmallDemonstrationHasNoBreach runs a whole demonstration and expects that no
// guarantee is breached.
func TestSmallDemonstrationHasNoBreach(t *testing.T) {
	var lines bytes.Buffer
	r, err := runWithPlan(t.Context(), smallPlan(t), WithProgress(&lines), WithSeed(1))
	require.NoError(t, err, lines.String())
	require.Equal(t, r.Requests, r.Answered+r.NotRun+r.Unknown)
	require.Positive(t, r.Answered)
	require.Zero(t, r.Doubled)
	require.Zero(t, r.Lost)
	require.Zero(t, r.FalseNotRun)
	require.Zero(t, r.CutOff)
	require.Zero(t, r.BudgetBreaches)
	require.Zero(t, r.PoolConflicts)
	require.Zero(t, r.Breaches())
	require.Equal(t, 2, r.InstanceMoves)
	require.Contains(t, lines.String(), "the wave is done: 7 instances rebooted")
}

func TestUnknownDeploymentIsRejected(t *testing.T) {
	_, err := Run(t.Context(), "other")
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Invalid))
}

// TestSecondConfigurationKeepsMinAvailable checks that the second configuration requires as
// many available instances of each pool as the first. The report relies on this: it checks
// the availability budgets of the whole run against the first configuration.
func TestSecondConfigurationKeepsMinAvailable(t *testing.T) {
	for _, name := range []string{HeadOffice, Cooperative} {
		p, err := planFor(name)
		require.NoError(t, err)
		for _, pool := range p.config.Pools() {
			require.Equal(t, minAvailable(p.config, pool.Name()), minAvailable(p.secondConfig, pool.Name()), pool.Name())
		}
		require.NotEqual(t, p.config.Encode(), p.secondConfig.Encode())
		require.Len(t, p.targets(), 50)
	}
}

func TestReportAsTableAndJSON(t *testing.T) {
	good := Report{
		Requests: 14087, Answered: 11917, NotRun: 1379, Unknown: 791,
		ConfigRolloutSeconds: 0.0416, InstanceMoves: 2, IdleInstanceSeconds: 25.75,
	}
	bad := good
	bad.Doubled, bad.Lost, bad.FalseNotRun, bad.CutOff, bad.BudgetBreaches, bad.PoolConflicts = 1, 2, 3, 4, 5, 6
	require.Equal(t, 21, bad.Breaches())
	for name, r := range map[string]Report{"good": good, "bad": bad, "empty": {}} {
		var table, object bytes.Buffer
		require.NoError(t, r.WriteTable(&table))
		require.NoError(t, r.WriteJSON(&object))
		g := goldie.New(t)
		g.Assert(t, name+"Table", table.Bytes())
		g.Assert(t, name+"JSON", object.Bytes())
	}
}
