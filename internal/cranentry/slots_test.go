package cranentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// TestLooksAreNeverPutOff wakes the slot loop all the time: it looks at its
// timers at the short interval all the same.
func TestLooksAreNeverPutOff(t *testing.T) {
	var p slotPace
	now := time.Now()
	require.Equal(t, idleSlotTick, p.ticked(now), "nothing was ever to do")
	require.True(t, p.woken(now), "a resting loop looks at once")
	for range 1000 {
		require.False(t, p.woken(now), "a look that is planned stays where it is")
	}
	require.Equal(t, slotTick, p.ticked(now.Add(slotRest)))
	require.Equal(t, idleSlotTick, p.ticked(now.Add(slotRest+1)))
}

func TestWaitingRequestsWakeTheLoop(t *testing.T) {
	woken := 0
	w := wakingSlots{cranslot.NewBroker("e1"), func() { woken++ }}
	w.SetWaiting("roster", 0)
	require.Zero(t, woken)
	w.SetWaiting("roster", 1)
	require.Equal(t, 1, woken)
}
