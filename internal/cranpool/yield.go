package cranpool

import "time"

const (
	// yieldDelay is how long a pool lacks instances for punctual work before another pool empties some for it.
	// A pool whose surge lasts 4 s has no time to lose: the runs must end before the move.
	yieldDelay = 100 * time.Millisecond
	// yieldDivisor is the inverse of the share of its instances that a pool with late work keeps. With a half, 11
	// of 60 jobs of TestPunctualWorkGetsInstancesOfLateWork did not complete.
	yieldDivisor = 3
)

// Yield is the decision that a pool empties instances on which late work runs, for the punctual work of
// another pool.
type Yield struct {
	From, To string
	Count    int
}

// yieldState is what the planner remembers of a pool.
type yieldState struct {
	// lacksSince is since when the pool has lacked instances for punctual work.
	lacksSince time.Duration
	// floor is how many instances a pool with late work keeps; 0 while it yields none.
	floor int
}

// Yields returns which pools empty instances now. The balances are those of the last plan. A pool with late work
// keeps a third of the instances that it had when it began to yield, until no late work is left: with few, its
// jobs would wait in this shard while the same pool has room in another one.
func (p *Planner) Yields(now time.Duration, pools []Pool, balances []Balance) []Yield {
	byName := map[string]*Balance{}
	spare := map[string]int{}
	for i := range balances {
		byName[balances[i].Pool] = &balances[i]
	}
	for i := range pools {
		if b := byName[pools[i].Name]; b != nil {
			spare[b.Pool] = p.mayYield(&pools[i], b)
		}
	}
	var yields []Yield
	for i := range pools {
		to := &pools[i]
		b := byName[to.Name]
		if b == nil {
			continue
		}
		lacks := p.lacks(now, to, b)
		for k := range balances {
			from := &balances[k]
			if n := min(lacks, spare[from.Pool]); n > 0 && from.Pool != to.Name {
				yields = append(yields, Yield{From: from.Pool, To: to.Name, Count: n})
				spare[from.Pool] -= n
				lacks -= n
			}
		}
	}
	return yields
}

// lacks returns how many instances a pool has lacked for yieldDelay for its punctual work, some of which waits.
func (p *Planner) lacks(now time.Duration, pool *Pool, b *Balance) int {
	state := p.yieldStateOf(pool.Name)
	lacks := b.Punctual - b.Total - pool.Promised
	switch {
	case pool.Demand.Urgent == (Load{}) || lacks <= 0:
		state.lacksSince = 0
		return 0
	case state.lacksSince == 0:
		state.lacksSince = now
	}
	if now-state.lacksSince < yieldDelay {
		return 0
	}
	return lacks
}

// mayYield returns how many instances a pool with late work may empty.
func (p *Planner) mayYield(pool *Pool, b *Balance) int {
	state := p.yieldStateOf(pool.Name)
	if pool.Demand.Late == (Load{}) || len(b.empty) > 0 {
		state.floor = 0
		return 0
	}
	if state.floor == 0 {
		state.floor = (b.Total + yieldDivisor - 1) / yieldDivisor
	}
	return max(pool.Supply.Members-max(state.floor, b.Punctual), 0)
}

func (p *Planner) yieldStateOf(pool string) *yieldState {
	if p.yields[pool] == nil {
		p.yields[pool] = &yieldState{}
	}
	return p.yields[pool]
}
