package crantraffic

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// queue holds the requests that wait for a slot of one group, in order of
// arrival.
type queue[S Slot] struct {
	slots  SlotBroker[S]
	group  string
	avoid  func(instance string) bool // reports instances that must get no new requests
	length atomic.Int64               // number of waiters, readable without the lock

	mu             sync.Mutex
	waiters        list.List      // of *waiter[S]
	countByService map[string]int // number of waiters of each service
	dispatching    atomic.Bool    // true: a dispatch goroutine is about to run
}

// waiter is a request in a queue.
type waiter[S Slot] struct {
	service string
	slot    chan S // buffered for one slot
}

func newQueue[S Slot](slots SlotBroker[S], group string, avoid func(string) bool) *queue[S] {
	return &queue[S]{slots: slots, group: group, avoid: avoid, countByService: make(map[string]int)}
}

// tryAcquire returns a slot if one is free and no request waits.
func (q *queue[S]) tryAcquire(avoid func(string) bool) (S, bool) {
	if q.length.Load() > 0 {
		var none S
		return none, false
	}
	return q.slots.TryAcquire(q.group, avoid)
}

// acquire waits for a slot until the context ends. The request is refused if
// the admission check doesn't allow it to wait.
func (q *queue[S]) acquire(ctx context.Context, a admission, avoid func(string) bool) (S, *cranfault.Fault) {
	var none S
	if s, ok := q.tryAcquire(avoid); ok {
		return s, nil
	}
	w := &waiter[S]{service: a.route.service, slot: make(chan S, 1)}
	element, fault := q.push(w, a)
	if fault != nil {
		return none, fault
	}
	q.dispatch()
	select {
	case s := <-w.slot:
		return s, nil
	case <-ctx.Done():
		return q.cancelWait(element, w)
	}
}

// checkAdmission returns why a request would be refused now, or nil. A request
// is always admitted if no other request waits.
func (q *queue[S]) checkAdmission(a admission) *cranfault.Fault {
	if q.length.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return a.check(q.countByService[a.route.service], q.waiters.Len())
}

// push adds a waiter if it is admitted.
func (q *queue[S]) push(w *waiter[S], a admission) (*list.Element, *cranfault.Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if f := a.check(q.countByService[w.service], q.waiters.Len()); f != nil {
		return nil, f
	}
	q.countByService[w.service]++
	e := q.waiters.PushBack(w)
	q.publishLength()
	return e, nil
}

// cancelWait removes a waiter. If the waiter has been given a slot in the
// meantime, cancelWait returns that slot.
func (q *queue[S]) cancelWait(element *list.Element, w *waiter[S]) (S, *cranfault.Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case s := <-w.slot:
		return s, nil
	default:
	}
	q.remove(element)
	var none S
	return none, cranfault.New(cranfault.Timeout, "try again later or through another entry",
		"no slot of pool %s became free before the deadline", q.group)
}

// remove removes an element. The caller holds the lock.
func (q *queue[S]) remove(e *list.Element) {
	w := e.Value.(*waiter[S])
	q.waiters.Remove(e)
	q.countByService[w.service]--
	q.publishLength()
}

func (q *queue[S]) publishLength() {
	n := q.waiters.Len()
	q.length.Store(int64(n))
	q.slots.SetWaiting(q.group, n)
}

// dispatchAsync dispatches free slots in another goroutine, so that it may be
// called while any lock is held.
func (q *queue[S]) dispatchAsync(background *sync.WaitGroup) {
	if q.length.Load() == 0 || !q.dispatching.CompareAndSwap(false, true) {
		return
	}
	background.Go(func() {
		q.dispatching.Store(false)
		q.dispatch()
	})
}

// dispatch gives free slots to the waiters in order of arrival.
func (q *queue[S]) dispatch() {
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
