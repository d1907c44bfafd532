package cranslot

import "slices"

// begin makes this member the home of a slot. Unless the slot is fresh, so
// that it never had another home, it is used only after every other member has
// answered that it doesn't hold it under an older epoch.
func (t *table) begin(in *instanceState, index int, fresh bool) {
	s := &in.slots[index]
	in.setLedger(index, ledgerRecovering)
	if !fresh || s.hold == holdBusy {
		s.pending = slices.Clone(t.view.members)
	}
	if s.hold == holdNone {
		s.pending = slices.DeleteFunc(s.pending, func(m string) bool { return m == t.self })
	}
	t.query(in, index)
	t.finishRecovery(in, index)
}

// query asks the members whose answer is missing, and will ask again.
func (t *table) query(in *instanceState, index int) {
	s := &in.slots[index]
	for _, member := range s.pending {
		if member == t.self {
			continue
		}
		w := t.to(member)
		w.Queries = append(w.Queries, wireQuery{Instance: in.id, Index: index, Epoch: s.home.Epoch})
	}
	t.after(s.backoff(), timerRepeat, in, index)
}

// finishRecovery makes a slot usable when no answer is missing.
func (t *table) finishRecovery(in *instanceState, index int) {
	s := &in.slots[index]
	if s.ledger == ledgerRecovering && len(s.pending) == 0 {
		t.takeBack(in, index)
	}
}

// takeBack makes a slot, of which this member is the home, idle here.
func (t *table) takeBack(in *instanceState, index int) {
	s := &in.slots[index]
	s.borrower, s.repeats = "", 0
	s.holdEpoch = s.home.Epoch
	in.setLedger(index, ledgerOwn)
	in.setHold(index, holdIdle)
	t.idled(in, index)
}

// handleQuery answers whether the slot is held here under an epoch older than
// the query's, and rules out that it will be.
func (t *table) handleQuery(from string, q wireQuery) {
	in := t.known(q.Instance, q.Index)
	s := &in.slots[q.Index]
	if q.Epoch < s.floor {
		return
	}
	if q.Epoch > s.floor {
		s.floor = q.Epoch
		t.dropBelow(in, q.Index)
	}
	held := s.hold == holdBusy && s.holdEpoch < q.Epoch
	if held {
		s.querier = from
	}
	t.answer(from, wireAnswer{Instance: q.Instance, Index: q.Index, Epoch: q.Epoch, Held: held})
}

// dropBelow gives up what this member has of a slot under epochs below its
// floor, but for a request in progress.
func (t *table) dropBelow(in *instanceState, index int) {
	s := &in.slots[index]
	s.querier = ""
	if s.home.Epoch >= s.floor {
		return
	}
	in.setLedger(index, ledgerNone)
	if s.hold == holdIdle {
		in.setHold(index, holdNone)
	}
}

// letGo acts on the end of a request on a slot whose epoch is no longer in
// force: the new home learns that the slot isn't held here any more.
func (t *table) letGo(in *instanceState, index int) {
	s := &in.slots[index]
	if s.ledger == ledgerRecovering {
		t.answered(in, index, t.self)
	}
	if s.querier != "" {
		t.answer(s.querier, wireAnswer{Instance: in.id, Index: index, Epoch: s.floor})
		s.querier = ""
	}
}

func (t *table) answer(to string, a wireAnswer) {
	w := t.to(to)
	w.Answers = append(w.Answers, a)
}

func (t *table) handleAnswer(from string, a wireAnswer) {
	in := t.find(a.Instance, a.Index)
	if in == nil || a.Held || a.Epoch != in.slots[a.Index].home.Epoch {
		return
	}
	t.answered(in, a.Index, from)
}

// answered notes that a member doesn't hold a slot under an older epoch and
// never will again.
func (t *table) answered(in *instanceState, index int, member string) {
	s := &in.slots[index]
	if s.ledger != ledgerRecovering {
		return
	}
	s.pending = slices.DeleteFunc(s.pending, func(m string) bool { return m == member })
	t.finishRecovery(in, index)
}
