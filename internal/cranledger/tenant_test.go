package cranledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCapOfTenant guards against a ledger that misses a start beyond the cap of a tenant, or that
// counts a cap before it must be in effect.
func TestCapOfTenant(t *testing.T) {
	const bound = 2 * time.Second
	l, now := New(), time.Unix(1000, 0)
	start := func(n int) {
		name := fmt.Sprintf("j%d", n)
		l.ExpectJob(name, "", 1, false)
		l.SetTenant(name, "a", 500)
		l.RecordStart(Start{Task: name + ".0.0.0", Target: "t", At: now})
	}
	l.SetCap("a", 5000, now, bound)
	for n := range 12 {
		start(n)
	}
	require.Empty(t, l.Violations(), "a tenth and one task beyond the cap are allowed")
	l.SetCap("a", 1000, now, bound)
	l.RecordEnd("j0.0.0.0", "t", "done", now)
	now = now.Add(bound)
	start(12)
	require.Empty(t, l.Violations(), "the higher cap may be in effect")
	l.RecordEnd("j1.0.0.0", "t", "done", now)
	now = now.Add(time.Millisecond)
	start(13)
	require.Len(t, l.Violations(), 1)
	l.SetCap("a", 0, now, bound)
	start(14)
	require.Len(t, l.Violations(), 1, "the tenant has no cap any more")
}
