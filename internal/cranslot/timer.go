package cranslot

import "container/heap"

// timer schedules an action on a slot.
type timer struct {
	step uint64
	// order is the number of the timer in the order of setting. Timers of one
	// step fire in that order.
	order uint64
	in    *instanceState
	index int
	kind  timerKind
	// version is the slot's version for the kind when the timer was set. The
	// timer is cancelled if the slot's version has changed.
	version uint64
}

// timerKind is the action of a timer.
type timerKind uint8

const (
	// timerRetry sends a loan or the queries of the owner again.
	timerRetry timerKind = iota
	// timerReturn returns a borrowed slot that is still idle.
	timerReturn
)

// version returns the count of changes that cancel timers of the kind.
func (s *slotState) version(kind timerKind) uint64 {
	if kind == timerReturn {
		return s.holdVersion
	}
	return s.ownershipVersion
}

// timerQueue is a heap of timers with the earliest one first.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].step != q[j].step {
		return q[i].step < q[j].step
	}
	return q[i].order < q[j].order
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// setTimer schedules a timer for a slot. The timer is cancelled if the slot's
// version changes before.
func (t *table) setTimer(steps uint64, kind timerKind, in *instanceState, index int) {
	t.timerOrder++
	heap.Push(&t.timers, timer{
		step: t.step + steps, order: t.timerOrder,
		in: in, index: index, kind: kind, version: in.slots[index].version(kind),
	})
}

// advance sets the current step, fires the timers that are due and asks for
// slots where requests wait.
func (t *table) advance(step uint64) {
	if step <= t.step {
		return
	}
	if step/avoidedResetSteps != t.step/avoidedResetSteps {
		t.clearAvoided()
	}
	t.step = step
	for len(t.timers) > 0 && t.timers[0].step <= t.step {
		due := heap.Pop(&t.timers).(timer)
		if due.in.slots[due.index].version(due.kind) == due.version {
			t.fire(due)
		}
	}
	for _, name := range t.groupNames {
		t.ask(name)
	}
}

// clearAvoided allows lending slots of avoided instances until a request avoids
// them again.
func (t *table) clearAvoided() {
	for _, in := range t.instances {
		in.avoided = false
	}
}

// fire runs the action of a timer.
func (t *table) fire(due timer) {
	s := &due.in.slots[due.index]
	switch {
	case due.kind == timerReturn && s.borrowedIdle():
		t.returnSlot(due.in, due.index)
	case due.kind == timerRetry && s.ownership == ownedRecovering:
		t.sendQueries(due.in, due.index)
	case due.kind == timerRetry && s.ownership == ownedLent:
		t.group(due.in.group).credit.spend(creditPerRetry)
		t.sendLoan(due.in, due.index)
	}
}

// nextRetrySteps returns the steps until the next retry of a message and counts
// the retry.
func (s *slotState) nextRetrySteps() uint64 {
	steps := min(initialRetrySteps<<s.retries, maxRetrySteps)
	if steps < maxRetrySteps {
		s.retries++
	}
	return steps
}
