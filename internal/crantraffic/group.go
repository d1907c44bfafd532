package crantraffic

import (
	"sync/atomic"
	"time"
)

// group is what a front has of one pool. It outlives views.
type group[S Slot] struct {
	front  *Proxy[S]
	name   string
	queue  *queue[S]
	health *locked[*ejector[string]]
	inUse  atomic.Int64 // slots that exchanges hold
}

func newGroup[S Slot](f *Proxy[S], name string) *group[S] {
	g := &group[S]{front: f, name: name, health: newLocked(newEjector[string]())}
	g.queue = newQueue(f.slots, name, g.avoid)
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
	g.health.with(func(e *ejector[string]) { e.setMembers(ids) })
}

// avoid reports whether new sends must not go to the instance.
func (g *group[S]) avoid(id string) bool {
	if !g.front.state.Load().view.accepts(g.name, id) {
		return true
	}
	now := g.front.now()
	return !ask(g.health, func(e *ejector[string]) bool { return e.allows(id, now) })
}

// avoiding returns avoid with more instances to leave out.
func (g *group[S]) avoiding(tried []string) func(string) bool {
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

// retrySlot returns a free slot for another attempt, rather of an instance that
// hasn't been tried.
func (g *group[S]) retrySlot(tried []string) (S, bool) {
	if s, ok := g.queue.try(g.avoiding(tried)); ok {
		return s, true
	}
	return g.queue.try(g.avoid)
}

// begin notes a request to the instance, and returns whether it is a probe.
func (g *group[S]) begin(id string) bool {
	g.inUse.Add(1)
	return ask(g.health, func(e *ejector[string]) bool { return e.begin(id) })
}

// release gives a slot back and hands out what is free.
func (g *group[S]) release(slot S) {
	g.inUse.Add(-1)
	g.front.slots.Release(slot)
	g.queue.pump()
}

// observe learns how a request to the instance went.
func (g *group[S]) observe(id string, h health, probe bool) {
	now := g.front.now()
	again := ask(g.health, func(e *ejector[string]) time.Time {
		return e.observe(id, h, probe, now)
	})
	if again.After(now) {
		time.AfterFunc(again.Sub(now), func() { g.front.SlotFreed(g.name) })
	}
}
