package cranslotsim

// countOwned counts the slots of each entry.
func (b *brokered) countOwned() {
	for _, iv := range b.view().Instances() {
		for _, h := range iv.Owners {
			b.nodes[h.Entry].owned++
		}
	}
}

// exchange lets every entry learn the free slots of all others, again and
// again.
func (b *brokered) exchange() {
	for i, name := range b.names {
		n := b.nodes[name]
		b.freeSeen[i] = n.owned - n.busy
		b.result.Messages += len(b.names) - 1
	}
	b.Schedule(b.Now()+b.settings.ExchangeInterval, b.exchange)
}

// forward sends a request that found no slot to the entry that had the most
// free ones, if any had.
func (b *brokered) forward(n *node, j *job) {
	last := len(n.queue) - 1
	if last < 0 || n.queue[last] != j {
		return
	}
	best := -1
	for i, free := range b.freeSeen {
		if i != j.entry && free > 0 && (best < 0 || free > b.freeSeen[best]) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	n.queue = n.queue[:last]
	b.result.Messages += 2
	b.Schedule(b.Now()+b.settings.Hop, func() {
		to := b.nodes[b.names[best]]
		to.queue = append(to.queue, j)
		b.drain(to)
	})
}
