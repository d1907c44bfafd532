package crantraffic

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// echoTarget answers with the method, path and body of the request.
func echoTarget(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set("X-Seen-Key", r.Header.Get(headerKey))
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL, body)
}

func TestForward(t *testing.T) {
	slots := newFakeSlots(1, "a")
	g := newRig(t, slots, map[string]string{"a": newTargetServer(t, echoTarget)})

	got := g.call("GET", "/s/orders/items/7?x=%20", "")
	require.Equal(t, http.StatusCreated, got.status)
	require.Equal(t, "answered", got.outcome)
	require.Equal(t, "GET /run/items/7?x=%20 ", got.body)
	require.Empty(t, got.header.Get("X-Seen-Key"))

	got = g.call("POST", "/s/orders/create", "item", headerKey, "k1")
	require.Equal(t, "POST /run/create item", got.body)
	require.Equal(t, "k1", got.header.Get("X-Seen-Key"))
	require.Eventually(t, func() bool { return g.claims.stateOf("k1") == "answered" }, time.Second, time.Millisecond)

	again := g.call("POST", "/s/orders/create", "item", headerKey, "k1")
	require.Equal(t, got.body, again.body)
	require.Equal(t, "answered", again.outcome)
	require.Equal(t, 1, slots.freeOf("a"))
}

func TestRefusals(t *testing.T) {
	slots := newFakeSlots(0, "a")
	g := newRig(t, slots, map[string]string{"a": newTargetServer(t, echoTarget)}, WithBodyLimit(10))
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		reason                   cranfault.Kind
	}{
		{"unknown service", "GET", "/s/nothing/", "", nil, 404, cranfault.UnknownService},
		{"unknown path", "GET", "/other", "", nil, 404, cranfault.UnknownService},
		{"dot segment", "GET", "/s/orders/a/%2e%2E/b", "", nil, 400, cranfault.Malformed},
		{"method", "TRACE", "/s/orders/a", "", nil, 400, cranfault.Malformed},
		{"deadline", "GET", "/s/orders/a", "", []string{headerDeadline, "soon"}, 400, cranfault.Malformed},
		{"idempotent", "POST", "/s/orders/a", "", []string{headerIdempotent, "perhaps"}, 400, cranfault.Malformed},
		{"key", "POST", "/s/orders/a", "", []string{headerKey, "a b"}, 400, cranfault.Malformed},
		{"body", "PUT", "/s/orders/a", "eleven byte", nil, 413, cranfault.TooLarge},
		{"no slot", "GET", "/s/orders/a", "", []string{headerDeadline, "200"}, 503, cranfault.Timeout},
		{"no slot, claimed", "POST", "/s/orders/a", "", []string{headerDeadline, "200", headerKey, "k"}, 503, cranfault.Timeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := g.call(c.method, c.path, c.body, c.header...)
			require.Equal(t, c.status, got.status, got.body)
			require.Equal(t, "notRun", got.outcome)
			require.Equal(t, string(c.reason), got.reason)
			require.Contains(t, got.body, `"remedy":"`)
		})
	}
	require.Eventually(t, func() bool { return g.claims.stateOf("k") == "released" }, time.Second, time.Millisecond)
}

func TestCloseWaitsAndRefuses(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	target := newTargetServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-proceed
		_, _ = io.WriteString(w, "whole")
	})
	g := newRig(t, newFakeSlots(1, "a"), map[string]string{"a": target})
	first := make(chan reply)
	go func() { first <- g.call("POST", "/s/orders/a", "") }()
	<-entered
	require.Equal(t, 1, g.proxy.InFlight("a"))
	closed := make(chan error)
	go func() { closed <- g.proxy.Close() }()
	require.Eventually(t, func() bool {
		return g.call("GET", "/s/orders/a", "").reason == string(cranfault.NotReady)
	}, time.Second, time.Millisecond)
	select {
	case err := <-closed:
		t.Fatal("Close returned with a request in progress", err)
	default:
	}
	close(proceed)
	require.Equal(t, "whole", (<-first).body)
	require.NoError(t, <-closed)
	require.Zero(t, g.proxy.InFlight("a"))
}

func TestGuardRefusesBeforeTheFirstWrite(t *testing.T) {
	runs := 0
	target := newTargetServer(t, func(http.ResponseWriter, *http.Request) { runs++ })
	addresses := map[string]string{"a": target}
	g := newRig(t, newFakeSlots(1, "a"), addresses)

	isolated := cranfault.New(cranfault.Isolated, "ask another entry", "neither the log nor a peer can be reached")
	for _, method := range []string{"GET", "POST"} {
		for allow := range 2 { // refused on arrival, and right before the send
			require.Empty(t, g.claims.stateOf("k1"))
			g.setStartFault(isolated, allow)
			got := g.call(method, "/s/orders/a", "", headerKey, "k1")
			require.Equal(t, "notRun isolated", got.outcome+" "+got.reason)
		}
	}
	require.Eventually(t, func() bool { return g.claims.stateOf("k1") == "released" }, time.Second, time.Millisecond)

	g.setStartFault(nil, 0)
	g.claims.unusable = true
	got := g.call("POST", "/s/orders/a", "", headerKey, "k2")
	require.Equal(t, "notRun leaseLost", got.outcome+" "+got.reason)

	g.view(addresses, time.Second, map[string]bool{"a": true})
	x := g.job("GET").start("a", nil, false)
	<-x.done
	require.Equal(t, cranfault.NoTarget, cranfault.KindOf(x.result.err))
	require.False(t, x.result.written)
	got = g.call("GET", "/s/orders/a", "", headerDeadline, "200")
	require.Equal(t, "notRun timeout", got.outcome+" "+got.reason)
	require.Zero(t, runs)
}
