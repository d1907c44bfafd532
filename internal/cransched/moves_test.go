package cransched

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMovesUseRateOfPlatform checks that a planning round orders as many moves as the platform
// accepts in the time until the next one, and some when the rate is low or unknown.
func TestMovesUseRateOfPlatform(t *testing.T) {
	for rate, want := range map[float64]int{0: 6, 1: 1, 64: 6, 215: 20} {
		s := &Scheduler{timing: Timing{OrdersPerSecond: rate}}
		require.Equal(t, want, s.maxMovesPerPlan(), rate)
	}
}
