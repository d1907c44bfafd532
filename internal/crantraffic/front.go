package crantraffic

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Proxy accepts requests from callers and forwards them to targets.
type Proxy[S Slot] struct {
	settings
	slots  SlotBroker[S]
	claims Claims
	echo   *echo.Echo
	state  atomic.Pointer[state[S]] // nil before the first view
	calls  *keyedCalls
	cache  *answerCache

	mu      sync.Mutex // guards targets, closing, closed and the publication of state
	targets []*target  // targets of the view, and earlier ones with exchanges in flight
	closing bool       // true: new requests are refused
	closed  bool       // true: no request is in progress or will start

	requests   sync.WaitGroup // requests of callers in progress
	background sync.WaitGroup // exchanges and their follow-up work
}

// state is a view with the targets, groups and services that belong to it. It
// is never changed once published.
type state[S Slot] struct {
	view     *View
	targets  map[string]*target
	groups   map[string]*group[S]
	services map[string]*serviceStats
}

// NewProxy returns a proxy. It refuses every request until the first SetView.
func NewProxy[S Slot](slots SlotBroker[S], claims Claims, options ...Option) *Proxy[S] {
	p := &Proxy[S]{
		settings: newSettings(options),
		slots:    slots,
		claims:   claims,
		echo:     echo.New(),
	}
	p.calls = newKeyedCalls()
	p.cache = newAnswerCache(p.cacheBytes, p.cacheTTL, p.now)
	p.echo.Any(servicePrefix+":service", p.handle)
	p.echo.Any(servicePrefix+":service/*", p.handle)
	p.echo.RouteNotFound("/*", p.notFound)
	return p
}

// Handler returns the HTTP handler for callers' requests.
func (p *Proxy[S]) Handler() http.Handler { return p.echo }

// SetView publishes a view. After it returns, no exchange begins to write
// unless the view allows it. It is called by the control goroutine.
func (p *Proxy[S]) SetView(v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.state.Load()
	next := &state[S]{
		view:     v,
		targets:  make(map[string]*target, len(v.instances)),
		groups:   make(map[string]*group[S]),
		services: make(map[string]*serviceStats, len(v.routes)),
	}
	for _, i := range v.instances {
		next.targets[i.id] = p.targetFor(old, i)
	}
	for _, r := range v.routes {
		next.groups[r.group] = p.groupFor(old, r.group)
		next.services[r.service] = p.serviceFor(old, r.service)
	}
	p.state.Store(next)
	for _, g := range next.groups {
		g.setMembers(v)
	}
	p.prune(next)
	if p.closed {
		return
	}
	for _, g := range next.groups {
		g.queue.dispatchAsync(&p.background)
	}
}

// targetFor returns the target of the instance. It reuses the old target if the
// address hasn't changed.
func (p *Proxy[S]) targetFor(old *state[S], i Instance) *target {
	if old != nil {
		if t, ok := old.targets[i.id]; ok && t.address == i.address {
			t.conns.setLimit(i.connections)
			return t
		}
	}
	t := newTarget(i, p.dialTimeout)
	p.targets = append(p.targets, t)
	return t
}

func (p *Proxy[S]) groupFor(old *state[S], name string) *group[S] {
	if old != nil {
		if g, ok := old.groups[name]; ok {
			return g
		}
	}
	return newGroup(p, name)
}

func (p *Proxy[S]) serviceFor(old *state[S], name string) *serviceStats {
	if old != nil {
		if s, ok := old.services[name]; ok {
			return s
		}
	}
	return newServiceStats(p.now(), p.retries)
}

// prune removes the targets that are not in the state and have no exchange in
// flight.
func (p *Proxy[S]) prune(s *state[S]) {
	kept := p.targets[:0]
	for _, t := range p.targets {
		if s.targets[t.id] == t {
			kept = append(kept, t)
			continue
		}
		t.closeIdle()
		if t.inFlight.Load() > 0 {
			kept = append(kept, t)
		}
	}
	clear(p.targets[len(kept):])
	p.targets = kept
}

// InFlight returns the number of exchanges with the instance that have begun
// and may not have ended. After SetView has closed the instance, the number
// only falls, except for exchanges that the guard refuses before their first
// write.
func (p *Proxy[S]) InFlight(instance string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, t := range p.targets {
		if t.id == instance {
			n += int(t.inFlight.Load())
		}
	}
	return n
}

// SlotFreed notifies the proxy that a slot of the group may be free. It calls
// the slot broker only from another goroutine, so it may be called while the
// broker's lock is held.
func (p *Proxy[S]) SlotFreed(group string) {
	s := p.state.Load()
	if s == nil {
		return
	}
	g, ok := s.groups[group]
	if !ok || g.queue.length.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		g.queue.dispatchAsync(&p.background)
	}
}

// CachedAnswer returns the cached answer to a non-idempotent request, for
// another entry that asks for it. The key is the one that was passed to Claims.
func (p *Proxy[S]) CachedAnswer(key string) (*Answer, bool) {
	cached := p.cache.get(key)
	if cached == nil || cached.answer == nil {
		return nil, false
	}
	return cached.answer, true
}

// Close refuses new requests with notRun. It waits until all requests in
// progress have their outcome and every exchange has ended, then closes the
// connections.
func (p *Proxy[S]) Close() error {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.requests.Wait()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.background.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		t.conns.waitUntilEmpty(p.dialTimeout+lingerTime, t.closeIdle)
	}
	return nil
}

// beginRequest registers a request, or returns a fault if the proxy is closing
// or has no view.
func (p *Proxy[S]) beginRequest() *cranfault.Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return cranfault.New(cranfault.NotReady, "send the request to another entry",
			"this entry is stopping")
	}
	if p.state.Load() == nil {
		return cranfault.New(cranfault.NotReady, "send the request to another entry",
			"this entry has no configuration yet")
	}
	p.requests.Add(1)
	return nil
}
