package cranledger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCompletedAtIsEndOfLastTask guards against jobs that count as completed while a task is missing, or whose completion
// moves when a task that is done ends again.
func TestCompletedAtIsEndOfLastTask(t *testing.T) {
	l := newLedger()
	for i, task := range []string{"a.0.0.0", "a.0.0.1"} {
		_, completed := l.CompletedAt("a")
		require.False(t, completed)
		begin(l, task, 100*i)
		l.RecordEnd(task, "t", "stopped", after(100*i+50))
		_, completed = l.CompletedAt("a")
		require.False(t, completed)
		l.RecordEnd(task, "t", "done", after(1000*(i+1)))
	}
	l.RecordEnd("a.0.0.0", "t", "done", after(9000))
	at, completed := l.CompletedAt("a")
	require.True(t, completed)
	require.Equal(t, after(2000), at)
}
