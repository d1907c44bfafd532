package crantraffic

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// TestLateRequestIsNotSent runs requests to a service whose median latency is
// ten minutes. A request that has waited until less time is left isn't sent. A
// request that had less time on arrival is sent.
func TestLateRequestIsNotSent(t *testing.T) {
	var ran atomic.Int64
	address := newTargetServer(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	g := newRig(t, newFakeSlots(8, "a"), map[string]string{"a": address})
	for range minLatencySamples {
		g.job("GET").service.recordLatency(10*time.Minute, time.Now())
	}
	cases := []struct {
		timeout, left time.Duration
		sent          bool
	}{
		{30 * time.Minute, 20 * time.Minute, true},
		{30 * time.Minute, 5 * time.Minute, false},
		{5 * time.Minute, 5 * time.Minute, true},
		{5 * time.Minute, time.Minute, true},
	}
	for _, method := range []string{"GET", "POST"} {
		for _, c := range cases {
			ran.Store(0)
			j := g.job(method)
			j.timeout, j.deadline = c.timeout, time.Now().Add(c.left)
			x := j.start("a", nil, false)
			<-x.done
			require.Equal(t, c.sent, x.result.written, c)
			if c.sent {
				require.Equal(t, int64(1), ran.Load())
				continue
			}
			require.Zero(t, ran.Load())
			end := classify(x)
			require.Equal(t, NotRun, end.result.outcome)
			require.Equal(t, cranfault.DeadlineTooShort, end.result.reason())
			require.Empty(t, end.retryReason)
			require.Equal(t, healthNeutral, healthOf(x))
		}
	}
}
