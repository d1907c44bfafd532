package cransched

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// planInterval is how often the desired pool sizes are recomputed.
	planInterval = 100 * time.Millisecond
	// moveTime is the time from the order of a move to the first task on the instance in
	// its new pool.
	moveTime = 2000 * time.Millisecond
	// lateWorkHorizon is the time within which work should finish that can't meet its soft
	// deadline any more.
	lateWorkHorizon = 5000 * time.Millisecond
	// usableShare is the fraction of an instance that tasks of mixed sizes can use.
	usableShare = 0.9
	// peakHoldTime is how long a pool keeps its instances from a standby pool after demand has
	// dropped. Moving an instance away and back costs about two seconds of its time.
	peakHoldTime = 1200 * time.Millisecond
	// spareInstances is the number of instances that each pool gets beyond its demand. The
	// first jobs of a surge arrive before an instance can be moved.
	spareInstances = 1
	// moveTimeout is the time after which an unfinished move no longer counts as in
	// progress.
	moveTimeout = 8 * time.Second
	// moveRetryInterval is the time after which an unanswered move is sent again.
	moveRetryInterval = 1000 * time.Millisecond
	// defaultOrdersPerSecond is how many orders about instances the platform is assumed to
	// accept per second, and moveShare the fraction of them that may be moves. The rest is
	// for maintenance and for repeated orders.
	defaultOrdersPerSecond = 64
	moveShare              = 0.95
)

// moveBurst is the length of time for which moves that were not ordered may be ordered later.
const moveBurst = 150 * time.Millisecond

// moveBudget limits the moves to the rate of orders that the platform accepts. It counts the
// time between two planning rounds, which varies with the load of the process.
type moveBudget struct {
	left          float64
	replenishedAt time.Duration
}

// replenish adds the moves that the platform has accepted since the last call.
func (b *moveBudget) replenish(now time.Duration, ordersPerSecond float64) {
	if ordersPerSecond <= 0 {
		ordersPerSecond = defaultOrdersPerSecond
	}
	rate := moveShare * ordersPerSecond
	b.left = min(b.left+rate*(now-b.replenishedAt).Seconds(), max(rate*moveBurst.Seconds(), 1))
	b.replenishedAt = now
}

// allows reports whether a move may be ordered.
func (b *moveBudget) allows() bool { return b.left >= 1 }

// spend counts a move that was ordered.
func (b *moveBudget) spend() { b.left-- }

// peakDemand is the largest number of instances that a pool needed recently, kept until a
// time.
type peakDemand struct {
	count int
	until time.Duration
}

// demand is the load that the jobs of a pool ask for.
type demand struct {
	// longRunning is the load of long-running tasks, urgent the load that the other tasks
	// need now to complete in time, and expected the forecast load of arriving jobs. late is
	// the load of tasks that can't complete in time any more.
	longRunning, urgent, expected, late load
	// minInstances is the number of instances needed to spread the tasks of a step.
	minInstances int
}

// planPools adapts the sizes of the pools by moving empty instances. Demand surges in one
// pool at a time, beyond its capacity, while the others are idle. The pool under load
// therefore gets the instances that the others leave empty, and instances that no pool
// needs are switched off.
func (s *Scheduler) planPools() {
	now := s.clock.Steady
	if s.fleet.listRequestedAt == 0 || s.config == nil || now < s.fleet.nextPlanAt {
		return
	}
	s.fleet.nextPlanAt = now + planInterval
	s.checkMoves()
	s.fleet.budget.replenish(now, s.timing.OrdersPerSecond)
	supply := s.supply()
	balances := s.balances(supply)
	s.reportPools(balances, supply)
	s.rebalance(balances, supply)
	s.retireSurplus(balances, supply)
	s.vacateForStarved(supply)
}

// poolBalance compares the instances that a pool has with those that it needs.
type poolBalance struct {
	pool string
	// total counts the instances whose target takes tasks, and those on their way to the pool.
	total int
	// punctual is how many instances the long-running tasks and the work that can still
	// complete in time need, needed how many all work of the pool needs, and held the most
	// that it has needed within peakHoldTime.
	punctual, needed, held int
}

// balances returns the balance of each pool that isn't a standby pool.
func (s *Scheduler) balances(supply map[string]*poolSupply) []*poolBalance {
	demands := s.demands()
	var balances []*poolBalance
	for _, name := range slices.Sorted(maps.Keys(s.config.Pools)) {
		if s.config.Pools[name].Standby {
			continue
		}
		d, p := demands[name], supply[name]
		if d == nil {
			d = &demand{}
		}
		starved := s.starvedInstances(name, p)
		needed := max(s.desiredInstances(d, p, d.late), starved)
		balances = append(balances, &poolBalance{
			pool: name, total: p.total(),
			punctual: max(s.desiredInstances(d, p, load{}), starved), needed: needed, held: s.holdPeak(name, needed),
		})
	}
	return balances
}

// poolSupply describes the instances that a pool has.
type poolSupply struct {
	// members counts the instances whose target takes tasks or soon will.
	members int
	// empty lists the instances on which nothing runs, including those in standby.
	empty []string
	// arriving counts the moves in progress to the pool.
	arriving int
	// retiring counts the instances whose target takes no further tasks since another pool lacks them,
	// and retired lists those of them on which nothing runs any more. They are no members.
	retiring int
	retired  []string
	capacity cranjob.Resources
}

func (p *poolSupply) total() int { return p.members + p.arriving }

// supply counts the instances of each pool. It has an entry for every pool.
func (s *Scheduler) supply() map[string]*poolSupply {
	supply := map[string]*poolSupply{}
	var usual cranjob.Resources
	entryOf := func(pool string) *poolSupply {
		if supply[pool] == nil {
			supply[pool] = &poolSupply{}
		}
		return supply[pool]
	}
	for _, id := range slices.Sorted(maps.Keys(s.fleet.instances)) {
		i := s.fleet.instances[id]
		if m := s.fleet.moves[id]; m != nil {
			entryOf(m.pool).arriving++
			continue
		}
		p := entryOf(i.Pool)
		if p.capacity.CPU == 0 {
			p.capacity = i.Capacity
		}
		if usual.CPU == 0 {
			usual = i.Capacity
		}
		if !i.Up || s.hasWaveOrder(id) {
			continue
		}
		if s.isStandby(i.Pool) {
			p.empty = append(p.empty, id)
			continue
		}
		t := s.targets[i.Target]
		if t == nil || t.info.Draining || t.cordoned || t.info.Pool != i.Pool {
			continue
		}
		if t.retiring {
			p.retiring++
			if t.fenced && len(t.runs) == 0 && !t.superseded && t.listed && !t.overdue(s.clock.Steady) {
				p.retired = append(p.retired, id)
			}
			continue
		}
		p.members++
		if t.fenced && len(t.runs) == 0 && !t.superseded && t.listed && !t.overdue(s.clock.Steady) {
			p.empty = append(p.empty, id)
		}
	}
	for name := range s.config.Pools {
		// The instances that a pool without any will get are like those of the others.
		if p := entryOf(name); p.capacity.CPU == 0 {
			p.capacity = usual
		}
	}
	return supply
}

// hasWaveOrder reports whether a wave has an order in progress for an instance.
func (s *Scheduler) hasWaveOrder(instance string) bool {
	for _, w := range s.fleet.waves {
		if w.completed {
			continue
		}
		for _, m := range w.members {
			if m.instance == instance && (m.state == maintenanceOrdered || s.countsAsDown(m)) {
				return true
			}
		}
	}
	return false
}

// demands computes the demand of each pool from its jobs and recent arrivals.
func (s *Scheduler) demands() map[string]*demand {
	demands := map[string]*demand{}
	for _, j := range s.jobs {
		d := demands[j.Pool]
		if d == nil {
			d = &demand{}
			demands[j.Pool] = d
		}
		s.updateEstimates(j)
		for _, st := range j.stages {
			if !st.complete() && s.readyWithinMoveTime(j, st) {
				parallelism, late := s.requiredParallelism(j, st)
				d.add(st, st.limitToCap(parallelism), late)
			}
		}
	}
	for pool, arrivals := range s.arrivals {
		if demands[pool] != nil {
			demands[pool].expected = arrivals.forecast(s.clock.Steady)
		}
	}
	return demands
}

// recordRecentArrival adds a job to the arrival history that arrived shortly before this
// owner took over, so that the forecast survives a change of owner.
func (s *Scheduler) recordRecentArrival(submission *cranjob.Job) {
	age := time.Duration(s.clock.UnixMs-submission.ReceivedMs) * time.Millisecond
	if age >= 0 && age < arrivalSlot*arrivalSlots {
		s.recordArrival(newJob(submission, nil), age)
	}
}

// recordArrival adds the work of a job of the given age to the arrival history of its pool.
// Jobs with scheduled occurrences are ignored, and so are long-running steps.
func (s *Scheduler) recordArrival(j *job, age time.Duration) {
	if j.Times > 0 || s.capped[j.Tenant] {
		return
	}
	s.updateEstimates(j)
	arrivals := s.arrivals[j.Pool]
	if arrivals == nil {
		arrivals = &arrivalHistory{}
		s.arrivals[j.Pool] = arrivals
	}
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.LongRunning {
			continue
		}
		reserved := step.Reservation()
		seconds := float64(step.Count) * j.durationMs[i] / 1000
		arrivals.add(load{seconds * float64(reserved.CPU), seconds * float64(reserved.Memory)}, s.clock.Steady, age)
	}
}

// readyWithinMoveTime reports whether a stage may become ready before an instance could be
// moved for it.
func (s *Scheduler) readyWithinMoveTime(j *job, st *stage) bool {
	if j.DueMs(st.name.Occurrence) > s.clock.UnixMs+moveTime.Milliseconds() {
		return false
	}
	firstStage := st.name.Occurrence * len(j.Steps)
	for _, dependency := range st.step.After {
		if j.stages[firstStage+dependency].waiting > 0 {
			return false
		}
	}
	return true
}

// requiredParallelism returns how many tasks of a stage have to run at the same time for
// the job to complete in time. If it can't any more, late is true and the work is spread over
// lateWorkHorizon. Work beyond the entitlement of its tenant counts like late work, so that no pool
// grows faster for it, and none at the expense of work that is owed.
func (s *Scheduler) requiredParallelism(j *job, st *stage) (parallelism float64, late bool) {
	openTasks := float64(len(st.tasks) - st.done)
	durationMs := j.durationMs[st.name.Step]
	if st.step.LongRunning || st.step.Gang || durationMs <= 0 {
		return openTasks, j.beyond
	}
	laterStepsMs := j.criticalPathMs[st.name.Step] - j.longestMs[st.name.Step]
	availableMs := float64(s.softDeadlineMs(j, st.name.Occurrence)-s.clock.UnixMs) - laterStepsMs
	if availableMs < durationMs || j.beyond {
		return openTasks * min(durationMs/float64(lateWorkHorizon.Milliseconds()), 1), true
	}
	return openTasks * durationMs / availableMs, false
}

// add adds the load of a stage that runs with the given parallelism.
func (d *demand) add(st *stage, parallelism float64, late bool) {
	reserved := st.step.Reservation()
	need := load{parallelism * float64(reserved.CPU), parallelism * float64(reserved.Memory)}
	switch {
	case st.step.LongRunning:
		d.longRunning = d.longRunning.plus(need)
	case late:
		d.late = d.late.plus(need)
		return
	default:
		d.urgent = d.urgent.plus(need)
	}
	limit := st.step.MaxPerTarget
	if limit == 0 && st.step.LongRunning && st.step.MaxUnavailable > 0 {
		limit = st.spreadLimit()
	}
	if limit > 0 {
		d.minInstances = max(d.minInstances, int(math.Ceil(parallelism/float64(limit))))
	}
}

// desiredInstances returns the number of instances that a demand needs, with the given part of
// its late work.
func (s *Scheduler) desiredInstances(d *demand, p *poolSupply, late load) int {
	if p.capacity.CPU == 0 || p.capacity.Memory == 0 {
		return spareInstances
	}
	cpu := (d.longRunning.cpu + max(d.urgent.cpu+late.cpu, d.expected.cpu)) / (usableShare * float64(p.capacity.CPU))
	memory := (d.longRunning.memory + max(d.urgent.memory+late.memory, d.expected.memory)) / (usableShare * float64(p.capacity.Memory))
	return max(int(math.Ceil(max(cpu, memory)))+spareInstances, d.minInstances)
}

// starvedInstances returns the number of instances that a pool needs for a task that fits on
// none of its targets: one more than its members. The demand of the pool
// alone doesn't show this, since its total free capacity may be large enough for the task.
func (s *Scheduler) starvedInstances(pool string, p *poolSupply) int {
	if !s.starved[pool] {
		return 0
	}
	return p.members + 1
}

// holdPeak returns the largest number of instances that the pool needed within
// peakHoldTime, so that a short dip in demand moves no instance to a standby pool.
func (s *Scheduler) holdPeak(pool string, count int) int {
	peak := s.fleet.peaks[pool]
	if peak == nil || count >= peak.count || s.clock.Steady >= peak.until {
		s.fleet.peaks[pool] = &peakDemand{count: count, until: s.clock.Steady + peakHoldTime}
		return count
	}
	return peak.count
}
