package cranwavesim

import "container/heap"

// engine runs events in the order of their virtual time.
type engine struct {
	// nowMs is the virtual time in milliseconds.
	nowMs int64
	order uint64
	queue eventQueue
}

// event is what happens at a time; of two at one time the one planned first
// goes first.
type event struct {
	timeMs int64
	order  uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].timeMs != q[j].timeMs {
		return q[i].timeMs < q[j].timeMs
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

// at plans an event, at once if the time has passed.
func (e *engine) at(timeMs int64, run func()) {
	e.order++
	heap.Push(&e.queue, event{timeMs: max(timeMs, e.nowMs), order: e.order, run: run})
}

// next runs the earliest event and reports whether there was one.
func (e *engine) next() bool {
	if len(e.queue) == 0 {
		return false
	}
	ev := heap.Pop(&e.queue).(event)
	e.nowMs = ev.timeMs
	ev.run()
	return true
}
