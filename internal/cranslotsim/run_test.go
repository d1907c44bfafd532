package cranslotsim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// erlangWait returns the mean wait of an M/M/k queue by the Erlang C formula, in mean service
// times.
func erlangWait(slots int, load float64) float64 {
	offered := load * float64(slots)
	blocked := 1.0
	for k := 1; k <= slots; k++ {
		blocked = offered * blocked / (float64(k) + offered*blocked)
	}
	waits := blocked / (1 - load*(1-blocked))
	return waits / (float64(slots) * (1 - load))
}

func TestPooledSchemeMatchesErlangFormula(t *testing.T) {
	s := Default()
	s.Scheme, s.Load, s.Targets, s.Duration = Pooled, 0.8, 1, 20000
	r, err := Run(s)
	require.NoError(t, err)
	require.InEpsilon(t, erlangWait(s.Slots, s.Load), r.MeanWait, 0.1)
}

func TestEverySchemeStartsAllRequestsWithinSlotLimit(t *testing.T) {
	for _, name := range Schemes() {
		for _, failFast := range []bool{false, true} {
			s := Default()
			s.Scheme, s.Load, s.Duration, s.Loss = name, 0.6, 100, 0.1
			s.FailFast, s.Surge = failFast, !failFast
			first, err := Run(s)
			require.NoError(t, err)
			require.LessOrEqual(t, first.MaxInProgress, s.Slots, name)
			require.Equal(t, first.Requests, first.Started, name)
			again, err := Run(s)
			require.NoError(t, err)
			require.Equal(t, first, again, name)
		}
	}
}

func TestWorkloadHasConfiguredRateAndServiceTimes(t *testing.T) {
	for _, surge := range []bool{false, true} {
		s := Default()
		s.Service, s.Surge, s.Duration = Heavy, surge, 1000
		list := jobs(s)
		sum, squares := 0.0, 0.0
		for _, j := range list {
			sum += j.service
			squares += j.service * j.service
		}
		n := float64(len(list))
		mean := sum / n
		require.InEpsilon(t, 0.9*80*1000, n, 0.02)
		require.InEpsilon(t, 1, mean, 0.02)
		require.InEpsilon(t, heavySquaredVariation, squares/n-mean*mean, 0.1)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, edit := range []func(*Settings){
		func(s *Settings) { s.Scheme = "none" },
		func(s *Settings) { s.Service = "none" },
		func(s *Settings) { s.Load = 0 },
		func(s *Settings) { s.Loss = 1 },
	} {
		s := Default()
		edit(&s)
		_, err := Run(s)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Invalid))
	}
}
