package cranentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// TestWakingNeverDelaysTicks wakes the slot pacer continuously, as under load, and
// checks that the scheduled tick stays where it is.
func TestWakingNeverDelaysTicks(t *testing.T) {
	var p slotPacer
	now := time.Now()
	require.Equal(t, idleSlotTick, p.nextInterval(now), "no activity so far")
	require.True(t, p.wake(now), "an idle loop ticks at once")
	for range 1000 {
		require.False(t, p.wake(now), "a scheduled tick is not moved")
	}
	require.Equal(t, slotTick, p.nextInterval(now.Add(slotIdleAfter)))
	require.Equal(t, idleSlotTick, p.nextInterval(now.Add(slotIdleAfter+1)))
}

func TestWaitingRequestsWakeSlotLoop(t *testing.T) {
	woken := 0
	w := wakingBroker{cranslot.NewBroker("e1"), func() { woken++ }}
	w.SetWaiting("roster", 0)
	require.Zero(t, woken)
	w.SetWaiting("roster", 1)
	require.Equal(t, 1, woken)
}
