package crantraffic

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// queue holds the requests that wait for a slot of one group, first come,
// first served.
type queue[S Slot] struct {
	slots  SlotBroker[S]
	group  string
	avoid  func(instance string) bool // instances to which no new send may go
	length atomic.Int64               // waiters, readable without the lock

	mu      sync.Mutex
	waiters list.List      // of *waiter[S]
	count   map[string]int // waiters by service
	pumping atomic.Bool    // a thread is about to hand out slots
}

// waiter is a request in a queue.
type waiter[S Slot] struct {
	service string
	slot    chan S // has room for one
}

func newQueue[S Slot](slots SlotBroker[S], group string, avoid func(string) bool) *queue[S] {
	return &queue[S]{slots: slots, group: group, avoid: avoid, count: make(map[string]int)}
}

// try returns a slot if one is free and nobody waits.
func (q *queue[S]) try(avoid func(string) bool) (S, bool) {
	if q.length.Load() > 0 {
		var none S
		return none, false
	}
	return q.slots.TryAcquire(q.group, avoid)
}

// acquire waits for a slot until the context ends. The admission says whether
// it waits at all.
func (q *queue[S]) acquire(ctx context.Context, a admission, avoid func(string) bool) (S, *cranfault.Fault) {
	var none S
	if s, ok := q.try(avoid); ok {
		return s, nil
	}
	w := &waiter[S]{service: a.route.service, slot: make(chan S, 1)}
	place, fault := q.push(w, a)
	if fault != nil {
		return none, fault
	}
	q.pump()
	select {
	case s := <-w.slot:
		return s, nil
	case <-ctx.Done():
		return q.giveUp(place, w)
	}
}

// admit reports why a request would not be let in now. A request that finds
// nobody waiting is let in.
func (q *queue[S]) admit(a admission) *cranfault.Fault {
	if q.length.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return a.check(q.count[a.route.service], q.waiters.Len())
}

// push adds a waiter if it is admitted.
func (q *queue[S]) push(w *waiter[S], a admission) (*list.Element, *cranfault.Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if f := a.check(q.count[w.service], q.waiters.Len()); f != nil {
		return nil, f
	}
	q.count[w.service]++
	e := q.waiters.PushBack(w)
	q.changed()
	return e, nil
}

// giveUp takes a waiter out. A slot that it was given meanwhile is its own.
func (q *queue[S]) giveUp(place *list.Element, w *waiter[S]) (S, *cranfault.Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case s := <-w.slot:
		return s, nil
	default:
	}
	q.remove(place)
	var none S
	return none, cranfault.New(cranfault.Timeout, "try again later or through another entry",
		"no slot of pool %s was free in time", q.group)
}

// remove takes an element out; the caller holds the lock.
func (q *queue[S]) remove(e *list.Element) {
	w := e.Value.(*waiter[S])
	q.waiters.Remove(e)
	q.count[w.service]--
	q.changed()
}

func (q *queue[S]) changed() {
	n := q.waiters.Len()
	q.length.Store(int64(n))
	q.slots.SetWaiting(q.group, n)
}

// pumpSoon hands free slots to the waiters on a thread of its own, so that it
// may be called under any lock.
func (q *queue[S]) pumpSoon(threads *sync.WaitGroup) {
	if q.length.Load() == 0 || !q.pumping.CompareAndSwap(false, true) {
		return
	}
	threads.Go(func() {
		q.pumping.Store(false)
		q.pump()
	})
}

// pump hands free slots to the waiters in their order.
func (q *queue[S]) pump() {
	if q.length.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for e := q.waiters.Front(); e != nil; e = q.waiters.Front() {
		s, ok := q.slots.TryAcquire(q.group, q.avoid)
		if !ok {
			return
		}
		e.Value.(*waiter[S]).slot <- s
		q.remove(e)
	}
}
