package cranoverload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranadmit"
	"github.com/cranberrypick/cranberrypick/internal/cranfair"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/crantenant"
	"github.com/cranberrypick/cranberrypick/internal/cranvirtual"
)

const (
	queueName, poolName = "q", "p"
	tickInterval        = 25 * time.Millisecond
	storeTime           = 6 * time.Millisecond
	// minTransit and transitRange are the bounds of the time that a call or a response is under way.
	minTransit, transitRange = time.Millisecond, 3 * time.Millisecond
	// begin is the steady clock at the beginning, and unixBeginMs the wall clock at its zero.
	begin       = time.Hour
	unixBeginMs = 1_700_000_000_000
	// minDrain is the least time after the surge in which jobs may end.
	minDrain = time.Minute
)

// simulation is one run. Its events are those of the engine.
type simulation struct {
	cranvirtual.Engine[time.Duration]
	settings             Settings
	surgeBegin, surgeEnd time.Duration
	// delays draws the times of calls and the entry instances to which jobs are sent.
	delays    *rand.Rand
	jobs      map[string]*job
	targets   map[string]*target
	infos     []cransched.TargetInfo
	instances []cransched.InstanceInfo
	stored    *cranjob.Replica
	offset    uint64
	scheduler *cransched.Scheduler
	// fault is the first record that the store has rejected.
	fault error
	// waiting counts the accepted jobs of which no task has started, open all jobs that were neither refused nor
	// have ended.
	waiting, open int
	boards        [entries]*cranadmit.Board
	controller    *cranadmit.Controller
}

// newSimulation returns a simulation with an owner that has just taken over.
func newSimulation(settings Settings) (*simulation, error) {
	s := &simulation{
		Engine: cranvirtual.NewEngine(begin), settings: settings, surgeBegin: begin + warmUp, surgeEnd: begin + warmUp + settings.Length,
		delays: rand.New(rand.NewPCG(settings.Seed, 1)), jobs: map[string]*job{}, targets: map[string]*target{}, stored: cranjob.NewReplica(),
	}
	for i := range s.boards {
		s.boards[i] = cranadmit.NewBoard()
	}
	capacity := cranjob.Resources{CPU: targetCPU, Memory: targetMemory}
	for i := range settings.Targets {
		id := fmt.Sprintf("t%d", i)
		info := cransched.TargetInfo{
			ID: id, Pool: poolName, Address: id, Labels: []string{"a", "r1"}, Instance: "m" + id, Capacity: capacity, ProcessStartMs: s.clock().UnixMs,
		}
		s.infos = append(s.infos, info)
		s.instances = append(s.instances, cransched.InstanceInfo{Instance: info.Instance, Pool: poolName, Up: true, Target: id, Capacity: capacity})
		s.targets[id] = &target{sim: s, info: info, startedAt: begin, runs: map[cranjob.TaskName]*run{}}
	}
	tenants, err := crantenant.New([]crantenant.Entry{
		{Tenant: crantenant.Tenant{Name: calm, Weight: s.jobsPerSecond(calmEntitlement)}},
		{Tenant: crantenant.Tenant{Name: hot, Weight: s.jobsPerSecond(hotEntitlement)}},
	})
	if err != nil {
		return nil, err
	}
	config := &cransched.Config{
		Version: 1, Tenants: tenants, Pools: map[string]*cransched.Pool{poolName: {Name: poolName}},
		Queues: map[string]*cransched.Queue{queueName: {Name: queueName, Pool: poolName, Attempts: 3, Stretch: stretch, LatencyTarget: latencyTarget}},
	}
	timing := cransched.Timing{MaxLease: 6 * time.Second, StopTime: 900 * time.Millisecond, OrderLease: 3 * time.Second, DeliveryTime: deliveryTime}
	s.scheduler = cransched.New(1, timing, config, s.stored, s.clock(), cransched.Predecessor{}, cransched.WithFairness(cranfair.NewLedger(0, 1)))
	return s, nil
}

// slots returns the number of tasks that the targets run at a time, which is the capacity.
func (s *simulation) slots() int { return s.settings.Targets * slotsPerTarget }

func (s *simulation) clock() cransched.Clock {
	return cransched.Clock{Steady: s.Now(), UnixMs: s.Now().Milliseconds() + unixBeginMs}
}

// Run simulates one surge. It returns a fault of the kind cranfault.Invalid if the settings are invalid.
func Run(settings Settings) (Result, error) {
	if err := settings.validate(); err != nil {
		return Result{}, err
	}
	s, err := newSimulation(settings)
	if err != nil {
		return Result{}, err
	}
	// Jobs don't depend on the policy.
	random := rand.New(rand.NewPCG(settings.Seed, 2))
	s.scheduleCallers(random, begin, s.surgeBegin, warmUpFactor, false)
	s.scheduleCallers(random, s.surgeBegin, s.surgeEnd, settings.Factor, true)
	s.open = len(s.jobs)
	s.tick()
	if settings.Policy == Product {
		s.publishFigures()
	}
	limit := s.surgeEnd + time.Duration(settings.Factor*float64(settings.Length)) + minDrain
	for s.fault == nil && (s.open > 0 || s.Now() < s.surgeEnd) && s.RunNextUntil(limit) {
		continue
	}
	return s.result(), s.fault
}

// tick runs the scheduler from now on.
func (s *simulation) tick() {
	s.handle(func() {
		s.scheduler.SetTargets(s.infos)
		s.scheduler.SetInstances(s.instances, s.Now())
		s.scheduler.Tick()
		s.scheduler.SetStoreLatency(storeTime)
	})
	s.Schedule(s.Now()+tickInterval, s.tick)
}

// handle passes an event to the scheduler, stores its next batch and performs its effects.
func (s *simulation) handle(event func()) {
	s.scheduler.Advance(s.clock())
	event()
	if records, found := s.scheduler.NextBatch(); found {
		s.Schedule(s.Now()+storeTime, func() {
			for _, r := range records {
				s.store(r.Key, r.Value)
			}
			s.handle(s.scheduler.ConfirmBatch)
		})
	}
	for _, e := range s.scheduler.Effects() {
		s.perform(e)
	}
}

func (s *simulation) store(key string, value []byte) {
	if _, err := s.stored.Apply(key, value, s.offset); err != nil && s.fault == nil {
		s.fault = err
	}
	s.offset++
}

func (s *simulation) perform(e cransched.Effect) {
	switch e := e.(type) {
	case cransched.Heartbeat:
		sent := s.Now()
		s.afterTransit(func() {
			s.targets[e.Target.ID].heartbeat(e, func(r cransched.HeartbeatResponse) {
				r.SentAt = sent
				s.afterTransit(func() { s.handle(func() { s.scheduler.HandleHeartbeatResponse(e.Target, r) }) })
			})
		})
	case cransched.StartRun:
		s.call(func() cransched.Response { return s.targets[e.Target.ID].start(e) }, func(r cransched.Response) { s.scheduler.HandleStartResponse(e, r) })
	case cransched.StopRun:
		s.call(func() cransched.Response { return s.targets[e.Target.ID].stop(e) }, func(r cransched.Response) { s.scheduler.HandleStopResponse(e, r) })
	case cransched.LogEntry:
		if j := s.jobs[e.Job]; j != nil && e.Kind == cransched.LogJobEnded {
			j.endedAt, j.failed = s.Now(), e.State != cranjob.Completed
			s.open--
		}
	}
}

// call performs an order to a target and passes the response to the scheduler.
func (s *simulation) call(perform func() cransched.Response, onResponse func(cransched.Response)) {
	sent := s.Now()
	s.afterTransit(func() {
		r := perform()
		r.SentAt = sent
		s.afterTransit(func() { s.handle(func() { onResponse(r) }) })
	})
}

func (s *simulation) afterTransit(perform func()) {
	s.Schedule(s.Now()+minTransit+time.Duration(s.delays.Int64N(int64(transitRange))), perform)
}
