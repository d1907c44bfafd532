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

// smallPlan is a demonstration of seven instances and two spares. Its
// patience is no bound on how fast anything is.
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
		patience:  2 * time.Minute,
	}
	p, err = p.withConfig(config)
	require.NoError(t, err)
	return p
}

// TestSmallDemo runs a whole demonstration and wants no breach.
func TestSmallDemo(t *testing.T) {
	var lines bytes.Buffer
	r, err := runPlan(t.Context(), smallPlan(t), WithProgress(&lines), WithSeed(1))
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

func TestUnknownDeployment(t *testing.T) {
	_, err := Run(t.Context(), "other")
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Invalid))
}

// TestSecondConfigurationKeepsFloors holds what the verdict relies on.
func TestSecondConfigurationKeepsFloors(t *testing.T) {
	for _, name := range []string{HeadOffice, Cooperative} {
		p, err := planOf(name)
		require.NoError(t, err)
		for _, pool := range p.config.Pools() {
			require.Equal(t, floorOf(p.config, pool.Name()), floorOf(p.second, pool.Name()), pool.Name())
		}
		require.NotEqual(t, p.config.Encode(), p.second.Encode())
		require.Len(t, p.targets(), 50)
	}
}

func TestReportForms(t *testing.T) {
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
