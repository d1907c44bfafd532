package cranslot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUnansweredAsksAreLimitedByCredit(t *testing.T) {
	b := NewBroker("b")
	b.SetView(oneSlot(5, Owner{"a", 5}, 5, "a", "b", "c"))
	b.SetWaiting("web", 100)
	sent := 0
	const steps = 1000
	for i := range steps {
		b.Tick(time.Unix(1, 0).Add(time.Duration(i) * DefaultInterval))
		sent += len(b.TakeOutgoing())
	}
	require.Greater(t, sent, maxCredit)
	require.LessOrEqual(t, sent, maxCredit+maxPeersAsked*(1+steps/noCreditAskSteps))
}
