package cranslot

import "container/heap"

// timer says when to look at a slot again.
type timer struct {
	step uint64
	// order is the order in which timers were set, so that those of one step
	// fire in it.
	order uint64
	in    *instanceState
	index int
	kind  timerKind
	// turn is that of the slot, for the kind, when the timer was set; the
	// timer is void if the slot's has changed.
	turn uint64
}

// timerKind says what a timer is for.
type timerKind uint8

const (
	// timerRepeat repeats a loan or query of the home.
	timerRepeat timerKind = iota
	// timerKeep ends the time for which a borrowed slot is kept unused.
	timerKeep
)

// turn returns the count of changes that void timers of the kind.
func (s *slotState) turn(kind timerKind) uint64 {
	if kind == timerKeep {
		return s.holdTurn
	}
	return s.ledgerTurn
}

// timerQueue is a heap of timers, the earliest first.
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

// after looks at the slot again in some steps unless its turn has changed by
// then.
func (t *table) after(steps uint64, kind timerKind, in *instanceState, index int) {
	t.order++
	heap.Push(&t.timers, timer{
		step: t.step + steps, order: t.order,
		in: in, index: index, kind: kind, turn: in.slots[index].turn(kind),
	})
}

// advance moves on to a step: it fires the timers that are due and asks for
// slots where requests wait.
func (t *table) advance(step uint64) {
	if step <= t.step {
		return
	}
	if step/avoidedSteps != t.step/avoidedSteps {
		t.forgetAvoided()
	}
	t.step = step
	for len(t.timers) > 0 && t.timers[0].step <= t.step {
		due := heap.Pop(&t.timers).(timer)
		if due.in.slots[due.index].turn(due.kind) == due.turn {
			t.fire(due)
		}
	}
	for _, name := range t.names {
		t.ask(name)
	}
}

// forgetAvoided lets slots of avoided instances be lent again, until a request
// avoids them again.
func (t *table) forgetAvoided() {
	for _, in := range t.instances {
		in.avoided = false
	}
}

// fire acts on a slot that has been in one state for long.
func (t *table) fire(due timer) {
	s := &due.in.slots[due.index]
	switch {
	case due.kind == timerKeep && s.borrowedIdle():
		t.giveBack(due.in, due.index)
	case due.kind == timerRepeat && s.ledger == ledgerRecovering:
		t.query(due.in, due.index)
	case due.kind == timerRepeat && s.ledger == ledgerLent:
		t.sendLoan(due.in, due.index)
	}
}

// backoff returns the steps until the next repeat of a message and counts the
// repeat.
func (s *slotState) backoff() uint64 {
	steps := min(firstRepeatSteps<<s.repeats, lastRepeatSteps)
	if steps < lastRepeatSteps {
		s.repeats++
	}
	return steps
}
