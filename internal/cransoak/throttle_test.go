package cransoak

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestThrottleStopsProcessThatHasUsedItsQuota(t *testing.T) {
	start := time.Now()
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	th := &throttle{quota: 20 * time.Millisecond, periodEnd: start}
	require.False(t, th.update(after(0), 0))
	require.False(t, th.update(after(50), 19*time.Millisecond))
	require.True(t, th.update(after(52), 25*time.Millisecond))
	require.True(t, th.update(after(99), 25*time.Millisecond))
	require.False(t, th.update(after(100), 25*time.Millisecond))
	require.True(t, th.update(after(120), 40*time.Millisecond), "15 ms are left of the second quota")
	require.False(t, th.update(after(990), 40*time.Millisecond))
	require.True(t, th.update(after(991), 60*time.Millisecond), "unused quotas don't add up")
	require.True(t, th.update(after(992), 900*time.Millisecond))
	require.True(t, th.update(after(1000), 900*time.Millisecond), "one quota is deducted")
	require.False(t, th.update(after(1100), 900*time.Millisecond))
}

func TestProcessorTime(t *testing.T) {
	before, err := processorTime(os.Getpid())
	require.NoError(t, err)
	for start := time.Now(); time.Since(start) < 20*time.Millisecond; {
		_ = start
	}
	used, err := processorTime(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, used-before, time.Millisecond)
}
