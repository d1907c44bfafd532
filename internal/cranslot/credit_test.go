package cranslot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAsksWithoutAnswerRunOutOfCredit(t *testing.T) {
	b := NewBroker("b")
	b.SetView(oneSlot(5, Owner{"a", 5}, 5, "a", "b", "c"))
	b.SetWaiting("web", 100)
	sent := 0
	const steps = 1000
	for i := range steps {
		b.Tick(time.Unix(1, 0).Add(time.Duration(i) * DefaultInterval))
		sent += len(b.TakeOutgoing())
	}
	require.Greater(t, sent, creditMost)
	require.LessOrEqual(t, sent, creditMost+askPeersMost*(1+steps/dryAskSteps))
}
