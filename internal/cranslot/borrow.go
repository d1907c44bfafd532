package cranslot

const (
	// maxPeersAsked is the maximum number of peers asked in a step.
	maxPeersAsked = 4
	// slotsPerPeer is the number of missing slots for which one peer is asked.
	slotsPerPeer = 2
	// smallAskDelaySteps is the number of steps for which requests wait for a
	// release at this member before a peer is asked for fewer than slotsPerPeer
	// slots.
	smallAskDelaySteps = 6
	// keepIdleSteps is the number of steps for which a borrowed slot is kept
	// idle while requests wait.
	keepIdleSteps uint64 = 3
)

// setWaiting sets the number of requests for the group that are queued here.
func (t *table) setWaiting(group string, n int) {
	g := t.group(group)
	g.waiting = max(n, 0)
	t.lendToAskers(group)
}

// ask asks some peers for slots of the group if more requests wait than slots
// are idle here.
func (t *table) ask(name string) {
	g := t.groups[name]
	missing := g.waiting - g.idle()
	if missing <= 0 {
		g.missingSteps = 0
		return
	}
	g.missingSteps++
	if !g.credit.mayAsk() {
		return
	}
	peers := t.choosePeers(g, g.peersToAsk(missing))
	for _, peer := range peers {
		d := t.draftTo(peer)
		g.credit.spend(creditPerAsk)
		share := (missing + len(peers) - 1) / len(peers)
		t.setHint(peer, name, t.hintedSpare(g, peer)-share)
		d.Asks = append(d.Asks, wireAsk{Group: name, Slots: share, Waiting: g.waiting})
	}
}

// peersToAsk returns the number of peers to ask for the missing slots. Releases
// at this member soon serve a short queue, so asking for it would cost messages
// and gain little.
func (g *groupState) peersToAsk(missing int) int {
	if missing < slotsPerPeer && g.missingSteps >= smallAskDelaySteps {
		return 1
	}
	return min(missing/slotsPerPeer, maxPeersAsked)
}

// handleLoan accepts a slot from its owner, or answers that the slot was
// returned. It ignores loans of an epoch that isn't the current one here; the
// owner sends them again if they are still valid.
func (t *table) handleLoan(from string, l wireLoan) {
	in := t.findInstance(l.Instance, l.Index)
	if in == nil || !t.view.isMember(t.self) {
		return
	}
	s := &in.slots[l.Index]
	if s.owner != (Owner{Entry: from, Epoch: l.Epoch}) || l.Epoch < s.minEpoch {
		return
	}
	if l.ID <= s.loanID {
		if !s.current() || l.ID != s.loanID {
			t.sendReturn(from, l)
		}
		return
	}
	if s.hold != holdNone {
		return
	}
	t.acceptLoan(in, l)
}

// acceptLoan makes a borrowed slot idle at this member.
func (t *table) acceptLoan(in *instanceState, l wireLoan) {
	s := &in.slots[l.Index]
	s.loanID = l.ID
	s.holdEpoch = l.Epoch
	in.setHold(l.Index, holdIdle)
	if !in.open {
		t.returnSlot(in, l.Index)
		return
	}
	t.group(in.group).credit.spend(creditPerLoan)
	t.handleIdle(in, l.Index)
}

// keepOrReturn keeps an idle borrowed slot for a while if requests wait for it,
// and otherwise returns it. It also returns the slot if the owner's queue seems
// much longer than the one here.
func (t *table) keepOrReturn(in *instanceState, index int) {
	g := t.group(in.group)
	ownerQueue := -t.hintedSpare(g, in.slots[index].owner.Entry)
	if !in.eligible() || g.waiting < g.idle() || ownerQueue > minQueueRatio*g.waiting+1 {
		t.returnSlot(in, index)
		return
	}
	t.setTimer(keepIdleSteps, timerReturn, in, index)
}

// returnSlot returns an idle borrowed slot to its owner.
func (t *table) returnSlot(in *instanceState, index int) {
	s := &in.slots[index]
	in.setHold(index, holdNone)
	t.draftTo(s.owner.Entry).includeSpare(in.group)
	t.sendReturn(s.owner.Entry, wireLoan{Instance: in.id, Index: index, Epoch: s.owner.Epoch, ID: s.loanID})
}

// sendReturn adds a return to the message for a peer.
func (t *table) sendReturn(to string, l wireLoan) {
	d := t.draftTo(to)
	d.Returns = append(d.Returns, l)
}
