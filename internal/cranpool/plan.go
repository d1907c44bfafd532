package cranpool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MoveTime is the time from the order of a move to the first task on the instance in
	// its new pool.
	MoveTime = 2000 * time.Millisecond
	// UsableShare is the fraction of an instance that tasks of mixed sizes can use.
	UsableShare = 0.9
	// spareInstances is the number of instances that each pool gets beyond its demand. The
	// first jobs of a surge arrive before an instance can be moved.
	spareInstances = 1
	// heightMargin is by how much a peak may exceed the mean height of earlier ones.
	heightMargin = 1.25
)

// Supply describes the instances that a pool has.
type Supply struct {
	// Members counts the instances whose target takes tasks or soon will.
	Members int
	// Empty lists the instances on which nothing runs, including those in standby.
	Empty []string
	// Arriving counts the moves in progress to the pool.
	Arriving int
	// Retiring counts the instances whose target takes no further tasks since another pool lacks them,
	// and Retired lists those of them on which nothing runs any more. They are no members.
	Retiring int
	Retired  []string
	// Capacity is that of one instance; 0 if it isn't known.
	Capacity Load
}

// Total counts the instances whose target takes tasks, and those on their way to the pool.
func (p *Supply) Total() int { return p.Members + p.Arriving }

// Pool is the supply and the demand of a pool.
type Pool struct {
	Name string
	// Standby is set for a pool whose instances are switched off.
	Standby bool
	Supply  Supply
	Demand  Demand
	// Outlook is the forecast of the next peak; nil if the peaks have no clear period.
	Outlook *Outlook
	// Starved is set if a task of the pool fits on none of its targets.
	Starved bool
}

// Balance compares the instances that a pool has with those that it needs.
type Balance struct {
	Pool  string
	Total int
	// Punctual is how many instances the long-running tasks and the work that can still
	// complete in time need, Prepared how many these and the next peak need, if it is near, Needed
	// how many all work of the pool needs, and Held how many it keeps from a standby pool.
	Punctual, Prepared, Needed, Held int
	empty                            []string
}

// Move is the decision to move an instance to a pool.
type Move struct{ Instance, Pool string }

// Limits restrict the moves of one plan.
type Limits struct {
	// Moves is the largest number of them.
	Moves int
	// MayMove reports whether the platform accepts a move now.
	MayMove func(Move) bool
}

// Planner plans the moves of the instances of a shard. It isn't safe for concurrent use.
type Planner struct {
	costs Costs
	// peaks holds the recent peak demand of each pool.
	peaks map[string]*peakDemand
}

// NewPlanner returns a planner that knows nothing of earlier demand.
func NewPlanner(costs Costs) *Planner {
	return &Planner{costs: costs, peaks: map[string]*peakDemand{}}
}

// Plan returns the balance of each pool that isn't a standby pool, and the moves to order.
// The pools must be sorted by name.
func (p *Planner) Plan(now time.Duration, pools []Pool, limits Limits) ([]Balance, []Move) {
	balances := p.balances(now, pools)
	return balances, planMoves(balances, pools, p.neededSoon(pools), limits)
}

// balances returns the balance of each pool that isn't a standby pool.
func (p *Planner) balances(now time.Duration, pools []Pool) []Balance {
	var balances []Balance
	for i := range pools {
		pool := &pools[i]
		if pool.Standby {
			continue
		}
		pool.limitForecast()
		starved := pool.starvedInstances()
		d, supply := &pool.Demand, &pool.Supply
		b := Balance{Pool: pool.Name, Total: supply.Total(), empty: supply.Empty, Punctual: max(d.instances(supply.Capacity, Load{}), starved)}
		b.Prepared = max(b.Punctual, pool.preparedInstances())
		b.Needed = max(d.instances(supply.Capacity, d.Late), starved, b.Prepared)
		b.Held = p.held(now, pool, b.Needed)
		balances = append(balances, b)
	}
	return balances
}

// limitForecast limits the load that the growth of arrivals lets expect to heightMargin times the height of
// the peaks, if that is known. The growth at the begin of a peak is as steep as that of a much higher one. The load
// that has arrived is not limited.
func (p *Pool) limitForecast() {
	if p.Outlook == nil {
		return
	}
	expected, height := &p.Demand.Expected, p.Outlook.Height.Times(heightMargin)
	expected.CPU = min(expected.CPU, max(height.CPU, expected.CPU/maxGrowth))
	expected.Memory = min(expected.Memory, max(height.Memory, expected.Memory/maxGrowth))
}

// preparedInstances returns the number of instances that the next peak needs, if it is near.
func (p *Pool) preparedInstances() int {
	if p.Outlook == nil || !p.Outlook.Near() {
		return 0
	}
	return p.peakInstances()
}

// peakInstances returns the number of instances that the next peak needs.
func (p *Pool) peakInstances() int {
	d := Demand{LongRunning: p.Demand.LongRunning, Expected: p.Outlook.Height}
	return d.instances(p.Supply.Capacity, Load{})
}

// starvedInstances returns the number of instances that a pool needs for a task that fits on
// none of its targets: one more than its members. The demand of the pool
// alone doesn't show this, since its total free capacity may be large enough for the task.
func (p *Pool) starvedInstances() int {
	if !p.Starved {
		return 0
	}
	return p.Supply.Members + 1
}

// peakDemand is the largest number of instances that a pool needed recently, kept until a
// time.
type peakDemand struct {
	count int
	until time.Duration
}

// held returns how many instances a pool keeps from a standby pool. Between two peaks whose time is known,
// that is what it needs, and what the next peak needs if that is so near that idling until then costs less than
// a move away and back. Otherwise it is the peak of the last time in which idling has cost less than that.
func (p *Planner) held(now time.Duration, pool *Pool, needed int) int {
	held := p.holdPeak(now, pool.Name, needed)
	o := pool.Outlook
	switch {
	case o == nil || o.InPeak:
		return held
	case o.NextPeak-MoveTime <= p.costs.breakEven():
		return max(needed, pool.peakInstances())
	}
	return needed
}

// neededSoon returns how many instances other pools will be given so soon that an idle one is better kept for
// them where it is: its way over a standby pool would take one more move, which costs more than its idling.
func (p *Planner) neededSoon(pools []Pool) int {
	count := 0
	for i := range pools {
		o := pools[i].Outlook
		if pools[i].Standby || o == nil || o.Near() || o.NextPeak-prepareAhead > p.costs.breakEven()/2 {
			continue
		}
		count += max(pools[i].peakInstances()-pools[i].Supply.Total(), 0)
	}
	return count
}

// holdPeak returns the largest number of instances that the pool needed within the time in which idling has
// cost less than a move away and back, so that a short dip in demand moves no instance to a standby pool.
func (p *Planner) holdPeak(now time.Duration, pool string, count int) int {
	peak := p.peaks[pool]
	if peak == nil || count >= peak.count || now >= peak.until {
		p.peaks[pool] = &peakDemand{count: count, until: now + p.costs.breakEven()}
		return count
	}
	return peak.count
}

// shortage is a number of instances that a pool lacks.
type shortage struct {
	pool  string
	count int
}

// shortages returns what the pools lack, in the order in which they get instances: first for
// work that can still complete in time, then for the next peaks, then for late work, and the largest
// shortage first.
func shortages(balances []Balance) []shortage {
	var list []shortage
	for _, targetOf := range []func(*Balance) (have, want int){
		func(b *Balance) (int, int) { return b.Total, b.Punctual },
		func(b *Balance) (int, int) { return max(b.Total, b.Punctual), b.Prepared },
		func(b *Balance) (int, int) { return max(b.Total, b.Punctual, b.Prepared), b.Needed },
	} {
		begin := len(list)
		for i := range balances {
			if have, want := targetOf(&balances[i]); want > have {
				list = append(list, shortage{balances[i].Pool, want - have})
			}
		}
		slices.SortFunc(list[begin:], func(a, b shortage) int { return cmp.Or(b.count-a.count, cmp.Compare(a.pool, b.pool)) })
	}
	return list
}

// surplus returns the empty instances that a pool doesn't need now.
func (b *Balance) surplus() []string {
	return b.empty[:min(max(b.Total-b.Needed, 0), len(b.empty))]
}

// unneeded returns those of the surplus that the pool has not needed lately.
func (b *Balance) unneeded() []string {
	empty := b.surplus()
	return empty[:min(max(b.Total-b.Held, 0), len(empty))]
}

// planMoves moves empty instances to pools with a shortage, and those that no pool has needed
// lately to a standby pool, except for as many as are needed soon. It answers demand that turns from one pool to the next: a surplus is
// used first, since an instance that goes to a standby pool while another one comes from there
// takes two moves, and a peak that is over keeps no instance from a pool that lacks it.
func planMoves(balances []Balance, pools []Pool, neededSoon int, limits Limits) []Move {
	var surplus []string
	unneeded := map[string]bool{}
	// A pool that lacks instances again keeps those that it has retired.
	kept := map[string]int{}
	for i := range pools {
		p := &pools[i]
		lacks := 0
		for _, b := range balances {
			if b.Pool == p.Name {
				lacks = max(b.Needed-b.Total, 0)
			}
		}
		kept[p.Name] = min(lacks, len(p.Supply.Retired))
		surplus = append(surplus, p.Supply.Retired[kept[p.Name]:]...)
	}
	for i := range balances {
		surplus = append(surplus, balances[i].surplus()...)
		for _, instance := range balances[i].unneeded() {
			unneeded[instance] = true
		}
	}
	var moves []Move
	order := func(instance, pool string) {
		if m := (Move{instance, pool}); limits.MayMove(m) {
			moves = append(moves, m)
		}
	}
	standby, reserve := standbyReserve(pools)
	for _, lack := range shortages(balances) {
		own := min(kept[lack.pool], lack.count)
		kept[lack.pool] -= own
		for n := lack.count - own; n > 0 && len(surplus)+len(reserve) > 0 && len(moves) < limits.Moves; n-- {
			donors := &surplus
			if len(surplus) == 0 {
				donors = &reserve
			}
			order((*donors)[0], lack.pool)
			*donors = (*donors)[1:]
		}
	}
	for _, instance := range surplus {
		if standby == "" || len(moves) >= limits.Moves {
			break
		}
		if !unneeded[instance] {
			continue
		}
		if neededSoon--; neededSoon < 0 {
			order(instance, standby)
		}
	}
	return moves
}

// standbyReserve returns the empty instances of all standby pools, and the name of one of these
// pools; empty if there is none.
func standbyReserve(pools []Pool) (pool string, reserve []string) {
	for i := range pools {
		if pools[i].Standby {
			pool = pools[i].Name
			reserve = append(reserve, pools[i].Supply.Empty...)
		}
	}
	return pool, reserve
}
