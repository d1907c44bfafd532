// Package cranvirtual runs events in virtual time, for the measuring programs:
// the earliest first, and of two at one time the one that was planned first.
package cranvirtual

import (
	"cmp"
	"container/heap"
)

// Engine runs events in the order of their virtual time, which is of any
// ordered type and unit. It is used by one goroutine.
type Engine[T cmp.Ordered] struct {
	now     T
	planned uint64
	queue   eventQueue[T]
}

// NewEngine returns an engine that starts at a virtual time.
func NewEngine[T cmp.Ordered](start T) Engine[T] { return Engine[T]{now: start} }

// Now returns the virtual time of the event that runs or ran last.
func (e *Engine[T]) Now() T { return e.now }

// AdvanceTo moves the virtual time on, to no later than the earliest event.
func (e *Engine[T]) AdvanceTo(time T) { e.now = max(time, e.now) }

// Schedule plans an event, at once if the time has passed.
func (e *Engine[T]) Schedule(time T, run func()) {
	e.planned++
	heap.Push(&e.queue, event[T]{time: max(time, e.now), planned: e.planned, run: run})
}

// RunNext runs the earliest event and reports whether there was one.
func (e *Engine[T]) RunNext() bool {
	if len(e.queue) == 0 {
		return false
	}
	ev := heap.Pop(&e.queue).(event[T])
	e.now = ev.time
	ev.run()
	return true
}

// RunNextUntil runs the earliest event if it is not after the end, and reports
// whether it did.
func (e *Engine[T]) RunNextUntil(end T) bool {
	if len(e.queue) == 0 || e.queue[0].time > end {
		return false
	}
	return e.RunNext()
}

type event[T cmp.Ordered] struct {
	time    T
	planned uint64
	run     func()
}

type eventQueue[T cmp.Ordered] []event[T]

func (q eventQueue[T]) Len() int { return len(q) }

func (q eventQueue[T]) Less(i, j int) bool {
	if q[i].time != q[j].time {
		return q[i].time < q[j].time
	}
	return q[i].planned < q[j].planned
}

func (q eventQueue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue[T]) Push(x any) { *q = append(*q, x.(event[T])) }

func (q *eventQueue[T]) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
