package cranstate

import "fmt"

// Blocker is one reason why an instance is out of service or a wave makes no
// progress.
type Blocker struct {
	// Subject names the instance or the wave.
	Subject string `json:"subject"`
	// Reason is the condition that the subject waits for.
	Reason string `json:"reason"`
	// Remedy is the action that an operator can take.
	Remedy string `json:"remedy"`
}

// ExplainInstance returns what keeps an instance out of service, and nothing
// for a serving instance.
func (s *State) ExplainInstance(id string) []Blocker {
	in, ok := s.instances[id]
	if !ok {
		return []Blocker{{Subject: id, Reason: "the platform's list has no such instance", Remedy: "check the id against the list of instances"}}
	}
	switch in.phase {
	case PhaseCordoned:
		return s.explainBarrier(in)
	case PhaseStopping:
		return []Blocker{{Subject: id, Reason: "the platform has not completed " + in.actionID(), Remedy: "look at the platform's actions"}}
	case PhaseReturning:
		return []Blocker{{Subject: id, Reason: "it has not passed a health probe since it entered the phase returning", Remedy: "look at the instance's own log"}}
	case PhaseLeaving:
		return []Blocker{{Subject: id, Reason: "the platform is removing it", Remedy: "nothing to do"}}
	default:
		return nil
	}
}

func (s *State) explainBarrier(in *instance) []Blocker {
	var list []Blocker
	for _, id := range sortedKeys(in.stop.waiting) {
		m := s.members[id]
		b := Blocker{
			Subject: in.id,
			Reason:  fmt.Sprintf("entry %s (%s) has not reported that it has no request in progress on it", id, m.address),
			Remedy:  "wait for its report, which comes once its requests on the instance have ended",
		}
		if m.expiryMs < s.nowMs {
			b.Reason = fmt.Sprintf("entry %s (%s) sends no heartbeats and may have requests in progress on it", id, m.address)
			b.Remedy = fmt.Sprintf("wait %d ms until it is written off, or replace the entry", m.expiryMs+m.leaseMs+s.graceMs()-s.nowMs)
		}
		list = append(list, b)
	}
	return list
}

// ExplainWave returns what a wave waits for, or why it halted.
func (s *State) ExplainWave(id uint64) []Blocker {
	w, ok := s.waves[id]
	subject := fmt.Sprintf("wave %d", id)
	if !ok {
		return []Blocker{{Subject: subject, Reason: "there is no such wave", Remedy: "check the id against the list of waves"}}
	}
	if w.phase == WavePhaseHalted {
		return []Blocker{{
			Subject: subject,
			Reason:  fmt.Sprintf("halted after %d failures: %v", w.failures, sortedKeys(w.failed)),
			Remedy:  "see why the instances failed, then resume or cancel the wave",
		}}
	}
	var list []Blocker
	for _, id := range sortedKeys(w.active) {
		list = append(list, s.ExplainInstance(id)...)
	}
	for _, pool := range w.pools {
		if fault := s.checkBudget(pool, 1); fault != nil && !w.ended() {
			list = append(list, Blocker{Subject: subject, Reason: fault.Message(), Remedy: fault.Remedy()})
		}
	}
	return list
}

// Explain returns the blockers of all instances and of all waves in progress.
func (s *State) Explain() []Blocker {
	var list []Blocker
	for _, in := range s.sortedInstances() {
		list = append(list, s.ExplainInstance(in.id)...)
	}
	for _, w := range s.Waves() {
		if !w.w.ended() {
			list = append(list, s.ExplainWave(w.ID())...)
		}
	}
	return list
}
