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

// stateInterval is how often the gauges of the control state are set.
const stateInterval = time.Second

// reporter turns what happens into log events and metrics.
type reporter struct {
	logger  *cranevent.Logger
	metrics *cranmetric.Metrics
	self    string
	readiness
	passages passages
	// live is set once the entry has caught up: older records are history.
	// The control thread alone uses it, accepted, shownAt and idleAt.
	live    bool
	shownAt time.Time
	// mu guards isolated, which is set while the log is out of reach.
	mu       sync.Mutex
	isolated bool
	// accepted is when the configuration in force was accepted, by the
	// platform's clock; zero once it is known to be in force everywhere.
	accepted int64
	idleAt   time.Time
}

func newReporter(logger *cranevent.Logger, metrics *cranmetric.Metrics, self string) *reporter {
	metrics.SetReady(false)
	return &reporter{logger: logger, metrics: metrics, self: self, idleAt: time.Now(), passages: newPassages()}
}

func (r *reporter) emit(event cranevent.Event, fields ...cranevent.Field) {
	r.logger.Emit(event, fields...)
}

// peerRefused counts a refusal at the peer address, and logs those that an
// operator may act on.
func (r *reporter) peerRefused(kind cranfault.Kind) {
	r.metrics.Refused(kind)
	switch kind {
	case cranfault.Malformed, cranfault.TooLarge:
		r.emit(cranevent.PeerMalformed, cranevent.Reason(kind))
	case cranfault.UnknownPeer:
		r.emit(cranevent.PeerRefused, cranevent.Reason(kind))
	}
}

// logReason counts what the log client ran into.
func (r *reporter) logReason(reason cranlog.Reason) {
	r.metrics.LogRetried(cranmetric.LogReason(reason))
}

// contact logs the loss and the return of the log.
func (r *reporter) contact(reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reached != r.isolated {
		return
	}
	r.isolated = !reached
	if reached {
		r.emit(cranevent.LogBack)
		return
	}
	r.emit(cranevent.LogUnavailable)
}

// effects logs what the reducer decided.
func (r *reporter) effects(s *cranstate.State, entry cranlog.Entry, effects []cranstate.Effect) {
	if !r.live {
		return
	}
	r.configAccepted(entry, effects)
	for _, f := range effects {
		r.effect(s, entry, f)
	}
}

// configAccepted logs the acceptance of a configuration that was proposed
// here.
func (r *reporter) configAccepted(entry cranlog.Entry, effects []cranstate.Effect) {
	if entry.Writer() != r.self {
		return
	}
	for _, f := range effects {
		if config, ok := f.(cranstate.ConfigInForce); ok {
			r.emit(cranevent.ConfigurationAccepted, cranevent.Offset(entry.Offset()), cranevent.Revision(config.Revision))
		}
	}
}

func (r *reporter) effect(s *cranstate.State, entry cranlog.Entry, f cranstate.Effect) {
	switch f := f.(type) {
	case cranstate.Refused:
		r.refused(f)
	case cranstate.ConfigInForce:
		r.accepted = entry.TimeMs()
		r.metrics.SetRevision(f.Revision)
		r.emit(cranevent.ConfigurationInForce, cranevent.Revision(f.Revision))
		r.setServices(s)
	case cranstate.InstanceChanged:
		r.instance(f)
	case cranstate.BarrierPassed:
		r.emit(cranevent.StopBarrierPassed, cranevent.Instance(f.Instance))
	case cranstate.MemberChanged:
		r.member(f)
	case cranstate.LeaseTaken:
		r.emit(cranevent.LeaseTaken, cranevent.Member(f.Holder), cranevent.Offset(f.Token))
	case cranstate.WaveChanged:
		r.wave(f)
	case cranstate.MalformedSkipped:
		r.metrics.MalformedRecord()
		r.emit(cranevent.MalformedRecord, cranevent.Offset(f.Offset))
	}
}

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

// refused counts and logs refusals of this entry's own records: every entry
// sees every record, and each refusal counts once.
func (r *reporter) refused(f cranstate.Refused) {
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

func (r *reporter) instance(f cranstate.InstanceChanged) {
	fields := []cranevent.Field{cranevent.Instance(f.Instance), cranevent.Pool(f.Pool)}
	switch {
	case f.To == cranstate.PhaseCordoned:
		r.emit(cranevent.StopCordoned, fields...)
	case f.From == cranstate.PhaseCordoned && f.To != cranstate.PhaseStopping:
		r.emit(cranevent.StopCancelled, fields...)
	case f.From == cranstate.PhaseStopping && f.To == cranstate.PhaseReturning:
		r.stopped(f)
	case f.To == cranstate.PhaseServing && r.passages.arrived[f.Instance]:
		r.emit(cranevent.InstanceReady, fields...)
	case f.To == cranstate.PhaseServing:
		r.emit(cranevent.StopBack, fields...)
	case f.To == cranstate.PhaseGone:
		r.emit(cranevent.InstanceLost, fields...)
	default:
		r.emit(cranevent.InstanceChanged, append(fields,
			cranevent.FromPhase(f.From), cranevent.ToPhase(f.To), cranevent.Cause(f.Cause))...)
	}
	r.passages.note(f)
}

// stopped logs that the platform has acted on an instance.
func (r *reporter) stopped(f cranstate.InstanceChanged) {
	if from, ok := r.passages.moving[f.Instance]; ok {
		r.emit(cranevent.MoveDone, cranevent.Instance(f.Instance), cranevent.Pool(from), cranevent.ToPool(f.Pool))
		return
	}
	r.emit(cranevent.StopRebooted, cranevent.Instance(f.Instance), cranevent.Pool(f.Pool))
}

func (r *reporter) member(f cranstate.MemberChanged) {
	events := map[cranstate.MemberChange]cranevent.Event{
		cranstate.MemberAdded:      cranevent.MemberJoined,
		cranstate.MemberRemoved:    cranevent.MemberLeft,
		cranstate.MemberWrittenOff: cranevent.MemberWrittenOff,
	}
	r.emit(events[f.Change], cranevent.Member(f.Member))
}

func (r *reporter) wave(f cranstate.WaveChanged) {
	resumed := r.passages.resumed(f)
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

// caughtUp begins the reports of what happens from now on.
func (r *reporter) caughtUp(s *cranstate.State) {
	r.live = true
	r.passages.catchUp(s)
	r.metrics.SetRevision(s.Revision())
	r.setServices(s)
}

// due reports, once a second, that the state is to be shown.
func (r *reporter) due() bool {
	if time.Since(r.shownAt) < stateInterval {
		return false
	}
	r.shownAt = time.Now()
	return true
}

// state shows the measures of the brief and where the control state stands.
func (r *reporter) state(s *cranstate.State) {
	r.metrics.SetAppliedOffset(s.Next())
	r.metrics.SetMoves(s.Moves())
	members := s.Members()
	r.metrics.SetMembers(len(members))
	r.rollout(s, members)
	r.instances(s)
}

// rollout shows how long the last configuration took to reach every member.
func (r *reporter) rollout(s *cranstate.State, members []cranstate.Member) {
	if r.accepted == 0 {
		return
	}
	for _, m := range members {
		if m.Revision() != s.Revision() {
			return
		}
	}
	r.metrics.SetRollout(time.Duration(s.NowMs()-r.accepted) * time.Millisecond)
	r.accepted = 0
}

// instances shows the phases, and the idle buffer: the available instances
// above what the budgets ask for.
func (r *reporter) instances(s *cranstate.State) {
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
	r.metrics.SetIdle(idle, now.Sub(r.idleAt))
	r.idleAt = now
}
