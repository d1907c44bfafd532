package cranwavesim

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// failGapMs lies between two failures of one rack: all within a second.
const failGapMs = 250

// fail makes the first rack unhealthy whose instances all serve in one wave.
// If there is none it tries again in the next round.
func (w *world) fail() {
	rack := w.servingRack()
	if rack == nil {
		w.Schedule(w.Now()+roundMs, w.fail)
		return
	}
	w.result.FailedMs = w.Now() - w.result.startMs
	for i, id := range rack {
		w.Schedule(w.Now()+int64(i)*failGapMs, func() { w.probe(id, false) })
		w.Schedule(w.Now()+repairMs, func() { w.probe(id, true) })
	}
}

func (w *world) probe(id string, healthy bool) {
	in, _ := w.journal.state.Instance(id)
	w.send(memberID(0), cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: id, Boots: in.Boots(), Healthy: healthy}}})
}

// servingRack looks from the last instance back, where most are pending.
func (w *world) servingRack() []string {
	for first := (w.settings.Instances/rackSize - 1) * rackSize; first >= 0; first -= rackSize {
		if rack := w.rackAt(first); rack != nil {
			return rack
		}
	}
	return nil
}

func (w *world) rackAt(first int) []string {
	var rack []string
	for i := first; i < first+rackSize; i++ {
		in, _ := w.journal.state.Instance(instanceID(i))
		sameWave := w.settings.OneWave || w.settings.poolOf(i) == w.settings.poolOf(first)
		if !in.Available() || !sameWave {
			return nil
		}
		rack = append(rack, in.ID())
	}
	return rack
}

// waveChanged notes ends and halts; a halted wave is resumed later.
func (w *world) waveChanged(e cranstate.WaveChanged) {
	w.replan = true
	w.wake()
	switch e.Phase {
	case cranstate.WavePhaseDone:
		w.open--
	case cranstate.WavePhaseHalted:
		w.halted(e.Wave)
	default:
	}
}

func (w *world) halted(id uint64) {
	w.result.Halts++
	w.result.HaltedMs = w.Now() - w.result.startMs
	for _, wave := range w.journal.state.Waves() {
		if wave.ID() == id {
			w.result.ActiveAtHalt = len(wave.Active())
		}
	}
	w.Schedule(w.Now()+resumeMs, func() { w.send(operator, cranstate.WaveResumed{Wave: id}) })
}
