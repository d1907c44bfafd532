package cranslot

import "slices"

// beginOwnership makes this member the owner of a slot. Unless the slot never
// had another owner, the member can use it only after every other member has
// answered that it doesn't hold the slot under an older epoch.
func (t *table) beginOwnership(in *instanceState, index int, firstOwner bool) {
	s := &in.slots[index]
	in.setOwnership(index, ownedRecovering)
	if !firstOwner || s.hold == holdBusy {
		s.unanswered = slices.Clone(t.view.members)
	}
	if s.hold == holdNone {
		s.unanswered = slices.DeleteFunc(s.unanswered, func(m string) bool { return m == t.self })
	}
	t.sendQueries(in, index)
	t.finishRecovery(in, index)
}

// sendQueries queries the members whose answer is awaited and schedules a
// retry.
func (t *table) sendQueries(in *instanceState, index int) {
	s := &in.slots[index]
	for _, member := range s.unanswered {
		if member == t.self {
			continue
		}
		d := t.draftTo(member)
		d.Queries = append(d.Queries, wireQuery{Instance: in.id, Index: index, Epoch: s.owner.Epoch})
	}
	t.setTimer(s.nextRetrySteps(), timerRetry, in, index)
}

// finishRecovery makes a slot usable when all answers have arrived.
func (t *table) finishRecovery(in *instanceState, index int) {
	s := &in.slots[index]
	if s.ownership == ownedRecovering && len(s.unanswered) == 0 {
		t.reclaim(in, index)
	}
}

// reclaim makes a slot that this member owns idle here.
func (t *table) reclaim(in *instanceState, index int) {
	s := &in.slots[index]
	s.borrower, s.retries = "", 0
	s.holdEpoch = s.owner.Epoch
	in.setOwnership(index, ownedHere)
	in.setHold(index, holdIdle)
	t.handleIdle(in, index)
}

// handleQuery answers whether the slot is held here under an epoch older than
// that of the query, and raises minEpoch so that it won't be held later.
func (t *table) handleQuery(from string, q wireQuery) {
	in := t.findOrAddInstance(q.Instance, q.Index)
	s := &in.slots[q.Index]
	if q.Epoch < s.minEpoch {
		return
	}
	if q.Epoch > s.minEpoch {
		s.minEpoch = q.Epoch
		t.dropOldEpochs(in, q.Index)
	}
	held := s.hold == holdBusy && s.holdEpoch < q.Epoch
	if held {
		s.querier = from
	}
	t.sendAnswer(from, wireAnswer{Instance: q.Instance, Index: q.Index, Epoch: q.Epoch, Held: held})
}

// dropOldEpochs ends ownership and an idle hold of a slot under epochs below
// its minEpoch. A request in progress goes on.
func (t *table) dropOldEpochs(in *instanceState, index int) {
	s := &in.slots[index]
	s.querier = ""
	if s.owner.Epoch >= s.minEpoch {
		return
	}
	in.setOwnership(index, notOwned)
	if s.hold == holdIdle {
		in.setHold(index, holdNone)
	}
}

// endStaleHold handles the end of a request on a slot that was held under an
// old epoch. It answers the new owner that the slot is no longer held here.
func (t *table) endStaleHold(in *instanceState, index int) {
	s := &in.slots[index]
	if s.ownership == ownedRecovering {
		t.recordAnswer(in, index, t.self)
	}
	if s.querier != "" {
		t.sendAnswer(s.querier, wireAnswer{Instance: in.id, Index: index, Epoch: s.minEpoch})
		s.querier = ""
	}
}

// sendAnswer adds an answer to the message for a member.
func (t *table) sendAnswer(to string, a wireAnswer) {
	d := t.draftTo(to)
	d.Answers = append(d.Answers, a)
}

// handleAnswer applies the answer of a member that doesn't hold a queried slot.
func (t *table) handleAnswer(from string, a wireAnswer) {
	in := t.findInstance(a.Instance, a.Index)
	if in == nil || a.Held || a.Epoch != in.slots[a.Index].owner.Epoch {
		return
	}
	t.recordAnswer(in, a.Index, from)
}

// recordAnswer records that a member doesn't hold a slot under an older epoch
// and never will again.
func (t *table) recordAnswer(in *instanceState, index int, member string) {
	s := &in.slots[index]
	if s.ownership != ownedRecovering {
		return
	}
	s.unanswered = slices.DeleteFunc(s.unanswered, func(m string) bool { return m == member })
	t.finishRecovery(in, index)
}
