package cranentry

import (
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// gaugeInterval is how often the gauges of the control state are set.
const gaugeInterval = time.Second

// reporter logs events and updates metrics of an entry.
type reporter struct {
	logger  *cranevent.Logger
	metrics *cranmetric.Metrics
	self    string
	readiness
	transitions transitions
	// reporting is set once the entry has caught up. Effects of earlier records
	// are not reported, since they are in the past. Only the control thread uses
	// reporting, gaugesSetAt, configAcceptedMs and idleMeasuredAt.
	reporting   bool
	gaugesSetAt time.Time
	// mu guards logUnreachable, which is set while this entry can't reach the log.
	mu             sync.Mutex
	logUnreachable bool
	// configAcceptedMs is when the configuration in force was accepted, by the
	// platform's clock. It is zero once every member has applied it.
	configAcceptedMs int64
	idleMeasuredAt   time.Time
}

func newReporter(logger *cranevent.Logger, metrics *cranmetric.Metrics, self string) *reporter {
	metrics.SetReady(false)
	return &reporter{logger: logger, metrics: metrics, self: self, idleMeasuredAt: time.Now(), transitions: newTransitions()}
}

func (r *reporter) emit(event cranevent.Event, fields ...cranevent.Field) {
	r.logger.Emit(event, fields...)
}

// onPeerRefused counts a refused call of a peer, and logs it if an operator may
// have to act.
func (r *reporter) onPeerRefused(kind cranfault.Kind) {
	r.metrics.Refused(kind)
	switch kind {
	case cranfault.Malformed, cranfault.TooLarge:
		r.emit(cranevent.PeerMalformed, cranevent.Reason(kind))
	case cranfault.UnknownPeer:
		r.emit(cranevent.PeerRefused, cranevent.Reason(kind))
	}
}

// onLogReason counts a retry or a refusal by the log client.
func (r *reporter) onLogReason(reason cranlog.Reason) {
	r.metrics.LogRetried(cranmetric.LogReason(reason))
}

// onContact logs when the log becomes unreachable or reachable again.
func (r *reporter) onContact(reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reached != r.logUnreachable {
		return
	}
	r.logUnreachable = !reached
	if reached {
		r.emit(cranevent.LogAvailable)
		return
	}
	r.emit(cranevent.LogUnavailable)
}

// onEffects reports the effects of a record.
func (r *reporter) onEffects(s *cranstate.State, entry cranlog.Entry, effects []cranstate.Effect) {
	if !r.reporting {
		return
	}
	r.onConfigAccepted(entry, effects)
	for _, f := range effects {
		r.onEffect(s, entry, f)
	}
}

// onConfigAccepted logs that a configuration which this entry proposed was
// accepted.
func (r *reporter) onConfigAccepted(entry cranlog.Entry, effects []cranstate.Effect) {
	if entry.Writer() != r.self {
		return
	}
	for _, f := range effects {
		if config, ok := f.(cranstate.ConfigInForce); ok {
			r.emit(cranevent.ConfigurationAccepted, cranevent.Offset(entry.Offset()), cranevent.Revision(config.Revision))
		}
	}
}

// onEffect reports one effect.
func (r *reporter) onEffect(s *cranstate.State, entry cranlog.Entry, f cranstate.Effect) {
	switch f := f.(type) {
	case cranstate.Refused:
		r.onRefused(f)
	case cranstate.ConfigInForce:
		r.configAcceptedMs = entry.TimeMs()
		r.metrics.SetRevision(f.Revision)
		r.emit(cranevent.ConfigurationInForce, cranevent.Revision(f.Revision))
		r.setServices(s)
	case cranstate.InstanceChanged:
		r.onInstance(f)
	case cranstate.BarrierPassed:
		r.emit(cranevent.StopBarrierPassed, cranevent.Instance(f.Instance))
	case cranstate.MemberChanged:
		r.onMember(f)
	case cranstate.LeaseTaken:
		r.emit(cranevent.LeaseTaken, cranevent.Member(f.Holder), cranevent.Offset(f.Token))
	case cranstate.WaveChanged:
		r.onWave(f)
	case cranstate.MalformedSkipped:
		r.metrics.MalformedRecord()
		r.emit(cranevent.MalformedRecord, cranevent.Offset(f.Offset))
	}
}

// setServices sets the services that the metrics show.
func (r *reporter) setServices(s *cranstate.State) {
	if s.Config() == nil {
		return
	}
	var names []string
	for _, svc := range s.Config().Services() {
		names = append(names, svc.Name())
	}
	r.metrics.SetServices(names...)
}

// onRefused counts and logs the refusal of a record. Every entry applies every
// record, so each entry reports only the refusals of its own records.
func (r *reporter) onRefused(f cranstate.Refused) {
	if f.Writer != r.self {
		return
	}
	r.metrics.Refused(f.Fault.Kind())
	event := cranevent.StopRefused
	if f.Fault.Kind() == cranfault.StaleRevision || f.Fault.Kind() == cranfault.Invalid {
		event = cranevent.ConfigurationRefused
	}
	r.emit(event, cranevent.Reason(f.Fault.Kind()), cranevent.Err(f.Fault))
}

// onInstance logs a phase change of an instance.
func (r *reporter) onInstance(f cranstate.InstanceChanged) {
	fields := []cranevent.Field{cranevent.Instance(f.Instance), cranevent.Pool(f.Pool)}
	switch {
	case f.To == cranstate.PhaseCordoned:
		r.emit(cranevent.StopCordoned, fields...)
	case f.From == cranstate.PhaseCordoned && f.To != cranstate.PhaseStopping:
		r.emit(cranevent.StopCancelled, fields...)
	case f.From == cranstate.PhaseStopping && f.To == cranstate.PhaseReturning:
		r.onActed(f)
	case f.To == cranstate.PhaseServing && r.transitions.arriving[f.Instance]:
		r.emit(cranevent.InstanceReady, fields...)
	case f.To == cranstate.PhaseServing:
		r.emit(cranevent.StopCompleted, fields...)
	case f.To == cranstate.PhaseGone:
		r.emit(cranevent.InstanceLost, fields...)
	default:
		r.emit(cranevent.InstanceChanged, append(fields,
			cranevent.FromPhase(f.From), cranevent.ToPhase(f.To), cranevent.Cause(f.Cause))...)
	}
	r.transitions.record(f)
}

// onActed logs that the platform has moved or rebooted an instance.
func (r *reporter) onActed(f cranstate.InstanceChanged) {
	if from, ok := r.transitions.movingFrom[f.Instance]; ok {
		r.emit(cranevent.MoveDone, cranevent.Instance(f.Instance), cranevent.Pool(from), cranevent.ToPool(f.Pool))
		return
	}
	r.emit(cranevent.StopRebooted, cranevent.Instance(f.Instance), cranevent.Pool(f.Pool))
}

// onMember logs that a member joined, left by itself or was written off by the
// reducer.
func (r *reporter) onMember(f cranstate.MemberChanged) {
	events := map[cranstate.MemberChange]cranevent.Event{
		cranstate.MemberAdded:      cranevent.MemberJoined,
		cranstate.MemberRemoved:    cranevent.MemberLeft,
		cranstate.MemberWrittenOff: cranevent.MemberWrittenOff,
	}
	r.emit(events[f.Change], cranevent.Member(f.Member))
}

// onWave logs a phase change of a wave.
func (r *reporter) onWave(f cranstate.WaveChanged) {
	resumed := r.transitions.recordWave(f)
	switch f.Phase {
	case cranstate.WavePhaseActive:
		if resumed {
			r.emit(cranevent.WaveResumed, cranevent.Wave(f.Wave))
			return
		}
		r.emit(cranevent.WaveStarted, cranevent.Wave(f.Wave))
	case cranstate.WavePhaseHalted:
		r.emit(cranevent.WaveHalted, cranevent.Wave(f.Wave))
	case cranstate.WavePhaseCancelled:
		r.emit(cranevent.WaveCancelled, cranevent.Wave(f.Wave))
	default:
		r.emit(cranevent.WaveDone, cranevent.Wave(f.Wave))
	}
}

// onCaughtUp starts the reporting of effects, from the given state on.
func (r *reporter) onCaughtUp(s *cranstate.State) {
	r.reporting = true
	r.transitions.load(s)
	r.metrics.SetRevision(s.Revision())
	r.setServices(s)
}

// gaugesDue returns true at most once per gaugeInterval.
func (r *reporter) gaugesDue() bool {
	if time.Since(r.gaugesSetAt) < gaugeInterval {
		return false
	}
	r.gaugesSetAt = time.Now()
	return true
}

// setGauges sets the gauges of the control state.
func (r *reporter) setGauges(s *cranstate.State) {
	r.metrics.SetAppliedOffset(s.Next())
	r.metrics.SetMoves(s.Moves())
	members := s.Members()
	r.metrics.SetMembers(len(members))
	r.setRolloutGauge(s, members)
	r.setInstanceGauges(s)
}

// setRolloutGauge sets how long the last configuration took to reach every
// member, once it has.
func (r *reporter) setRolloutGauge(s *cranstate.State, members []cranstate.Member) {
	if r.configAcceptedMs == 0 {
		return
	}
	for _, m := range members {
		if m.Revision() != s.Revision() {
			return
		}
	}
	r.metrics.SetRollout(time.Duration(s.NowMs()-r.configAcceptedMs) * time.Millisecond)
	r.configAcceptedMs = 0
}

// setInstanceGauges sets the number of instances in each phase, and the number of
// idle instances: the available instances beyond the size that the configuration
// sets for their pool.
func (r *reporter) setInstanceGauges(s *cranstate.State) {
	phases := map[cranstate.Phase]int{
		cranstate.PhaseReturning: 0, cranstate.PhaseServing: 0, cranstate.PhaseCordoned: 0,
		cranstate.PhaseStopping: 0, cranstate.PhaseLeaving: 0,
	}
	for _, in := range s.Instances() {
		phases[in.Phase()]++
	}
	for phase, n := range phases {
		r.metrics.SetInstances(string(phase), n)
	}
	idle := 0
	if config := s.Config(); config != nil {
		available := s.AvailableByPool()
		for _, p := range config.Pools() {
			idle += max(available[p.Name()]-p.Instances(), 0)
		}
	}
	now := time.Now()
	r.metrics.SetIdle(idle, now.Sub(r.idleMeasuredAt))
	r.idleMeasuredAt = now
}
