package cranwavesim

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// failureIntervalMs is the time between the failures of two instances of the rack. All
// rackSize instances fail within a second.
const failureIntervalMs = 250

// failRack makes a rack unhealthy whose instances are all available and belong to one wave.
// If there is none, it tries again after the interval of a round.
func (sim *simulation) failRack() {
	rack := sim.servingRack()
	if rack == nil {
		sim.Schedule(sim.Now()+roundMs, sim.failRack)
		return
	}
	sim.result.FailedMs = sim.Now() - sim.result.startMs
	for i, id := range rack {
		sim.Schedule(sim.Now()+int64(i)*failureIntervalMs, func() { sim.reportProbe(id, false) })
		sim.Schedule(sim.Now()+repairMs, func() { sim.reportProbe(id, true) })
	}
}

// reportProbe sends the result of a health probe of an instance.
func (sim *simulation) reportProbe(id string, healthy bool) {
	in, _ := sim.journal.state.Instance(id)
	sim.send(memberID(0), cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: id, Boots: in.Boots(), Healthy: healthy}}})
}

// servingRack returns the instances of a rack that can fail, or nil. It searches from the last
// instance backwards, because the last ones are rebooted last.
func (sim *simulation) servingRack() []string {
	for first := (sim.settings.Instances/rackSize - 1) * rackSize; first >= 0; first -= rackSize {
		if rack := sim.servingRackAt(first); rack != nil {
			return rack
		}
	}
	return nil
}

// servingRackAt returns the instances of the rack that begins at an index, or nil unless all
// are available and belong to one wave.
func (sim *simulation) servingRackAt(first int) []string {
	var rack []string
	for i := first; i < first+rackSize; i++ {
		in, _ := sim.journal.state.Instance(instanceID(i))
		sameWave := sim.settings.OneWave || sim.settings.poolIndex(i) == sim.settings.poolIndex(first)
		if !in.Available() || !sameWave {
			return nil
		}
		rack = append(rack, in.ID())
	}
	return rack
}

// waveChanged records the ends and halts of waves. A halted wave is resumed later.
func (sim *simulation) waveChanged(e cranstate.WaveChanged) {
	sim.needsReplan = true
	sim.scheduleRound()
	switch e.Phase {
	case cranstate.WavePhaseDone:
		sim.openWaves--
	case cranstate.WavePhaseHalted:
		sim.waveHalted(e.Wave)
	default:
	}
}

// waveHalted records the halt of a wave and schedules its resumption by the operator.
func (sim *simulation) waveHalted(id uint64) {
	sim.result.Halts++
	sim.result.HaltedMs = sim.Now() - sim.result.startMs
	for _, wave := range sim.journal.state.Waves() {
		if wave.ID() == id {
			sim.result.ActiveAtHalt = len(wave.Active())
		}
	}
	sim.Schedule(sim.Now()+resumeMs, func() { sim.send(operator, cranstate.WaveResumed{Wave: id}) })
}
