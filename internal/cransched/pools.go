package cransched

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

const (
	// planInterval is how often the desired pool sizes are recomputed.
	planInterval = 100 * time.Millisecond
	// moveTime is the time from the order of a move to the first task on the instance in
	// its new pool.
	moveTime = cranpool.MoveTime
	// lateWorkHorizon is the time within which work should finish that can't meet its soft
	// deadline any more.
	lateWorkHorizon = 5000 * time.Millisecond
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

// available returns how many moves may be ordered now.
func (b *moveBudget) available() int { return max(int(b.left), 0) }

// spend counts a move that was ordered.
func (b *moveBudget) spend() { b.left-- }

// planPools adapts the sizes of the pools by moving empty instances, as package cranpool decides.
func (s *Scheduler) planPools() {
	now := s.clock.Steady
	if s.fleet.listRequestedAt == 0 || s.config == nil || now < s.fleet.nextPlanAt {
		return
	}
	s.fleet.nextPlanAt = now + planInterval
	s.checkMoves()
	s.fleet.budget.replenish(now, s.timing.OrdersPerSecond)
	supply := s.supply()
	pools := s.pools(supply)
	balances, moves := s.fleet.planner.Plan(now, pools, cranpool.Limits{
		Moves:   s.fleet.budget.available(),
		MayMove: func(m cranpool.Move) bool { return s.mayMove(destination{m.Instance, m.Pool}) },
	})
	s.reportPools(balances, supply)
	s.reportPeaks(pools, balances)
	for _, m := range moves {
		s.orderMove(m.Instance, m.Pool)
	}
	s.vacateForStarved(supply)
	s.retireSurplus(pools, balances)
}

// pools returns the supply and the demand of each pool, sorted by name.
func (s *Scheduler) pools(supply map[string]*cranpool.Supply) []cranpool.Pool {
	demands := s.demands()
	var pools []cranpool.Pool
	for _, name := range slices.Sorted(maps.Keys(s.config.Pools)) {
		pool := cranpool.Pool{Name: name, Standby: s.config.Pools[name].Standby, Supply: *supply[name], Starved: s.starved[name]}
		if d := demands[name]; d != nil {
			pool.Demand = *d
		}
		if o, regular := s.calendar.Outlook(name, s.clock.Steady); regular {
			pool.Outlook = &o
		}
		pools = append(pools, pool)
	}
	return pools
}

// supply counts the instances of each pool. It has an entry for every pool.
func (s *Scheduler) supply() map[string]*cranpool.Supply {
	supply := map[string]*cranpool.Supply{}
	var usual cranpool.Load
	entryOf := func(pool string) *cranpool.Supply {
		if supply[pool] == nil {
			supply[pool] = &cranpool.Supply{}
		}
		return supply[pool]
	}
	for _, id := range slices.Sorted(maps.Keys(s.fleet.instances)) {
		i := s.fleet.instances[id]
		if m := s.fleet.moves[id]; m != nil {
			entryOf(m.pool).Arriving++
			continue
		}
		p := entryOf(i.Pool)
		if p.Capacity.CPU == 0 {
			p.Capacity = loadOf(i.Capacity)
		}
		if usual.CPU == 0 {
			usual = loadOf(i.Capacity)
		}
		if !i.Up || s.hasWaveOrder(id) {
			continue
		}
		if s.isStandby(i.Pool) {
			p.Empty = append(p.Empty, id)
			continue
		}
		t := s.targets[i.Target]
		if t == nil || t.info.Draining || t.cordoned || t.info.Pool != i.Pool {
			continue
		}
		if t.retiring {
			p.Retiring++
			if t.fenced && len(t.runs) == 0 && !t.superseded && t.listed && !t.overdue(s.clock.Steady) {
				p.Retired = append(p.Retired, id)
			}
			continue
		}
		p.Members++
		if t.fenced && len(t.runs) == 0 && !t.superseded && t.listed && !t.overdue(s.clock.Steady) {
			p.Empty = append(p.Empty, id)
		}
	}
	for name := range s.config.Pools {
		// The instances that a pool without any will get are like those of the others.
		if p := entryOf(name); p.Capacity.CPU == 0 {
			p.Capacity = usual
		}
	}
	return supply
}

// loadOf returns the constant use of resources.
func loadOf(r cranjob.Resources) cranpool.Load {
	return cranpool.Load{CPU: float64(r.CPU), Memory: float64(r.Memory)}
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
func (s *Scheduler) demands() map[string]*cranpool.Demand {
	demands := map[string]*cranpool.Demand{}
	for j := range s.openJobs() {
		d := demands[j.Pool]
		if d == nil {
			d = &cranpool.Demand{}
			demands[j.Pool] = d
		}
		s.updateEstimates(j)
		for _, st := range j.stages {
			if !st.complete() && s.readyWithinMoveTime(j, st) {
				parallelism, late := s.requiredParallelism(j, st)
				addDemand(d, st, st.limitToCap(parallelism), late)
			}
		}
	}
	for pool, arrivals := range s.arrivals {
		if demands[pool] != nil {
			demands[pool].Expected = arrivals.Forecast(s.clock.Steady)
		}
	}
	return demands
}

// recordRecentArrival adds a job to the arrival history and the calendar that arrived shortly before
// this owner took over, so that the forecasts survive a change of owner.
func (s *Scheduler) recordRecentArrival(submission *cranjob.Job) {
	age := time.Duration(s.clock.UnixMs-submission.ReceivedMs) * time.Millisecond
	if age >= 0 && age < cranpool.CalendarSpan {
		s.recordArrival(&job{Job: submission}, age)
	}
}

// recordArrival adds the work of a job of the given age to the arrival history of its pool
// and to the calendar.
// Jobs with scheduled occurrences are ignored, and so are long-running steps.
func (s *Scheduler) recordArrival(j *job, age time.Duration) {
	if j.Times > 0 || s.capped[j.Tenant] {
		return
	}
	s.updateEstimates(j)
	arrivals := s.arrivals[j.Pool]
	if arrivals == nil {
		arrivals = &cranpool.Arrivals{}
		s.arrivals[j.Pool] = arrivals
	}
	work := cranpool.Load{}
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.LongRunning {
			continue
		}
		reserved := step.Reservation()
		seconds := float64(step.Count) * j.durationMs[i] / 1000
		work = work.Plus(loadOf(reserved).Times(seconds))
	}
	if work != (cranpool.Load{}) {
		arrivals.Add(work, s.clock.Steady, age)
		s.calendar.Add(j.Pool, work, s.clock.Steady, age)
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

// addDemand adds the load of a stage that runs with the given parallelism.
func addDemand(d *cranpool.Demand, st *stage, parallelism float64, late bool) {
	need := loadOf(st.step.Reservation()).Times(parallelism)
	switch {
	case st.step.LongRunning:
		d.LongRunning = d.LongRunning.Plus(need)
	case late:
		d.Late = d.Late.Plus(need)
		return
	default:
		d.Urgent = d.Urgent.Plus(need)
	}
	limit := st.step.MaxPerTarget
	if limit == 0 && st.step.LongRunning && st.step.MaxUnavailable > 0 {
		limit = st.spreadLimit()
	}
	if limit > 0 {
		d.MinInstances = max(d.MinInstances, int(math.Ceil(parallelism/float64(limit))))
	}
}
