package cranentry

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// passages holds what a reporter must remember of changes that take several
// records, to name their ends. The control thread alone uses it.
type passages struct {
	// moving is the former pool of each instance that is stopped for a move.
	moving map[string]string
	// arrived holds the instances that have not served since they arrived.
	arrived map[string]bool
	// halted holds the waves that are halted.
	halted map[uint64]bool
}

func newPassages() passages {
	return passages{moving: map[string]string{}, arrived: map[string]bool{}, halted: map[uint64]bool{}}
}

// catchUp takes in what is under way when the reports begin.
func (p *passages) catchUp(s *cranstate.State) {
	for _, in := range s.Instances() {
		if st, ok := in.Stop(); ok && st.Kind() == cranstate.StopMove {
			p.moving[in.ID()] = in.Pool()
		}
	}
	for _, w := range s.Waves() {
		p.halted[w.ID()] = w.Phase() == cranstate.WavePhaseHalted
	}
}

// note takes in a change of an instance. A move ends when the instance
// returns, and an arrival when it serves; the caller names these ends first.
func (p *passages) note(f cranstate.InstanceChanged) {
	switch f.To {
	case cranstate.PhaseCordoned:
		if f.Cause == string(cranstate.StopMove) {
			p.moving[f.Instance] = f.Pool
		}
	case cranstate.PhaseReturning:
		delete(p.moving, f.Instance)
		if f.From == "" {
			p.arrived[f.Instance] = true
		}
	case cranstate.PhaseServing, cranstate.PhaseGone:
		delete(p.moving, f.Instance)
		delete(p.arrived, f.Instance)
	case cranstate.PhaseLeaving:
		delete(p.moving, f.Instance)
	}
}

// resumed notes the phase of a wave and reports whether it goes on after a
// halt.
func (p *passages) resumed(f cranstate.WaveChanged) bool {
	was := p.halted[f.Wave]
	if f.Phase == cranstate.WavePhaseHalted {
		p.halted[f.Wave] = true
	} else {
		delete(p.halted, f.Wave)
	}
	return was && f.Phase == cranstate.WavePhaseActive
}
