package cranslot

import "slices"

// hintSteps is how long a peer's hint counts.
const hintSteps uint64 = 4

// peerHint is what is known of a peer's slots of a group.
type peerHint struct {
	// spare is the number of slots that the peer could lend, less the requests
	// that wait there and the slots that it was asked for since.
	spare int
	// step is when that was learned.
	step uint64
}

// spare returns the number of slots that could be lent, less the requests
// that wait here.
func (g *groupState) spare() int {
	n := -g.waiting
	for _, in := range g.instances {
		if in.useful() {
			n += in.lendable
		}
	}
	return n
}

// hint notes what a peer tells of its slots of a group.
func (t *table) hint(from, group string, spare int) {
	if g, ok := t.groups[group]; ok {
		g.hints[from] = peerHint{spare: spare, step: t.step}
	}
}

// hinted returns the spare slots of a peer as far as is known, or 0.
func (t *table) hinted(g *groupState, peer string) int {
	h, ok := g.hints[peer]
	if !ok || t.step-h.step > hintSteps {
		return 0
	}
	return h.spare
}

// choosePeers returns up to n peers to ask for slots: those that seem to have
// the most to spare, and random ones of those that are equal.
func (t *table) choosePeers(g *groupState, n int) []string {
	if n == 0 {
		return nil
	}
	peers := slices.DeleteFunc(slices.Clone(t.view.members), func(m string) bool { return m == t.self })
	t.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b string) int { return t.hinted(g, b) - t.hinted(g, a) })
	return peers[:min(n, len(peers))]
}
