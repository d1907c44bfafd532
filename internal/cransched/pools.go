package cransched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// planEvery is how often the sizes of the pools are planned.
	planInterval = 100 * time.Millisecond
	// moveLead is how long an instance takes to serve another pool, from the
	// order to its first task.
	moveTime = 2000 * time.Millisecond
	// lateHorizon is the time in which work ought to be done that can no longer
	// be in time.
	lateWorkHorizon = 5000 * time.Millisecond
	// fillShare is how much of an instance tasks of several sizes can fill.
	usableShare = 0.9
	// keepFor is how long an instance stays wanted after the demand for it has
	// gone. A move there and back costs as much as about two seconds of an
	// instance.
	peakHoldTime = 1200 * time.Millisecond
	// spareInstances stay in each pool beyond its demand: the first jobs of a
	// surge come sooner than an instance moves.
	spareInstances = 1
	// movePatience is how long a move may take before it is no longer counted.
	moveTimeout = 8 * time.Second
	// moveRepeat is when an unanswered move is sent again.
	moveRetryInterval = 1000 * time.Millisecond
	// movesAtOnce bounds the moves that are ordered in one plan; the platform
	// takes some dozens of orders a second.
	maxMovesPerPlan = 6
)

// wanted remembers how many instances a pool wanted lately.
type peakDemand struct {
	count int
	until time.Duration
}

// demand is what a pool's jobs ask for.
type demand struct {
	// lasting is the room of lasting tasks, urgent what the other tasks need
	// at once to be in time, expected what the arrivals will need.
	lasting, urgent, expected load
	// instances is how many targets the spread of a step needs.
	minInstances int
}

// planPools moves empty instances between pools. It answers demand that
// surges pool by pool, to more than a pool holds, while the others idle: the
// pool in demand grows by what the others leave empty, and what nobody needs
// is switched off.
func (s *Scheduler) planPools() {
	now := s.clock.Steady
	if s.fleet.listReadAt == 0 || s.config == nil || now < s.fleet.nextPlanAt {
		return
	}
	s.fleet.nextPlanAt = now + planInterval
	s.checkMoves()
	supply := s.supply()
	demands := s.demands()
	var shortages, surpluses []poolBalance
	for _, name := range slices.Sorted(maps.Keys(s.config.Pools)) {
		if s.config.Pools[name].Standby {
			continue
		}
		desired := s.holdPeak(name, max(s.desiredInstances(demands[name], supply[name]), s.starvedInstances(name, supply[name])))
		b := poolBalance{pool: name, missing: desired - supply[name].total()}
		if b.missing > 0 {
			shortages = append(shortages, b)
		} else if b.missing < 0 {
			surpluses = append(surpluses, b)
		}
	}
	slices.SortFunc(shortages, func(a, b poolBalance) int { return cmp.Or(b.missing-a.missing, cmp.Compare(a.pool, b.pool)) })
	s.rebalance(shortages, surpluses, supply)
}

// poolBalance is how many instances a pool lacks; negative if it has too many.
type poolBalance struct {
	pool    string
	missing int
}

// poolSupply is what a pool has.
type poolSupply struct {
	// members counts instances that serve or are about to.
	members int
	// empty are instances on which nothing runs, of targets or switched off.
	empty []string
	// arriving counts moves towards the pool.
	arriving int
	capacity cranjob.Resources
}

func (p *poolSupply) total() int {
	if p == nil {
		return 0
	}
	return p.members + p.arriving
}

// supply counts the instances of each pool.
func (s *Scheduler) supply() map[string]*poolSupply {
	supply := map[string]*poolSupply{}
	poolEntry := func(pool string) *poolSupply {
		if supply[pool] == nil {
			supply[pool] = &poolSupply{}
		}
		return supply[pool]
	}
	for _, id := range slices.Sorted(maps.Keys(s.fleet.instances)) {
		i := s.fleet.instances[id]
		if m := s.fleet.moves[id]; m != nil {
			poolEntry(m.pool).arriving++
			continue
		}
		p := poolEntry(i.Pool)
		if p.capacity.CPU == 0 {
			p.capacity = i.Capacity
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
		p.members++
		if t.fenced && len(t.runs) == 0 && !t.superseded && t.listed && !t.responseOverdue(s.clock.Steady) {
			p.empty = append(p.empty, id)
		}
	}
	return supply
}

// inWave reports whether an order of a wave is under way for an instance.
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

// demands adds up what the jobs of each pool ask for.
func (s *Scheduler) demands() map[string]*demand {
	demands := map[string]*demand{}
	for _, j := range s.jobs {
		d := demands[j.Pool]
		if d == nil {
			d = &demand{}
			demands[j.Pool] = d
		}
		j.updateEstimates(s.predictors[j.Queue], s.clock.Steady)
		for _, st := range j.stages {
			if !st.complete() && s.readyWithinMoveTime(j, st) {
				d.add(st, s.requiredParallelism(j, st))
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

// recall remembers a job that came shortly before this owner took over: a
// surge goes on whoever schedules.
func (s *Scheduler) recordRecentArrival(submission *cranjob.Job) {
	age := time.Duration(s.clock.UnixMs-submission.ReceivedMs) * time.Millisecond
	if age >= 0 && age < arrivalSlot*arrivalSlots {
		s.recordArrival(newJob(submission, nil), age)
	}
}

// arrived remembers the work of a job that came an age ago.
func (s *Scheduler) recordArrival(j *job, age time.Duration) {
	if j.Times > 0 {
		return
	}
	j.updateEstimates(s.predictors[j.Queue], s.clock.Steady)
	arrivals := s.arrivals[j.Pool]
	if arrivals == nil {
		arrivals = &arrivalHistory{}
		s.arrivals[j.Pool] = arrivals
	}
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.Lasting {
			continue
		}
		room := step.Room()
		seconds := float64(step.Count) * j.durationMs[i] / 1000
		arrivals.add(load{seconds * float64(room.CPU), seconds * float64(room.Memory)}, s.clock.Steady, age)
	}
}

// comesSoon reports whether a stage's turn comes before an instance could be
// moved for it.
func (s *Scheduler) readyWithinMoveTime(j *job, st *stage) bool {
	if j.DueMs(st.name.Occurrence) > s.clock.UnixMs+moveTime.Milliseconds() {
		return false
	}
	base := st.name.Occurrence * len(j.Steps)
	for _, earlier := range st.step.After {
		if j.stages[base+earlier].waiting > 0 {
			return false
		}
	}
	return true
}

// parallel returns how many tasks of a stage have to run at once for the job
// to be in time.
func (s *Scheduler) requiredParallelism(j *job, st *stage) float64 {
	openTasks := float64(len(st.tasks) - st.done)
	duration := j.durationMs[st.name.Step]
	if st.step.Lasting || st.step.Gang || duration <= 0 {
		return openTasks
	}
	laterSteps := j.criticalPathMs[st.name.Step] - duration*longestTaskFactor(st.step.Count)
	available := float64(j.targetEndMs(st.name.Occurrence)-s.clock.UnixMs) - laterSteps
	if available < duration {
		available = float64(lateWorkHorizon.Milliseconds())
	}
	return openTasks * min(duration/available, 1)
}

// add takes in a stage of which some tasks run at once.
func (d *demand) add(st *stage, parallel float64) {
	room := st.step.Room()
	need := load{parallel * float64(room.CPU), parallel * float64(room.Memory)}
	if st.step.Lasting {
		d.lasting = d.lasting.plus(need)
	} else {
		d.urgent = d.urgent.plus(need)
	}
	limit := st.step.MaxPerTarget
	if limit == 0 && st.step.Lasting && st.step.MaxUnavailable > 0 {
		limit = st.spreadLimit()
	}
	if limit > 0 {
		d.minInstances = max(d.minInstances, int(math.Ceil(parallel/float64(limit))))
	}
}

// wantedInstances returns how many instances a demand asks for.
func (s *Scheduler) desiredInstances(d *demand, p *poolSupply) int {
	if d == nil || p == nil || p.capacity.CPU == 0 || p.capacity.Memory == 0 {
		return spareInstances
	}
	cpu := (d.lasting.cpu + max(d.urgent.cpu, d.expected.cpu)) / (usableShare * float64(p.capacity.CPU))
	memory := (d.lasting.memory + max(d.urgent.memory, d.expected.memory)) / (usableShare * float64(p.capacity.Memory))
	return max(int(math.Ceil(max(cpu, memory)))+spareInstances, d.minInstances)
}

// starvedInstances returns how many instances a pool needs for a lasting task
// that finds no room on any of its targets, though there may be enough in all.
func (s *Scheduler) starvedInstances(pool string, p *poolSupply) int {
	if !s.starved[pool] || p == nil {
		return 0
	}
	return p.members + 1
}

// remember keeps what a pool wanted for a while, so that a short trough moves
// nothing away.
func (s *Scheduler) holdPeak(pool string, count int) int {
	w := s.fleet.peaks[pool]
	if w == nil || count >= w.count || s.clock.Steady >= w.until {
		s.fleet.peaks[pool] = &peakDemand{count: count, until: s.clock.Steady + peakHoldTime}
		return count
	}
	return w.count
}
