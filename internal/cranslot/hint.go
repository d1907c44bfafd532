package cranslot

import "slices"

// hintLifetimeSteps is for how many steps a hint of a peer is valid.
const hintLifetimeSteps uint64 = 4

// peerHint is the last known number of spare slots of a peer in a group.
type peerHint struct {
	// spare is the number of slots that the peer could lend, minus the requests
	// that wait there and the slots that it was asked for since.
	spare int
	// step is the step at which the hint was received or changed.
	step uint64
}

// spareSlots returns the number of slots that this member could lend, minus the
// requests that wait here.
func (g *groupState) spareSlots() int {
	n := -g.waiting
	for _, in := range g.instances {
		if in.eligible() {
			n += in.lendable
		}
	}
	return n
}

// setHint records the spare slots of a peer in a group.
func (t *table) setHint(from, group string, spare int) {
	if g, ok := t.groups[group]; ok {
		g.hints[from] = peerHint{spare: spare, step: t.step}
	}
}

// hintedSpare returns the spare slots of a peer, or 0 if there is no valid
// hint.
func (t *table) hintedSpare(g *groupState, peer string) int {
	h, ok := g.hints[peer]
	if !ok || t.step-h.step > hintLifetimeSteps {
		return 0
	}
	return h.spare
}

// choosePeers returns up to n peers to ask for slots: those with the most spare
// slots by their hints, and random ones among equal ones.
func (t *table) choosePeers(g *groupState, n int) []string {
	if n == 0 {
		return nil
	}
	peers := slices.DeleteFunc(slices.Clone(t.view.members), func(m string) bool { return m == t.self })
	t.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b string) int { return t.hintedSpare(g, b) - t.hintedSpare(g, a) })
	return peers[:min(n, len(peers))]
}
