package cranslot

import "slices"

// Steps until a loan or query is repeated: the first interval, which doubles
// up to the last.
const (
	firstRepeatSteps uint64 = 32
	lastRepeatSteps  uint64 = 64
)

// askSteps is how long a peer's ask counts at the home unless it is renewed.
const askSteps uint64 = 4

// peerAsk is the wish of a peer for slots of a group.
type peerAsk struct {
	from  string
	slots int
	// until is the last step at which the ask counts.
	until uint64
}

func (t *table) handleAsk(from string, a wireAsk) {
	g, ok := t.groups[a.Group]
	if !ok {
		return
	}
	g.asks = slices.DeleteFunc(g.asks, func(p peerAsk) bool { return p.from == from })
	if a.Slots > 0 {
		g.asks = append(g.asks, peerAsk{from: from, slots: a.Slots, until: t.step + askSteps})
	}
	t.serve(a.Group)
}

// serve lends what isn't needed here to the peers that asked, one slot each
// in turn.
func (t *table) serve(name string) {
	g := t.group(name)
	g.asks = slices.DeleteFunc(g.asks, func(a peerAsk) bool { return a.until < t.step })
	for len(g.asks) > 0 && g.idle() > g.waiting {
		in := t.pickLendable(g)
		if in == nil {
			return
		}
		a := g.asks[0]
		g.asks = g.asks[1:]
		t.lend(in, a.from)
		a.slots--
		if a.slots > 0 {
			g.asks = append(g.asks, a)
		}
	}
}

// pickLendable returns the open instance with the most slots to lend, the
// first of those that are equal.
func (t *table) pickLendable(g *groupState) *instanceState {
	var best *instanceState
	for _, in := range g.instances {
		if in.open && in.lendable > 0 && (best == nil || in.lendable > best.lendable) {
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
