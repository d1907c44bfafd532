package cranslotsim

// countOwned counts the slots that each entry owns.
func (b *brokered) countOwned() {
	for _, iv := range b.assignSlots().Instances() {
		for _, o := range iv.Owners {
			b.nodes[o.Entry].owned++
		}
	}
}

// exchange tells every entry the number of free slots of all others, and schedules the next
// exchange.
func (b *brokered) exchange() {
	for i, name := range b.names {
		n := b.nodes[name]
		b.lastFree[i] = n.owned - n.busy
		b.result.Messages += len(b.names) - 1
	}
	b.Schedule(b.Now()+b.settings.ExchangeInterval, b.exchange)
}

// forward sends a request that got no slot to the other entry with the most free slots at the
// last exchange. If no entry had a free slot, the request stays in its queue.
func (b *brokered) forward(n *node, j *job) {
	last := len(n.queue) - 1
	if last < 0 || n.queue[last] != j {
		return
	}
	best := -1
	for i, free := range b.lastFree {
		if i != j.entry && free > 0 && (best < 0 || free > b.lastFree[best]) {
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
