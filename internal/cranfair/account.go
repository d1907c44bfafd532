package cranfair

import "math"

const (
	// depthSeconds is the depth of a bucket in seconds of its rate. A peak of a queue lasts 4 s, in
	// which a tenant sends about twice its mean; the depth holds half of what exceeds the mean then.
	depthSeconds = 2
	// minDepth is the least depth in tokens. Of the jobs of a tenant that sends half its weight at
	// random times, less than a hundredth find a bucket of this depth empty.
	minDepth = 4
	// standingMs is the time constant with which an arrival ceases to count for the standing of a
	// tenant.
	standingMs = 2000
)

// Depth returns the depth of the bucket of a tenant over all shards, in jobs. A tenant without
// weight has none.
func Depth(weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return max(minDepth, depthSeconds*weight)
}

// account is the bucket of a tenant in one shard.
type account struct {
	// rate is the part of the weight that belongs to the shard, in jobs per millisecond, and depth
	// that of the depth in jobs.
	rate, depth float64
	// tokens is between 0 and depth, as of filledMs. filledMs never falls.
	tokens   float64
	filledMs int64
	// used counts the jobs within the entitlement.
	used uint64
	// others holds the buckets of the tenant in the other shards as far as this process knows them.
	others map[int]*estimate
	// within and total count the recent arrivals, decayed as of countedMs.
	within, total float64
	countedMs     int64
	// beyondMs is when the newest job beyond the entitlement was received; 0 if there was none.
	beyondMs int64
}

// estimate is what an owner knows about the bucket of a tenant in another shard.
type estimate struct {
	tokens float64
	// used is the newest total that the shard has published.
	used uint64
}

// setWeight changes the rate and the depth. A bucket without any is full afterwards.
func (a *account) setWeight(weight float64, shards int) {
	part := 1 / float64(shards)
	empty := a.depth == 0
	a.rate, a.depth = weight*part/1000, Depth(weight)*part
	if a.depth > 0 {
		a.depth = max(a.depth, 1)
	}
	a.tokens = min(a.tokens, a.depth)
	if empty {
		a.tokens = a.depth
	}
}

// fill adds the tokens of the time up to atMs.
func (a *account) fill(atMs int64) {
	if atMs <= a.filledMs {
		return
	}
	a.tokens = min(a.tokens+a.rate*float64(atMs-a.filledMs), a.depth)
	a.filledMs = atMs
}

// take takes a token for a job that was received at atMs, and reports whether there was one.
func (a *account) take(atMs int64) bool {
	a.fill(atMs)
	within := a.tokens >= 1
	if within {
		a.tokens--
		a.used++
	} else {
		a.beyondMs = atMs
	}
	a.count(atMs, within)
	return within
}

// count records an arrival for the standing of the tenant.
func (a *account) count(atMs int64, within bool) {
	decay := math.Exp(-float64(max(atMs-a.countedMs, 0)) / standingMs)
	a.within, a.total = a.within*decay, a.total*decay+1
	if within {
		a.within++
	}
	a.countedMs = max(a.countedMs, atMs)
}

// observe records the total that another shard has published. The first total is only the base
// of the later ones.
func (a *account) observe(shard int, used uint64) {
	e := a.others[shard]
	if e == nil {
		if a.others == nil {
			a.others = map[int]*estimate{}
		}
		a.others[shard] = &estimate{used: used}
		return
	}
	if used > e.used {
		e.tokens -= float64(used - e.used)
		e.used = used
	}
}

// share adds the tokens that the buckets of the other shards have got within a time and can't
// hold. They are divided equally among the shards whose bucket isn't full, this one included. What
// the others have used in that time was observed before.
func (a *account) share(number, shards int, elapsedMs int64) {
	excess, open := 0.0, 1
	for shard := range shards {
		if shard == number {
			continue
		}
		if a.others[shard] == nil {
			a.observe(shard, 0)
		}
		e := a.others[shard]
		e.tokens += a.rate * float64(elapsedMs)
		if e.tokens < a.depth {
			open++
			continue
		}
		excess += e.tokens - a.depth
		e.tokens = a.depth
	}
	part := excess / float64(open)
	a.tokens = min(a.tokens+part, a.depth)
	for _, e := range a.others {
		e.tokens = min(max(e.tokens+part, 0), a.depth)
	}
}
