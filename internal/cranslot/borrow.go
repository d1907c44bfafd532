package cranslot

import "slices"

const (
	// askPeers is the number of peers asked at a time.
	askPeers = 2
	// askEverySteps is the least number of steps between two asks for a
	// group.
	askEverySteps uint64 = 1
	// keepSteps is how long a borrowed slot is kept unused while requests
	// wait.
	keepSteps uint64 = 3
)

func (t *table) setWaiting(group string, n int) {
	g := t.group(group)
	g.waiting = max(n, 0)
	t.serve(group)
}

// ask asks some peers for slots of the group if requests wait for more than
// are idle here.
func (t *table) ask(name string) {
	g := t.groups[name]
	need := g.waiting - g.idle()
	if need <= 0 || t.step < g.nextAsk {
		return
	}
	g.nextAsk = t.step + askEverySteps
	for _, peer := range t.choosePeers(g) {
		w := t.to(peer)
		w.Asks = append(w.Asks, wireAsk{Group: name, Slots: need})
	}
}

// choosePeers returns the peers to ask: the one that last lent, which is then
// forgotten until it lends again, and others at random.
func (t *table) choosePeers(g *groupState) []string {
	peers := slices.DeleteFunc(slices.Clone(t.view.members), func(m string) bool { return m == t.self })
	chosen := min(askPeers, len(peers))
	for i := range chosen {
		j := i + t.random.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	if at := slices.Index(peers, g.lender); at >= chosen {
		peers[0], peers[at] = peers[at], peers[0]
	}
	g.lender = ""
	return peers[:chosen]
}

// handleLoan accepts a slot from its home, or answers that it was returned.
// Loans of an epoch that isn't in force here are ignored; the home repeats
// them if they matter.
func (t *table) handleLoan(from string, l wireLoan) {
	in := t.find(l.Instance, l.Index)
	if in == nil || !t.view.has(t.self) {
		return
	}
	s := &in.slots[l.Index]
	if s.home != (Home{Entry: from, Epoch: l.Epoch}) || l.Epoch < s.floor {
		return
	}
	if l.ID <= s.loan {
		if !s.current() || l.ID != s.loan {
			t.sendReturn(from, l)
		}
		return
	}
	if s.hold != holdNone {
		return
	}
	t.accept(in, l)
}

// accept takes a borrowed slot into use here.
func (t *table) accept(in *instanceState, l wireLoan) {
	s := &in.slots[l.Index]
	s.loan = l.ID
	s.holdEpoch = l.Epoch
	in.setHold(l.Index, holdIdle)
	if !in.open {
		t.giveBack(in, l.Index)
		return
	}
	t.group(in.group).lender = s.home.Entry
	t.idled(in, l.Index)
}

// keepWhile keeps an unused borrowed slot for a while if requests wait for
// it, and else returns it.
func (t *table) keepWhile(in *instanceState, index int) {
	g := t.group(in.group)
	if !in.open || g.waiting < g.idle() {
		t.giveBack(in, index)
		return
	}
	t.after(keepSteps, timerKeep, in, index)
}

// giveBack returns a borrowed slot that isn't in use to its home.
func (t *table) giveBack(in *instanceState, index int) {
	s := &in.slots[index]
	in.setHold(index, holdNone)
	t.sendReturn(s.home.Entry, wireLoan{Instance: in.id, Index: index, Epoch: s.home.Epoch, ID: s.loan})
}

func (t *table) sendReturn(to string, l wireLoan) {
	w := t.to(to)
	w.Returns = append(w.Returns, l)
}
