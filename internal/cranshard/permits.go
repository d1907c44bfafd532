package cranshard

// Wave is what the shards of a maintenance wave know about it.
type Wave struct {
	// Limit is the maximum number of instances that may be down for the wave at a time.
	Limit int
	// Members is the number of the wave's instances in each shard.
	Members []int
	// Done is true for the shards that have maintained all their instances, and of which no
	// instance is down any more. A shard never becomes undone.
	Done []bool
}

// Permits returns how many instances of a shard may be down for the wave at a time.
//
// Every permit has a home shard and belongs to the first shard from there on, in a cyclic
// order, that has members and is not done. A process that has not yet read that some shards
// are done therefore counts fewer permits for its own shard, never more, and the permits of
// all shards never exceed the limit.
func Permits(w Wave, shard int) int {
	if w.Members[shard] == 0 || w.Done[shard] {
		return 0
	}
	permits := 0
	for home, count := range homes(w) {
		if count > 0 && w.holder(home) == shard {
			permits += count
		}
	}
	return permits
}

// holder returns the shard that has the permits of a home shard. At least one shard must
// have members and not be done.
func (w Wave) holder(home int) int {
	for i := range w.Members {
		shard := (home + i) % len(w.Members)
		if w.Members[shard] > 0 && !w.Done[shard] {
			return shard
		}
	}
	return home
}

// homes returns the number of permits whose home is each shard, in proportion to its
// members.
func homes(w Wave) []int {
	total := 0
	for _, n := range w.Members {
		total += n
	}
	homes := make([]int, len(w.Members))
	if total == 0 {
		return homes
	}
	// The cumulative share is rounded, so that the counts add up to the limit.
	seen, given := 0, 0
	for shard, n := range w.Members {
		seen += n
		share := (2*seen*w.Limit + total) / (2 * total)
		homes[shard] = share - given
		given = share
	}
	return homes
}
