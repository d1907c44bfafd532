package crantraffic

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Proxy serves callers and sends their requests to targets.
type Proxy[S Slot] struct {
	settings
	slots  SlotBroker[S]
	claims Claims
	echo   *echo.Echo
	state  atomic.Pointer[state[S]] // nil before the first view
	keyed  *keyedCalls
	kept   *keptAnswers

	mu      sync.Mutex // held by Close, SetView and enter
	targets []*target  // those of the view, and those with exchanges in flight
	closing bool       // true: no new request is taken
	closed  bool       // true: no request is in progress, and none will be

	calls   sync.WaitGroup // requests of callers in progress
	threads sync.WaitGroup // exchanges, and what follows them
}

// state is a view with what the traffic threads need beside it. It is never
// changed once published.
type state[S Slot] struct {
	view     *View
	targets  map[string]*target
	groups   map[string]*group[S]
	services map[string]*service
}

// NewProxy returns a front. It refuses every request until the first SetView.
func NewProxy[S Slot](slots SlotBroker[S], claims Claims, options ...Option) *Proxy[S] {
	f := &Proxy[S]{
		settings: newSettings(options),
		slots:    slots,
		claims:   claims,
		echo:     echo.New(),
	}
	f.keyed = newKeyedCalls()
	f.kept = newKeptAnswers(f.keepBytes, f.keepFor, f.now)
	f.echo.Any(servicePrefix+":service", f.handle)
	f.echo.Any(servicePrefix+":service/*", f.handle)
	f.echo.RouteNotFound("/*", f.notFound)
	return f
}

// Handler returns the handler for callers' requests.
func (f *Proxy[S]) Handler() http.Handler { return f.echo }

// SetView publishes a view. Once it has returned, no exchange begins to write
// that the view doesn't allow. It is called by the control thread.
func (f *Proxy[S]) SetView(v *View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.state.Load()
	next := &state[S]{
		view:     v,
		targets:  make(map[string]*target, len(v.instances)),
		groups:   make(map[string]*group[S]),
		services: make(map[string]*service, len(v.routes)),
	}
	for _, i := range v.instances {
		next.targets[i.id] = f.targetFor(old, i)
	}
	for _, r := range v.routes {
		next.groups[r.group] = f.groupFor(old, r.group)
		next.services[r.service] = f.serviceFor(old, r.service)
	}
	f.state.Store(next)
	for _, g := range next.groups {
		g.setMembers(v)
	}
	f.prune(next)
	if f.closed {
		return
	}
	for _, g := range next.groups {
		g.queue.pumpSoon(&f.threads)
	}
}

// targetFor returns the target of the instance, the same as before if its
// address hasn't changed.
func (f *Proxy[S]) targetFor(old *state[S], i Instance) *target {
	if old != nil {
		if t, ok := old.targets[i.id]; ok && t.address == i.address {
			t.conns.setLimit(i.connections)
			return t
		}
	}
	t := newTarget(i, f.dialTimeout)
	f.targets = append(f.targets, t)
	return t
}

func (f *Proxy[S]) groupFor(old *state[S], name string) *group[S] {
	if old != nil {
		if g, ok := old.groups[name]; ok {
			return g
		}
	}
	return newGroup(f, name)
}

func (f *Proxy[S]) serviceFor(old *state[S], name string) *service {
	if old != nil {
		if s, ok := old.services[name]; ok {
			return s
		}
	}
	return newService(f.now(), f.retries)
}

// prune forgets the targets that the state doesn't know and on which nothing
// is in flight.
func (f *Proxy[S]) prune(s *state[S]) {
	kept := f.targets[:0]
	for _, t := range f.targets {
		if s.targets[t.id] == t {
			kept = append(kept, t)
			continue
		}
		t.closeIdle()
		if t.inFlight.Load() > 0 {
			kept = append(kept, t)
		}
	}
	clear(f.targets[len(kept):])
	f.targets = kept
}

// InFlight returns how many exchanges with the instance have begun and are not
// known to have ended. Once SetView has closed the instance, the number only
// falls, but for exchanges that the guard refuses before their first write.
func (f *Proxy[S]) InFlight(instance string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.targets {
		if t.id == instance {
			n += int(t.inFlight.Load())
		}
	}
	return n
}

// SlotFreed tells the front that a slot of the group may be free. It may be
// called under the caller's locks.
func (f *Proxy[S]) SlotFreed(group string) {
	s := f.state.Load()
	if s == nil {
		return
	}
	g, ok := s.groups[group]
	if !ok || g.queue.length.Load() == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		g.queue.pumpSoon(&f.threads)
	}
}

// CachedAnswer returns the kept answer to the non-idempotent request with the key,
// for another entry that was asked for it. The key is the one that was given
// to Claims.
func (f *Proxy[S]) CachedAnswer(key string) (*Answer, bool) {
	kept := f.kept.get(key)
	if kept == nil || kept.answer == nil {
		return nil, false
	}
	return kept.answer, true
}

// Close refuses new requests with notRun, waits until those in progress have
// their outcome and every exchange has ended, and closes the connections.
func (f *Proxy[S]) Close() error {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	f.calls.Wait()
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.threads.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		t.conns.empty(f.dialTimeout+lingerTime, t.closeIdle)
	}
	return nil
}

// enter counts a request in, unless the front is closing.
func (f *Proxy[S]) enter() *cranfault.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing {
		return cranfault.New(cranfault.NotReady, "send the request to another entry",
			"this entry is stopping")
	}
	if f.state.Load() == nil {
		return cranfault.New(cranfault.NotReady, "send the request to another entry",
			"this entry has no configuration yet")
	}
	f.calls.Add(1)
	return nil
}
