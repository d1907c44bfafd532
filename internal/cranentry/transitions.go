package cranentry

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// transitions tracks changes that span several records, so that the reporter
// can tell which event ends each of them. Only the control thread uses it.
type transitions struct {
	// movingFrom maps an instance that is stopped for a move to its former pool.
	movingFrom map[string]string
	// arriving holds the instances that were added and have not served yet.
	arriving map[string]bool
	// haltedWaves is true for each halted wave.
	haltedWaves map[uint64]bool
}

func newTransitions() transitions {
	return transitions{movingFrom: map[string]string{}, arriving: map[string]bool{}, haltedWaves: map[uint64]bool{}}
}

// load initialises the transitions from the state at the time when reporting
// starts.
func (t *transitions) load(s *cranstate.State) {
	for _, in := range s.Instances() {
		if st, ok := in.Stop(); ok && st.Kind() == cranstate.StopMove {
			t.movingFrom[in.ID()] = in.Pool()
		}
	}
	for _, w := range s.Waves() {
		t.haltedWaves[w.ID()] = w.Phase() == cranstate.WavePhaseHalted
	}
}

// record updates the transitions with a phase change of an instance. A move
// ends when the instance returns, and an arrival ends when it serves. Callers
// report these ends before they call record, which forgets them.
func (t *transitions) record(f cranstate.InstanceChanged) {
	switch f.To {
	case cranstate.PhaseCordoned:
		if f.Cause == string(cranstate.StopMove) {
			t.movingFrom[f.Instance] = f.Pool
		}
	case cranstate.PhaseReturning:
		delete(t.movingFrom, f.Instance)
		if f.From == "" {
			t.arriving[f.Instance] = true
		}
	case cranstate.PhaseServing, cranstate.PhaseGone:
		delete(t.movingFrom, f.Instance)
		delete(t.arriving, f.Instance)
	case cranstate.PhaseLeaving:
		delete(t.movingFrom, f.Instance)
	}
}

// recordWave updates the phase of a wave and reports whether the wave resumes
// after a halt.
func (t *transitions) recordWave(f cranstate.WaveChanged) bool {
	wasHalted := t.haltedWaves[f.Wave]
	if f.Phase == cranstate.WavePhaseHalted {
		t.haltedWaves[f.Wave] = true
	} else {
		delete(t.haltedWaves, f.Wave)
	}
	return wasHalted && f.Phase == cranstate.WavePhaseActive
}
