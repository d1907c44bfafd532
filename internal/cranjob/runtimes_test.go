package cranjob

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpredict"
)

// TestMalformedRunTimesAreSkipped guards against a record of another writer that replaces what an owner has learned.
func TestMalformedRunTimesAreSkipped(t *testing.T) {
	r, m := NewReplica(), cranpredict.New()
	m.Observe(cranpredict.Observation{Class: cranpredict.Classify(cranpredict.Features{Queue: "q", EstimateMs: 5}), DurationMs: 7, Tasks: 1})
	require.NoError(t, r.Store(RunTimesKey("q"), m.Encode("q", 1)))
	sound := r.RunTimes()["q"]
	require.NotNil(t, sound)
	for _, text := range [][]byte{nil, {1}, Encode(Durations{N: 1}), m.Encode("q", -1)} {
		require.ErrorIs(t, r.Store(RunTimesKey("q"), text), cranfault.MatchKind(cranfault.Malformed))
	}
	require.Same(t, sound, r.RunTimes()["q"])
}
