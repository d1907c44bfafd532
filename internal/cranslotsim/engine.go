package cranslotsim

import "container/heap"

// engine runs events in the order of their virtual time.
type engine struct {
	now   float64
	order uint64
	queue eventQueue
}

// event is what happens at a time; of two at one time the one planned first
// goes first.
type event struct {
	time  float64
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].time != q[j].time {
		return q[i].time < q[j].time
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// after plans an event.
func (e *engine) after(delay float64, run func()) {
	e.order++
	heap.Push(&e.queue, event{time: e.now + delay, order: e.order, run: run})
}

// next runs the earliest event before the end, and reports whether there was
// one.
func (e *engine) next(end float64) bool {
	if len(e.queue) == 0 || e.queue[0].time > end {
		return false
	}
	ev := heap.Pop(&e.queue).(event)
	e.now = ev.time
	ev.run()
	return true
}
