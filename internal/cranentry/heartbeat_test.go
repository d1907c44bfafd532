package cranentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeartbeatAmongOtherRecords checks that an entry renews its lease even if it
// always has other records in flight, such as operator commands, and that at most
// one heartbeat is in flight while the log is unavailable.
func TestHeartbeatAmongOtherRecords(t *testing.T) {
	const every = time.Second
	now := time.Now()
	l := newLeaseState()
	l.lastHeartbeat = now.Add(-2 * every)
	require.True(t, l.heartbeatDue(now, every, 7), "only commands are in flight")
	l.pending[3] = renewal{sent: now, effects: true}
	require.True(t, l.heartbeatDue(now, every, 7), "only a renewal of the effects lease is in flight")
	l.pending[4] = renewal{sent: now}
	require.False(t, l.heartbeatDue(now, every, 7), "a heartbeat is in flight")
	require.True(t, l.heartbeatDue(now, every, 0), "the pending heartbeat is no longer in flight")
	l.lastHeartbeat = now
	require.False(t, l.heartbeatDue(now, every, 0), "the interval has not passed")
}
