package cranentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeartbeatAmongOtherRecords renews the lease of an entry that always has
// records in flight, such as commands of an operator, and keeps at most one
// heartbeat waiting while the log is down.
func TestHeartbeatAmongOtherRecords(t *testing.T) {
	const every = time.Second
	now := time.Now()
	b := newBeats()
	b.last = now.Add(-2 * every)
	require.True(t, b.due(now, every, 7), "commands are in flight")
	b.pending[3] = renewal{sent: now, effects: true}
	require.True(t, b.due(now, every, 7), "a renewal of the other lease is in flight")
	b.pending[4] = renewal{sent: now}
	require.False(t, b.due(now, every, 7), "a heartbeat is in flight")
	require.True(t, b.due(now, every, 0), "the heartbeat was passed over")
	b.last = now
	require.False(t, b.due(now, every, 0), "it is too early")
}
