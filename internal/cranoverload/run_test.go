package cranoverload

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

func play(t *testing.T, policy Policy, factor float64) Result {
	r, err := Run(Settings{Policy: policy, Factor: factor, Length: 10 * time.Second, Targets: 20, Seed: 1})
	require.NoError(t, err)
	return r
}

// TestGoodputStaysLevelBeyondSaturation guards against a collapse under overload: the more callers send, the more
// of the capacity would go to jobs that end too late.
func TestGoodputStaysLevelBeyondSaturation(t *testing.T) {
	most, last := 0.0, 0.0
	for _, factor := range []float64{0.5, 0.8, 1, 1.25, 1.5, 2, 2.5, 3, 4} {
		r := play(t, Product, factor)
		t.Logf("factor %v: goodput %.3f, wasted %.3f, calm in time %.3f", factor, r.Goodput, r.Wasted, r.CalmInTime)
		most, last = max(most, r.Goodput), r.Goodput
	}
	require.GreaterOrEqual(t, last, 0.8*most)
}

// TestEveryJobIsCounted guards against figures that leave jobs out or count work twice, and against runs that can't be
// repeated.
func TestEveryJobIsCounted(t *testing.T) {
	for _, policy := range Policies() {
		for _, factor := range []float64{0.5, 3} {
			r := play(t, policy, factor)
			require.Equal(t, r, play(t, policy, factor))
			require.Equal(t, r.Offered, play(t, AdmitAll, factor).Admitted, "the jobs depend on the policy")
			require.Equal(t, r.Offered, r.Admitted+r.Refused)
			require.Equal(t, r.Admitted, r.InTime+r.Late+r.Failed)
			require.Zero(t, r.Failed)
			require.LessOrEqual(t, r.Goodput+r.Wasted, 1.0)
			require.LessOrEqual(t, r.P50, r.P95)
			require.LessOrEqual(t, r.P95, r.P99)
			if factor < 1 {
				require.Equal(t, r.Offered, r.InTime)
				require.InDelta(t, factor, r.Goodput, 0.15)
			} else {
				require.Greater(t, r.Goodput+r.Wasted, 0.8, "an overloaded pool is idle")
			}
		}
	}
}

// TestRefusedCallersRetry guards against retries that are lost, and against callers that go on after their window.
func TestRefusedCallersRetry(t *testing.T) {
	s, err := newSimulation(Settings{Policy: FixedQueue, Factor: 1, Length: time.Second, Targets: 1, Retries: true})
	require.NoError(t, err)
	j := newJob(s.delays)
	j.sentAt, s.open, s.waiting = s.Now(), 1, 1000
	s.send(j)
	for s.RunNextUntil(begin + time.Minute) {
		continue
	}
	require.Equal(t, 1+int(retryWindow/queueRetryAfter), j.sent)
	require.Zero(t, s.open)
}

// TestPlotIsWritten guards against an unreadable plot and against a format that is silently ignored.
func TestPlotIsWritten(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plot.svg")
	results := []Result{play(t, Product, 0.5), play(t, Product, 2)}
	require.NoError(t, Plot(file, results))
	content, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(content), string(Product))
	require.Error(t, Plot(filepath.Join(t.TempDir(), "plot.unknown"), results))
}

// TestInvalidSettingsAreRefused guards against runs that never end or divide by zero.
func TestInvalidSettingsAreRefused(t *testing.T) {
	valid := Settings{Policy: Product, Factor: 1, Length: time.Second, Targets: 1}
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Policy = "other" },
		func(s *Settings) { s.Factor = 0 },
		func(s *Settings) { s.Factor = maxFactor + 1 },
		func(s *Settings) { s.Length = 0 },
		func(s *Settings) { s.Targets = 0 },
	} {
		s := valid
		change(&s)
		_, err := Run(s)
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Invalid), "%+v", s)
	}
}
