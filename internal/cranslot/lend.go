package cranslot

import "slices"

// Steps until a loan or query is repeated: the first interval, which doubles
// up to the last.
const (
	firstRepeatSteps uint64 = 16
	lastRepeatSteps  uint64 = 64
)

// askSteps is how long a peer's ask counts at the home unless it is renewed.
const askSteps uint64 = 3

// avoidedSteps is how often it is forgotten which instances are avoided: a
// member without requests wouldn't learn that one is of use again.
const avoidedSteps uint64 = 64

// longerQueue is how many times longer than the queue here a peer's must be
// for a slot to go there although requests wait here.
const longerQueue = 2

// peerAsk is the wish of a peer for slots of a group.
type peerAsk struct {
	from  string
	slots int
	// waiting is the number of requests that wait there, less the slots lent
	// for them since.
	waiting int
	// until is the last step at which the ask counts.
	until uint64
}

func (t *table) handleAsk(from string, a wireAsk) {
	g, ok := t.groups[a.Group]
	if !ok {
		return
	}
	t.hint(from, a.Group, -a.Waiting)
	g.asks = slices.DeleteFunc(g.asks, func(p peerAsk) bool { return p.from == from })
	if a.Slots > 0 {
		g.asks = append(g.asks, peerAsk{from: from, slots: a.Slots, waiting: a.Waiting, until: t.step + askSteps})
	}
	t.serve(a.Group)
}

// serve lends slots to the peers that asked, the one with the longest queue
// first.
func (t *table) serve(name string) {
	g := t.group(name)
	g.asks = slices.DeleteFunc(g.asks, func(a peerAsk) bool { return a.until < t.step })
	for len(g.asks) > 0 {
		first := g.longestAsk()
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

// longestAsk returns the index of the ask with the most requests waiting, the
// oldest of those that are equal.
func (g *groupState) longestAsk() int {
	first := 0
	for i, a := range g.asks {
		if a.waiting > g.asks[first].waiting {
			first = i
		}
	}
	return first
}

// mayLend reports whether a slot may go to the peer: it isn't needed here, or
// the queue there is much longer than the one here.
func (g *groupState) mayLend(a peerAsk) bool {
	return g.idle() > g.waiting || a.waiting > longerQueue*g.waiting+1
}

// pickLendable returns the instance with the most slots to lend, the
// first of those that are equal.
func (t *table) pickLendable(g *groupState) *instanceState {
	var best *instanceState
	for _, in := range g.instances {
		if in.useful() && in.lendable > 0 && (best == nil || in.lendable > best.lendable) {
			best = in
		}
	}
	return best
}

// lend hands an idle slot of the instance, whose home is here, to a peer.
func (t *table) lend(in *instanceState, to string) {
	index := slices.IndexFunc(in.slots, func(s slotState) bool { return s.lendable() })
	s := &in.slots[index]
	in.setHold(index, holdNone)
	in.setLedger(index, ledgerLent)
	s.loan++
	s.borrower = to
	s.repeats = 0
	t.sendLoan(in, index)
}

// sendLoan tells the borrower of its loan, and will tell it again: a borrower
// that no longer has the slot then says so.
func (t *table) sendLoan(in *instanceState, index int) {
	s := &in.slots[index]
	w := t.to(s.borrower)
	w.mention(in.group)
	w.Loans = append(w.Loans, wireLoan{Instance: in.id, Index: index, Epoch: s.home.Epoch, ID: s.loan})
	t.after(s.backoff(), timerRepeat, in, index)
}

// handleReturn takes a slot back. A return of any loan but the last is late
// or a duplicate, and void.
func (t *table) handleReturn(from string, l wireLoan) {
	in := t.find(l.Instance, l.Index)
	if in == nil {
		return
	}
	s := &in.slots[l.Index]
	if s.ledger == ledgerLent && s.borrower == from && s.home.Epoch == l.Epoch && s.loan == l.ID {
		t.takeBack(in, l.Index)
	}
}
