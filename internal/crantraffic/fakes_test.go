package crantraffic

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

const (
	testService = "orders"
	testGroup   = "pool"
)

// testSlot is a slot of a fakeSlots.
type testSlot string

func (s testSlot) Instance() string { return string(s) }

// fakeSlots holds a fixed number of slots for each instance, in one group.
type fakeSlots struct {
	mu      sync.Mutex
	order   []string
	free    map[string]int
	waiting int
	notify  func(group string)
}

func newFakeSlots(each int, instances ...string) *fakeSlots {
	s := &fakeSlots{order: instances, free: make(map[string]int), notify: func(string) {}}
	for _, i := range instances {
		s.free[i] = each
	}
	return s
}

func (s *fakeSlots) TryAcquire(_ string, avoid func(string) bool) (testSlot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.order {
		if s.free[i] > 0 && !avoid(i) {
			s.free[i]--
			return testSlot(i), true
		}
	}
	return "", false
}

func (s *fakeSlots) Release(slot testSlot) { s.releaseSlot(string(slot)) }

// releaseSlot frees a slot and notifies the proxy while the lock is held, as a
// slot broker may do.
func (s *fakeSlots) releaseSlot(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free[instance]++
	s.notify(testGroup)
}

func (s *fakeSlots) SetWaiting(_ string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = n
}

func (s *fakeSlots) freeOf(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free[instance]
}

// fakeClaims accepts the first claim of each key.
type fakeClaims struct {
	mu       sync.Mutex
	state    map[string]string // by key: claimed, released or an outcome
	fail     *cranfault.Fault  // fault that refuses every claim, if set
	unusable bool              // true: grants are not usable
}

func newFakeClaims() *fakeClaims { return &fakeClaims{state: make(map[string]string)} }

type fakeGrant struct {
	claims *fakeClaims
	key    string
}

func (c *fakeClaims) Claim(_ context.Context, key string, _ uint64) (Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail != nil {
		return nil, c.fail
	}
	if s := c.state[key]; s != "" && s != "released" {
		return nil, cranfault.New(cranfault.AlreadyClaimed, "ask for the outcome", "the key is claimed")
	}
	c.state[key] = "claimed"
	return fakeGrant{c, key}, nil
}

func (c *fakeClaims) stateOf(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state[testService+":"+key]
}

func (g fakeGrant) set(s string) {
	g.claims.mu.Lock()
	defer g.claims.mu.Unlock()
	g.claims.state[g.key] = s
}

func (g fakeGrant) Usable() bool                               { return !g.claims.unusable }
func (g fakeGrant) Release(context.Context)                    { g.set("released") }
func (g fakeGrant) RecordOutcome(_ context.Context, v Outcome) { g.set(string(v)) }

// rig is a proxy with fake dependencies that listens on a real socket.
type rig struct {
	t             *testing.T
	proxy         *Proxy[testSlot]
	slots         *fakeSlots
	claims        *fakeClaims
	server        *httptest.Server
	mu            sync.Mutex // guards the fields below
	allowedStarts int        // calls of checkMayStart that still succeed
	startFault    error      // what checkMayStart returns after these
}

// newRig starts a proxy for targets with the given addresses, by instance id.
func newRig(t *testing.T, slots *fakeSlots, addresses map[string]string, options ...Option) *rig {
	g := &rig{t: t, slots: slots, claims: newFakeClaims()}
	g.proxy = NewProxy[testSlot](slots, g.claims, options...)
	slots.notify = g.proxy.SlotFreed
	g.view(addresses, 2*time.Second, nil)
	g.server = httptest.NewServer(g.proxy.Handler())
	t.Cleanup(func() {
		g.server.Close()
		require.NoError(t, g.proxy.Close())
	})
	return g
}

// view publishes a view in which the named instances are closed.
func (g *rig) view(addresses map[string]string, maxDuration time.Duration, closed map[string]bool) {
	var instances []Instance
	for id, a := range addresses {
		instances = append(instances, NewInstance(id, a, testGroup, 8, !closed[id]))
	}
	routes := []Route{NewRoute(testService, testGroup, maxDuration, 4)}
	g.proxy.SetView(NewView(routes, instances, func() error {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.allowedStarts > 0 {
			g.allowedStarts--
			return nil
		}
		return g.startFault
	}))
}

// job returns a job as the handler builds it.
func (g *rig) job(method string) *job[testSlot] {
	st := g.proxy.state.Load()
	route, _ := st.view.Route(testService)
	return &job[testSlot]{
		request: &request{
			route:      route,
			method:     method,
			header:     http.Header{},
			idempotent: method == http.MethodGet,
			key:        "k",
			deadline:   time.Now().Add(time.Minute),
		},
		proxy:   g.proxy,
		group:   st.groups[testGroup],
		service: st.services[testService],
	}
}

// setStartFault makes checkMayStart return err after the given number of
// successful calls.
func (g *rig) setStartFault(err error, allowed int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startFault, g.allowedStarts = err, allowed
}

// reply is the response that a caller got.
type reply struct {
	status  int
	outcome string
	reason  string
	header  http.Header
	body    string
	err     error // error of reading the body
}

// call sends one request. The header is a list of alternating names and values.
func (g *rig) call(method, path, body string, header ...string) reply {
	return callAt(g.t, g.server.URL, method, path, body, header...)
}

func callAt(t *testing.T, base, method, path, body string, header ...string) reply {
	req, err := http.NewRequest(method, base+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return reply{
		status:  res.StatusCode,
		outcome: res.Header.Get(headerOutcome),
		reason:  res.Header.Get(headerReason),
		header:  res.Header,
		body:    string(b),
		err:     err,
	}
}

// newTargetServer runs a handler as a target and returns its address.
func newTargetServer(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
