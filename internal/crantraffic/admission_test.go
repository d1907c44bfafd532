package crantraffic

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// recordLatencies records enough samples of d for a latency estimate.
func recordLatencies(g *rig, d time.Duration) {
	s := g.proxy.state.Load().services[testService]
	for range minLatencySamples {
		s.recordLatency(d, time.Now())
	}
}

// TestDeadlineIsCheckedAtArrival checks that a request is refused at once if it
// would wait past its deadline, and is queued otherwise.
func TestDeadlineIsCheckedAtArrival(t *testing.T) {
	entered, proceed := make(chan struct{}, 3), make(chan struct{})
	g := newRig(t, newFakeSlots(1, "a"), map[string]string{
		"a": newTargetServer(t, func(w http.ResponseWriter, _ *http.Request) {
			entered <- struct{}{}
			<-proceed
			_, _ = io.WriteString(w, "done")
		}),
	})
	g.view(map[string]string{"a": g.proxy.targets[0].address}, time.Hour, nil)
	recordLatencies(g, 10*time.Second)
	replies := make(chan reply, 2)
	go func() { replies <- g.call("GET", "/s/orders/a", "", headerDeadline, "100000") }()
	<-entered
	for _, method := range []string{"GET", "POST"} {
		got := g.call(method, "/s/orders/a", "", headerKey, "k", headerDeadline, "15000")
		require.Equal(t, "notRun deadlineTooShort", got.outcome+" "+got.reason)
	}
	go func() { replies <- g.call("GET", "/s/orders/a", "", headerDeadline, "100000") }()
	require.Eventually(t, func() bool {
		return g.proxy.state.Load().groups[testGroup].queue.length.Load() == 1
	}, 5*time.Second, time.Millisecond)
	close(proceed)
	require.Equal(t, "done", (<-replies).body)
	require.Equal(t, "done", (<-replies).body)
}

// TestFastFailureHoldsSlot checks that a target that fails at once gets its
// next request no sooner than one that works.
func TestFastFailureHoldsSlot(t *testing.T) {
	slots := newFakeSlots(1, "a")
	g := newRig(t, slots, map[string]string{"a": newTargetServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	})})
	recordLatencies(g, time.Second)
	require.Equal(t, http.StatusInternalServerError, g.call("GET", "/s/orders/a", "").status)
	require.Zero(t, slots.freeOf("a"))
	require.Zero(t, g.proxy.InFlight("a"))
	require.Eventually(t, func() bool { return slots.freeOf("a") == 1 }, 5*time.Second, time.Millisecond)
}

// otherEntry is a PeerAnswers that has cached one answer.
type otherEntry struct{ key, claimer string }

func (o otherEntry) Lookup(_ context.Context, key, claimer string) (*Answer, bool) {
	return NewAnswer(201, http.Header{}, []byte("theirs")), key == o.key && claimer == o.claimer
}

// claimedElsewhere is a Claims that refuses every claim, and is itself the
// error that names the holder.
type claimedElsewhere struct{ error }

func (claimedElsewhere) Claimer() string { return "entry2" }

func (c claimedElsewhere) Unwrap() error { return c.error }

func (c claimedElsewhere) Claim(context.Context, string, uint64) (Grant, error) { return nil, c }

// TestAnswerFromPeer checks that the caller gets the answer cached by the entry
// that holds the claim.
func TestAnswerFromPeer(t *testing.T) {
	g := newRig(t, newFakeSlots(1, "a"), map[string]string{"a": newTargetServer(t, echoTarget)},
		WithPeerAnswers(otherEntry{testService + ":k", "entry2"}))
	g.proxy.claims = claimedElsewhere{cranfault.New(cranfault.AlreadyClaimed, "wait", "claimed")}
	got := g.call("POST", "/s/orders/a", "", headerKey, "k")
	require.Equal(t, "answered theirs", got.outcome+" "+got.body)
	got = g.call("POST", "/s/orders/a", "", headerKey, "other")
	require.Equal(t, "unknown alreadyClaimed", got.outcome+" "+got.reason)
}
