// Package cranvirtual runs events in virtual time, for simulations. It runs the
// earliest event first, and events of the same time in the order in which they were
// scheduled.
package cranvirtual

import (
	"cmp"
	"container/heap"
)

// Engine runs events in the order of their virtual time, which may have any ordered
// type and any unit. It isn't safe for concurrent use. The zero value starts at the
// zero time.
type Engine[T cmp.Ordered] struct {
	now T
	// seq is the number of events scheduled so far.
	seq   uint64
	queue eventQueue[T]
}

// NewEngine returns an engine whose virtual time begins at start.
func NewEngine[T cmp.Ordered](start T) Engine[T] { return Engine[T]{now: start} }

// Now returns the current virtual time.
func (e *Engine[T]) Now() T { return e.now }

// AdvanceTo sets the virtual time, unless it is already later. The time must not be
// after that of the earliest scheduled event.
func (e *Engine[T]) AdvanceTo(time T) { e.now = max(time, e.now) }

// Schedule adds an event that runs at a virtual time. If the time has passed, the event
// runs at the current time.
func (e *Engine[T]) Schedule(time T, run func()) {
	e.seq++
	heap.Push(&e.queue, event[T]{time: max(time, e.now), seq: e.seq, run: run})
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

// event is a scheduled function.
type event[T cmp.Ordered] struct {
	time T
	// seq orders events of the same time.
	seq uint64
	run func()
}

// eventQueue implements heap.Interface, with the next event to run first.
type eventQueue[T cmp.Ordered] []event[T]

func (q eventQueue[T]) Len() int { return len(q) }

func (q eventQueue[T]) Less(i, j int) bool {
	if q[i].time != q[j].time {
		return q[i].time < q[j].time
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue[T]) Push(x any) { *q = append(*q, x.(event[T])) }

func (q *eventQueue[T]) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
