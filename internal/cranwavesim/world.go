package cranwavesim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplan"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/internal/cranvirtual"
)

// simulation simulates the clock, the platform and the members that the real control state
// interacts with.
type simulation struct {
	cranvirtual.Engine[int64]
	settings Settings
	journal  *journal
	budget   *budget
	random   *rand.Rand
	// index maps the id of each instance to its index.
	index map[string]int
	// drainEndMs holds, by stop id, when the last request on the stop's instance ends.
	drainEndMs map[uint64]int64
	// drainDurationMs holds, by stop id, how long the drain takes.
	drainDurationMs map[uint64]int64
	// sampledCycleMs holds, by pool, the sum of the cycle times drawn for its reboots.
	sampledCycleMs map[string]int64
	// startedActions holds the ids of the actions that the platform has started. It performs
	// each id once.
	startedActions map[string]bool
	// unreportedInstances holds changes of the platform's list that are not yet reported.
	unreportedInstances []cranstate.Observation
	// unreportedProbes holds the results of probes that are not yet reported.
	unreportedProbes []cranstate.Probe
	// roundScheduled reports whether the next round is scheduled.
	roundScheduled bool
	// needsReplan is set when an instance enters service or leaves it unplanned, a wave
	// changes or the reducer refuses a stop. Nothing else can allow another stop.
	needsReplan bool
	// openWaves is the number of waves that have not ended.
	openWaves int
	result    Result
}

func newSimulation(s Settings) *simulation {
	return &simulation{
		Engine:   cranvirtual.NewEngine[int64](startMs),
		settings: s, journal: newJournal(), budget: newBudget(s.MaxUnavailable),
		random: rand.New(rand.NewPCG(s.Seed, s.Seed)), index: map[string]int{},
		drainEndMs: map[uint64]int64{}, drainDurationMs: map[uint64]int64{}, sampledCycleMs: map[string]int64{},
		startedActions: map[string]bool{},
	}
}

// send applies one event and handles its effects.
func (sim *simulation) send(writer string, e cranstate.Event) {
	for _, effect := range sim.journal.apply(sim.Now(), writer, e) {
		switch effect := effect.(type) {
		case cranstate.InstanceChanged:
			sim.budget.record(effect)
			sim.instanceChanged(effect)
		case cranstate.WaveChanged:
			sim.waveChanged(effect)
		default:
		}
	}
}

// instanceChanged handles the transition of an instance. When an instance is cordoned, it
// draws the time that the drain takes.
func (sim *simulation) instanceChanged(e cranstate.InstanceChanged) {
	sim.scheduleRound()
	if e.To != cranstate.PhaseCordoned {
		sim.needsReplan = sim.needsReplan || e.To == cranstate.PhaseServing || e.From == cranstate.PhaseServing
		return
	}
	in, _ := sim.journal.state.Instance(e.Instance)
	if stop, ok := in.Stop(); ok {
		drain := int64(sim.random.ExpFloat64() * meanDrainMs)
		sim.drainEndMs[stop.ID()] = sim.Now() + drain
		sim.drainDurationMs[stop.ID()] = drain
	}
}

// sendHeartbeat sends the heartbeat of a member, with the stops that have drained, and
// schedules the next one.
func (sim *simulation) sendHeartbeat(m int) {
	heartbeat := cranstate.Heartbeat{Revision: sim.journal.state.Revision()}
	for id, at := range sim.drainEndMs {
		if at <= sim.Now() {
			heartbeat.Drained = append(heartbeat.Drained, id)
		}
	}
	slices.Sort(heartbeat.Drained)
	sim.send(memberID(m), heartbeat)
	sim.Schedule(sim.Now()+heartbeatMs, func() { sim.sendHeartbeat(m) })
}

// scheduleRound schedules the next round of the lease holder unless it is already
// scheduled.
func (sim *simulation) scheduleRound() {
	if sim.roundScheduled {
		return
	}
	sim.roundScheduled = true
	sim.Schedule((sim.Now()/roundMs+1)*roundMs, sim.round)
}

// round runs one round of the lease holder: it computes the next stops from the current
// state, then reports observations, starts pending actions and proposes the stops.
func (sim *simulation) round() {
	sim.roundScheduled = false
	stops := sim.nextStops()
	probes, instances := sim.unreportedProbes, sim.unreportedInstances
	sim.unreportedProbes, sim.unreportedInstances = nil, nil
	if len(probes) > 0 {
		sim.send(memberID(0), cranstate.ProbesObserved{Probes: probes})
	}
	if len(instances) > 0 {
		sim.send(memberID(0), cranstate.InstancesObserved{Instances: instances})
	}
	for _, o := range instances {
		sim.unreportedProbes = append(sim.unreportedProbes, cranstate.Probe{Instance: o.ID, Boots: o.Boots, Healthy: true})
	}
	sim.startActions()
	refused := sim.journal.refused
	for _, stop := range stops {
		sim.send(memberID(0), stop)
	}
	sim.needsReplan = sim.needsReplan || sim.journal.refused > refused
	sim.recordActive()
	if len(sim.unreportedProbes) > 0 {
		sim.scheduleRound()
	}
}

// nextStops returns the stops that the policy proposes. It does not call the policy if
// nothing has changed that could allow another stop.
func (sim *simulation) nextStops() []cranstate.StopProposed {
	if !sim.needsReplan {
		return nil
	}
	sim.needsReplan = false
	start := time.Now()
	stops := cranplan.NextStops(sim.journal.state, sim.settings.MaxParallel)
	sim.result.SlowestCallMs = max(sim.result.SlowestCallMs, float64(time.Since(start))/float64(time.Millisecond))
	return stops
}

// startActions lets the platform start the pending actions.
func (sim *simulation) startActions() {
	for _, a := range sim.journal.state.PendingActions() {
		if sim.startedActions[a.ID] {
			continue
		}
		sim.startedActions[a.ID] = true
		in, _ := sim.journal.state.Instance(a.Instance)
		stop, _ := in.Stop()
		delete(sim.drainEndMs, stop.ID())
		boots := in.Boots() + 1
		rebootMs := minRebootMs + sim.random.Int64N(maxRebootMs-minRebootMs)
		sim.sampledCycleMs[in.Pool()] += sim.drainDurationMs[stop.ID()] + rebootMs + listDelayMs
		sim.Schedule(sim.Now()+rebootMs, func() { sim.finishReboot(a.ID, a.Instance, boots) })
	}
}

// finishReboot reports a completed reboot, which the platform's list shows later.
func (sim *simulation) finishReboot(action, id string, boots int) {
	sim.result.Reboots++
	sim.send(memberID(0), cranstate.ActionsObserved{Done: []string{action}})
	sim.Schedule(sim.Now()+listDelayMs, func() {
		sim.unreportedInstances = append(sim.unreportedInstances, sim.settings.observation(sim.index[id], boots))
		sim.scheduleRound()
	})
}

// recordActive records the highest number of stops of a wave in progress.
func (sim *simulation) recordActive() {
	for _, wave := range sim.journal.state.Waves() {
		sim.result.MaxActive = max(sim.result.MaxActive, len(wave.Active()))
	}
}
