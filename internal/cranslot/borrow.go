package cranslot

const (
	// askPeersMost is the most peers asked at a time.
	askPeersMost = 4
	// needPerPeer is the number of missing slots for which one peer is asked.
	needPerPeer = 2
	// patienceSteps is how long requests wait for a release here before a
	// peer is asked for less than needPerPeer slots.
	patienceSteps = 6
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
	if need <= 0 {
		g.shortSteps = 0
		return
	}
	g.shortSteps++
	if !g.credit.allows() {
		return
	}
	peers := t.choosePeers(g, g.peersToAsk(need))
	for _, peer := range peers {
		w := t.to(peer)
		g.credit.spend(creditPerAsk)
		share := (need + len(peers) - 1) / len(peers)
		t.hint(peer, name, t.hinted(g, peer)-share)
		w.Asks = append(w.Asks, wireAsk{Group: name, Slots: share, Waiting: g.waiting})
	}
}

// peersToAsk returns how many peers to ask when slots are missing. A short
// queue is soon served by the releases here, so that asking for it costs
// messages and gains little.
func (g *groupState) peersToAsk(need int) int {
	if need < needPerPeer && g.shortSteps >= patienceSteps {
		return 1
	}
	return min(need/needPerPeer, askPeersMost)
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
	if s.home != (Owner{Entry: from, Epoch: l.Epoch}) || l.Epoch < s.floor {
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
	t.group(in.group).credit.spend(creditPerLoan)
	t.idled(in, l.Index)
}

// keepWhile keeps an unused borrowed slot for a while if requests wait for
// it, and else returns it. It also returns it to a home whose queue seems much
// longer than the one here.
func (t *table) keepWhile(in *instanceState, index int) {
	g := t.group(in.group)
	queueThere := -t.hinted(g, in.slots[index].home.Entry)
	if !in.useful() || g.waiting < g.idle() || queueThere > longerQueue*g.waiting+1 {
		t.giveBack(in, index)
		return
	}
	t.after(keepSteps, timerKeep, in, index)
}

// giveBack returns a borrowed slot that isn't in use to its home.
func (t *table) giveBack(in *instanceState, index int) {
	s := &in.slots[index]
	in.setHold(index, holdNone)
	t.to(s.home.Entry).mention(in.group)
	t.sendReturn(s.home.Entry, wireLoan{Instance: in.id, Index: index, Epoch: s.home.Epoch, ID: s.loan})
}

func (t *table) sendReturn(to string, l wireLoan) {
	w := t.to(to)
	w.Returns = append(w.Returns, l)
}
