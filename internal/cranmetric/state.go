package cranmetric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// slotUse is the use of a slot of a target.
type slotUse string

// Uses of a slot. A lent slot is lent to another entry instance.
const (
	slotFree slotUse = "free"
	slotUsed slotUse = "used"
	slotLent slotUse = "lent"
)

// stateMetrics holds the metrics of the control state as applied by this process, and
// of the slots that this process holds.
type stateMetrics struct {
	ready, offset, revision, members prometheus.Gauge
	rollout, idleInstances           prometheus.Gauge
	idleSeconds                      prometheus.Counter
	instances                        closedGauges[string]
	slots                            closedGauges[slotUse]
}

func newStateMetrics(b builder, phases []string) stateMetrics {
	return stateMetrics{
		ready:         b.gauge("ready", "1 if this process takes requests, else 0."),
		offset:        b.gauge("applied_offset", "Offset after the last record of the control stream that was applied."),
		revision:      b.gauge("configuration_revision", "Revision of the configuration in force."),
		members:       b.gauge("members", "Entry instances in the control state."),
		rollout:       b.gauge("configuration_rollout_seconds", "Time from the last configuration's acceptance until it was in force here."),
		idleInstances: b.gauge("idle_instances", "Instances available beyond what the pools want: the buffer held in reserve."),
		idleSeconds:   b.counter("idle_instance_seconds_total", "Idle instances added up over time: the cost of the buffer."),
		instances:     newClosedGauges(b.gauges("instances", "Instances in the control state by phase.", "phase"), phases),
		slots: newClosedGauges(b.gauges("slots", "Slots of targets that this process holds, by use.", "use"),
			[]slotUse{slotFree, slotUsed, slotLent}),
	}
}

// SetReady sets whether this process accepts requests.
func (m *Metrics) SetReady(ready bool) {
	value := 0.0
	if ready {
		value = 1
	}
	m.state.ready.Set(value)
}

// SetAppliedOffset sets the offset after the last record of the control stream that was
// applied.
func (m *Metrics) SetAppliedOffset(offset uint64) { m.state.offset.Set(float64(offset)) }

// SetRevision sets the revision of the configuration in force.
func (m *Metrics) SetRevision(revision uint64) { m.state.revision.Set(float64(revision)) }

// SetMembers sets the number of entry instances in the control state.
func (m *Metrics) SetMembers(n int) { m.state.members.Set(float64(n)) }

// SetInstances sets the number of instances in a phase.
func (m *Metrics) SetInstances(phase string, n int) { m.state.instances.set(phase, float64(n)) }

// SetSlots sets the numbers of slots that this process holds, by use.
func (m *Metrics) SetSlots(free, used, lent int) {
	m.state.slots.set(slotFree, float64(free))
	m.state.slots.set(slotUsed, float64(used))
	m.state.slots.set(slotLent, float64(lent))
}

// SetMoves sets the total number of moves of instances in the control state.
func (m *Metrics) SetMoves(total uint64) { m.moves.Store(total) }

// SetRollout sets the time from the acceptance of the last configuration until it was in
// force at this entry instance.
func (m *Metrics) SetRollout(d time.Duration) { m.state.rollout.Set(d.Seconds()) }

// SetIdle sets the number of idle instances, and adds its product with the time since the
// last call to the total of idle instance seconds. A negative time counts as zero, since a
// counter must not decrease.
func (m *Metrics) SetIdle(instances int, sinceLast time.Duration) {
	m.state.idleInstances.Set(float64(instances))
	m.state.idleSeconds.Add(float64(instances) * max(sinceLast, 0).Seconds())
}
