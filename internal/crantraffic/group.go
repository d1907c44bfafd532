package crantraffic

import (
	"sync/atomic"
	"time"
)

// group is the proxy's state for one pool. It is kept when the view changes.
type group[S Slot] struct {
	proxy  *Proxy[S]
	name   string
	queue  *queue[S]
	health *locked[*ejector[string]]
	inUse  atomic.Int64 // slots held by exchanges
}

func newGroup[S Slot](p *Proxy[S], name string) *group[S] {
	g := &group[S]{proxy: p, name: name, health: newLocked(newEjector[string]())}
	g.queue = newQueue(p.slots, name, g.avoid)
	return g
}

// setMembers tells the ejector which instances the pool has.
func (g *group[S]) setMembers(v *View) {
	var ids []string
	for id, i := range v.instances {
		if i.group == g.name {
			ids = append(ids, id)
		}
	}
	g.health.update(func(e *ejector[string]) { e.setMembers(ids) })
}

// avoid reports whether new requests must not go to the instance.
func (g *group[S]) avoid(id string) bool {
	if !g.proxy.state.Load().view.accepts(g.name, id) {
		return true
	}
	now := g.proxy.now()
	return !query(g.health, func(e *ejector[string]) bool { return e.allows(id, now) })
}

// avoidAlso returns a function that avoids the given instances as well.
func (g *group[S]) avoidAlso(tried []string) func(string) bool {
	if len(tried) == 0 {
		return g.avoid
	}
	return func(id string) bool {
		for _, t := range tried {
			if t == id {
				return true
			}
		}
		return g.avoid(id)
	}
}

// retrySlot returns a free slot for another attempt. It prefers instances that
// have not been tried.
func (g *group[S]) retrySlot(tried []string) (S, bool) {
	if s, ok := g.queue.tryAcquire(g.avoidAlso(tried)); ok {
		return s, true
	}
	return g.queue.tryAcquire(g.avoid)
}

// beginRequest records a request to the instance, and returns whether it is a
// probe.
func (g *group[S]) beginRequest(id string) bool {
	g.inUse.Add(1)
	return query(g.health, func(e *ejector[string]) bool { return e.beginRequest(id) })
}

// release returns a slot and dispatches free slots to waiting requests.
func (g *group[S]) release(slot S) {
	g.inUse.Add(-1)
	g.proxy.slots.Release(slot)
	g.queue.dispatch()
}

// observe reports the result of a request to the ejector. If the instance must
// not be used for a while, it dispatches free slots again after that time.
func (g *group[S]) observe(id string, h health, probe bool) {
	now := g.proxy.now()
	retryAt := query(g.health, func(e *ejector[string]) time.Time {
		return e.observe(id, h, probe, now)
	})
	if retryAt.After(now) {
		time.AfterFunc(retryAt.Sub(now), func() { g.proxy.SlotFreed(g.name) })
	}
}
