package cransched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestSuccessorKeepsForecast replaces the owner during a surge. The successor must
// forecast about the same arrivals and durations.
func TestSuccessorKeepsForecast(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	sim.takeOver(sim.now - time.Hour)
	for i := range 40 {
		sim.submit(newBatchJob(string(rune('a'+i%26))+string(rune('a'+i/26)), 3))
		sim.runFor(100 * time.Millisecond)
	}
	before := sim.owner.arrivals["p"].Forecast(sim.now)
	learned := sim.owner.predictors["q"].predict(800)
	sim.takeOver(sim.now + OwnershipTimeout)
	after := sim.owner.arrivals["p"].Forecast(sim.now)
	require.InDelta(t, before.CPU, after.CPU, before.CPU/2)
	require.InDelta(t, learned, sim.owner.predictors["q"].predict(800), learned/10)
}

// TestPredictorFitsDurations checks that predictions approach the mean duration if
// estimates carry no information, and follow the estimates if these are reliable.
func TestPredictorFitsDurations(t *testing.T) {
	var uninformative, proportional predictor
	for i := range 200 {
		estimate := int64(100 << (i % 6))
		uninformative.add(estimate, 1000)
		proportional.add(estimate, 2*estimate)
	}
	require.InDelta(t, 1000, uninformative.predict(100), 150)
	require.InDelta(t, 1000, uninformative.predict(3200), 150)
	require.InDelta(t, 200, proportional.predict(100), 20)
	require.InDelta(t, 6400, proportional.predict(3200), 640)
	require.InDelta(t, 700, (&predictor{}).predict(700), 1)
	require.Equal(t, cranjob.Durations{}, (&predictor{}).Durations)
}

// TestNextShare checks that the share of a best-effort task is halved near the maximum tail
// latency, set to 0 above it and raised step by step afterwards. The samples of the tail
// latency lag behind by half a second.
func TestNextShare(t *testing.T) {
	percent := fullShare
	for _, step := range []struct {
		tail float64
		want int
	}{{0.95, 50}, {0.95, 25}, {0.95, 12}, {0.95, 0}, {0.8, 0}, {0.5, 10}, {0.5, 20}, {1.2, 0}, {0.1, 10}} {
		percent = nextShare(percent, step.tail, noCeiling)
		require.Equal(t, step.want, percent, "tail %v", step.tail)
	}
	require.Equal(t, minShare, nextShare(unknownShare, 0, noCeiling))
}
