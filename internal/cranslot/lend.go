package cranslot

import "slices"

// Intervals until a loan or query is sent again, in steps. The interval doubles
// from the first value to the second.
const (
	initialRetrySteps uint64 = 16
	maxRetrySteps     uint64 = 64
)

// askLifetimeSteps is for how many steps an ask of a peer is valid.
const askLifetimeSteps uint64 = 3

// avoidedResetSteps is the interval, in steps, at which instances are no longer
// marked as avoided. A member without requests wouldn't otherwise learn that an
// instance can be used again.
const avoidedResetSteps uint64 = 64

// minQueueRatio is how many times longer than the queue here the queue of a
// peer must be for the peer to get a slot although requests wait here.
const minQueueRatio = 2

// peerAsk is a peer's ask for slots of a group.
type peerAsk struct {
	from  string
	slots int
	// waiting is the number of requests that wait at the peer, minus the slots
	// lent to it since.
	waiting int
	// until is the last step at which the ask is valid.
	until uint64
}

// handleAsk records the ask of a peer, in place of its earlier one, and lends
// slots if possible.
func (t *table) handleAsk(from string, a wireAsk) {
	g, ok := t.groups[a.Group]
	if !ok {
		return
	}
	t.setHint(from, a.Group, -a.Waiting)
	g.asks = slices.DeleteFunc(g.asks, func(p peerAsk) bool { return p.from == from })
	if a.Slots > 0 {
		g.asks = append(g.asks, peerAsk{from: from, slots: a.Slots, waiting: a.Waiting, until: t.step + askLifetimeSteps})
	}
	t.lendToAskers(a.Group)
}

// lendToAskers lends slots to the peers that asked, to the one with the longest
// queue first.
func (t *table) lendToAskers(name string) {
	g := t.group(name)
	g.asks = slices.DeleteFunc(g.asks, func(a peerAsk) bool { return a.until < t.step })
	for len(g.asks) > 0 {
		first := g.longestQueueAsk()
		in := t.pickLendable(g)
		if in == nil || !g.mayLend(g.asks[first]) {
			return
		}
		t.lend(in, g.asks[first].from)
		g.asks[first].slots--
		g.asks[first].waiting--
		if g.asks[first].slots <= 0 {
			g.asks = slices.Delete(g.asks, first, first+1)
		}
	}
}

// longestQueueAsk returns the index of the ask with the most waiting requests,
// and of the oldest one among equal ones.
func (g *groupState) longestQueueAsk() int {
	first := 0
	for i, a := range g.asks {
		if a.waiting > g.asks[first].waiting {
			first = i
		}
	}
	return first
}

// mayLend reports whether a slot may be lent to the peer: either it isn't
// needed here, or the peer's queue is much longer than the one here.
func (g *groupState) mayLend(a peerAsk) bool {
	return g.idle() > g.waiting || a.waiting > minQueueRatio*g.waiting+1
}

// pickLendable returns the instance with the most lendable slots, and the first
// one among equal ones.
func (t *table) pickLendable(g *groupState) *instanceState {
	var best *instanceState
	for _, in := range g.instances {
		if in.eligible() && in.lendable > 0 && (best == nil || in.lendable > best.lendable) {
			best = in
		}
	}
	return best
}

// lend lends an idle slot of the instance, which this member owns, to a peer.
func (t *table) lend(in *instanceState, to string) {
	index := slices.IndexFunc(in.slots, func(s slotState) bool { return s.lendable() })
	s := &in.slots[index]
	in.setHold(index, holdNone)
	in.setOwnership(index, ownedLent)
	s.loanID++
	s.borrower = to
	s.retries = 0
	t.sendLoan(in, index)
}

// sendLoan sends the loan to the borrower and schedules a retry. A borrower
// that has already returned the slot answers a repeated loan with the return.
func (t *table) sendLoan(in *instanceState, index int) {
	s := &in.slots[index]
	d := t.draftTo(s.borrower)
	d.includeSpare(in.group)
	d.Loans = append(d.Loans, wireLoan{Instance: in.id, Index: index, Epoch: s.owner.Epoch, ID: s.loanID})
	t.setTimer(s.nextRetrySteps(), timerRetry, in, index)
}

// handleReturn takes back a slot from its borrower. It ignores the return of
// any loan but the last one, which is late or a duplicate.
func (t *table) handleReturn(from string, l wireLoan) {
	in := t.findInstance(l.Instance, l.Index)
	if in == nil {
		return
	}
	s := &in.slots[l.Index]
	if s.ownership == ownedLent && s.borrower == from && s.owner.Epoch == l.Epoch && s.loanID == l.ID {
		t.reclaim(in, l.Index)
	}
}
