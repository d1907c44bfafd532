package crantraffic

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// session records what callers and targets see.
type session struct {
	rig *rig
	out strings.Builder
	mu  sync.Mutex // guards runs
	// runs lists the runs at the targets since the last call.
	runs []string
}

// target returns a handler that runs requests as their path specifies.
func (s *session) target(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.runs = append(s.runs, fmt.Sprintf("%s runs %s %s %q key %q", id, r.Method, r.URL, body, r.Header.Get(headerKey)))
		s.mu.Unlock()
		switch r.URL.Path {
		case "/run/failsAtA":
			if id == "a" {
				http.Error(w, "failed", http.StatusInternalServerError)
				return
			}
		case "/run/cut":
			panic(http.ErrAbortHandler)
		case "/run/never":
			w.Header().Set(headerNever, "needs 4 accelerators")
			w.WriteHeader(http.StatusUnprocessableEntity)
			return
		}
		_, _ = fmt.Fprintf(w, "done by %s", id)
	}
}

func (s *session) title(text string) { s.out.WriteString("# " + text + "\n\n") }

// call sends a request and records the runs and the response.
func (s *session) call(method, path, body string, header ...string) {
	_, _ = fmt.Fprintf(&s.out, "> %s %s %q %q\n", method, path, body, header)
	got := s.rig.call(method, path, body, header...)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		_, _ = fmt.Fprintf(&s.out, "  %s\n", r)
	}
	s.runs = nil
	_, _ = fmt.Fprintf(&s.out, "< %d", got.status)
	for _, name := range []string{headerOutcome, headerReason, "Retry-After", headerNever} {
		if v := got.header.Get(name); v != "" {
			_, _ = fmt.Fprintf(&s.out, " %s: %s", name, v)
		}
	}
	_, _ = fmt.Fprintf(&s.out, "\n%s\n\n", strings.TrimSpace(got.body))
}

// TestSession records a complete session of one entry, as callers and targets
// see it.
func TestSession(t *testing.T) {
	s := &session{}
	addresses := map[string]string{
		"a": newTargetServer(t, s.target("a")),
		"b": newTargetServer(t, s.target("b")),
	}
	slots := newFakeSlots(1, "a", "b")
	s.rig = newRig(t, slots, addresses)
	free := func() {
		require.Eventually(t, func() bool { return slots.freeOf("a")+slots.freeOf("b") == 2 }, time.Second, time.Millisecond)
	}

	s.title("Requests are answered, and the answer to a key is cached")
	s.call("GET", "/s/orders/items?age=8", "")
	s.call("POST", "/s/orders/create", "item 7", headerKey, "k1")
	s.call("POST", "/s/orders/create", "item 7", headerKey, "k1")
	s.call("POST", "/s/orders/create", "item 8", headerKey, "k1")

	s.title("Malformed requests and an unknown service")
	s.call("GET", "/s/others/", "")
	s.call("GET", "/s/orders/../admin", "")
	s.call("POST", "/s/orders/create", "", headerDeadline, "-1")

	s.title("Instance a fails: an idempotent request is retried, a non-idempotent one is not")
	s.call("PUT", "/s/orders/failsAtA", "item 3")
	s.call("POST", "/s/orders/failsAtA", "item 3", headerKey, "k2")
	s.call("POST", "/s/orders/failsAtA", "item 3", headerIdempotent, "true")

	s.title("The connection is lost after the request was sent")
	s.rig.view(addresses, 20*time.Millisecond, nil)
	s.call("POST", "/s/orders/cut", "item 9", headerKey, "k3")
	free()
	s.rig.view(addresses, 2*time.Second, nil)
	s.call("POST", "/s/orders/cut", "item 9", headerKey, "k3")

	s.title("A request that no instance can run")
	s.call("GET", "/s/orders/never", "")

	s.title("Both instances are closed")
	s.rig.view(addresses, 2*time.Second, map[string]bool{"a": true, "b": true})
	s.call("GET", "/s/orders/items", "", headerDeadline, "200")
	s.rig.view(addresses, 2*time.Second, nil)

	s.title("The log is unreachable")
	s.rig.claims.fail = cranfault.New(cranfault.LogUnavailable, "try again later with the same key", "the log can't be reached")
	s.call("POST", "/s/orders/create", "item 10", headerKey, "k4")
	s.call("GET", "/s/orders/items", "")

	s.title("The entry is isolated")
	s.rig.setStartFault(cranfault.New(cranfault.Isolated, "ask another entry", "neither the log nor a peer can be reached"), 0)
	s.call("GET", "/s/orders/items", "")
	s.rig.setStartFault(nil, 0)

	s.title("The entry is stopping")
	free()
	require.NoError(t, s.rig.proxy.Close())
	s.call("GET", "/s/orders/items", "")

	goldie.New(t).Assert(t, "session", []byte(s.out.String()))
}
