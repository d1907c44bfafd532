package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// Phase is the phase of an instance in the control state.
type Phase string

// Phases of an instance. Only a serving instance takes new requests.
const (
	// PhaseReturning means that the instance is new, restarted, failed a health
	// probe or is back from a planned stop, and has not passed a health probe
	// since.
	PhaseReturning Phase = "returning"
	// PhaseServing means that the instance takes requests.
	PhaseServing Phase = "serving"
	// PhaseCordoned means that a planned stop was accepted and its drain
	// barrier has not passed.
	PhaseCordoned Phase = "cordoned"
	// PhaseStopping means that the drain barrier has passed and the platform
	// reboots or moves the instance.
	PhaseStopping Phase = "stopping"
	// PhaseLeaving means that the platform is removing the instance.
	PhaseLeaving Phase = "leaving"
	// PhaseGone is reported in effects after the platform removed the
	// instance; no instance of the state has it.
	PhaseGone Phase = "gone"
)

// maxSlots is the highest number of slots of one instance.
const maxSlots = 4096

type instance struct {
	id         string
	address    string
	domain     string
	dataCentre string
	// reportedPool is the pool that the platform last reported.
	reportedPool string
	// pool is the pool that the instance belongs to; it is empty only before
	// the first configuration.
	pool        string
	phase       Phase
	healthy     bool
	boots       int
	slots       int
	connections int
	// version is the offset after the last record that changed the phase of the
	// instance, or whose probe changed its health.
	version uint64
	// stop is set if and only if the phase is cordoned or stopping.
	stop *stop
	// slotOwners has one element for each slot, or none while there is no
	// member.
	slotOwners []cranslot.Owner
	// wave is the id of the wave that rebooted a returning instance, else zero.
	wave uint64
	// sinceMs is the platform's time at which the phase was entered.
	sinceMs int64
}

// Instance is a read-only view of an instance. It is valid until the next
// record is applied.
type Instance struct{ in *instance }

// ID returns the id that the platform gave the instance.
func (i Instance) ID() string { return i.in.id }

// Address returns the IP address and port at which the instance takes requests.
func (i Instance) Address() string { return i.in.address }

// Domain returns the failure domain of the instance.
func (i Instance) Domain() string { return i.in.domain }

// DataCentre returns the data centre of the instance.
func (i Instance) DataCentre() string { return i.in.dataCentre }

// Pool returns the pool that the instance belongs to, empty before the first
// configuration.
func (i Instance) Pool() string { return i.in.pool }

// ReportedPool returns the pool that the platform last reported. It may differ
// from Pool, for example until a move completes.
func (i Instance) ReportedPool() string { return i.in.reportedPool }

// Phase returns the phase of the instance.
func (i Instance) Phase() Phase { return i.in.phase }

// Healthy reports whether the instance passed its last health probe.
func (i Instance) Healthy() bool { return i.in.healthy }

// Boots returns the platform's count of the boots of the instance.
func (i Instance) Boots() int { return i.in.boots }

// Slots returns how many requests may be in progress on the instance at a time.
func (i Instance) Slots() int { return i.in.slots }

// Connections returns how many connections the instance accepts at a time.
func (i Instance) Connections() int { return i.in.connections }

// Version returns the offset after the last record that changed the phase of the
// instance, or whose probe changed its health.
func (i Instance) Version() uint64 { return i.in.version }

// SinceMs returns the platform's time, in milliseconds since the epoch, at which
// the phase was entered.
func (i Instance) SinceMs() int64 { return i.in.sinceMs }

// SlotOwners returns the owner of each slot. The caller must not change the
// slice.
func (i Instance) SlotOwners() []cranslot.Owner { return i.in.slotOwners }

// Stop returns the planned stop in progress, if there is one.
func (i Instance) Stop() (Stop, bool) {
	if i.in.stop == nil {
		return Stop{}, false
	}
	return Stop{s: i.in.stop}, true
}

// Available reports whether the instance counts towards its pool's
// availability.
func (i Instance) Available() bool { return i.in.available() }

func (in *instance) available() bool { return in.phase == PhaseServing && in.healthy }

// pools returns the pools that no configuration may remove while the instance
// exists: its own, and the destination of a move in progress.
func (in *instance) pools() []string {
	if in.stop != nil && in.stop.kind == StopMove {
		return []string{in.pool, in.stop.pool}
	}
	return []string{in.pool}
}

// enterPhase changes the phase of an instance and emits the change.
func (c *applyContext) enterPhase(in *instance, to Phase, cause string) {
	from := in.phase
	in.phase = to
	in.version = c.in.Offset + 1
	in.sinceMs = c.nowMs
	c.invalidateViews()
	c.emit(InstanceChanged{Instance: in.id, From: from, To: to, Pool: in.pool, Cause: cause})
}

// observeInstances applies changed entries of the platform's instance list.
func (c *applyContext) observeInstances(e InstancesObserved) *cranfault.Fault {
	if _, fault := c.writerMember(); fault != nil {
		return fault
	}
	for _, o := range e.Instances {
		if fault := o.check(); fault != nil {
			return fault
		}
	}
	for _, o := range e.Instances {
		c.observeInstance(o)
	}
	return nil
}

func (o Observation) check() *cranfault.Fault {
	if o.ID == "" || o.Slots < 0 || o.Slots > maxSlots || o.Connections < 0 {
		return cranfault.New(cranfault.Invalid, "check the platform's list",
			"instance %q with %d slots and %d connections", o.ID, o.Slots, o.Connections)
	}
	return nil
}

func (c *applyContext) observeInstance(o Observation) {
	if o.Entry {
		c.observeEntry(o)
		return
	}
	in, known := c.instances[o.ID]
	switch {
	case o.Phase == cranplatform.PhaseGone:
		c.removeInstance(in)
	case !known:
		c.addObserved(o)
	default:
		c.updateObserved(in, o)
	}
}

func (c *applyContext) observeEntry(o Observation) {
	for _, m := range c.members {
		if m.instance == o.ID {
			m.gone = o.Phase == cranplatform.PhaseGone
		}
	}
}

func (c *applyContext) addObserved(o Observation) {
	in := &instance{
		id: o.ID, address: o.Address, domain: o.Domain, dataCentre: o.DataCentre,
		reportedPool: o.Pool, pool: c.poolFor(o.Pool),
		boots: o.Boots, slots: o.Slots, connections: o.Connections,
	}
	c.addInstance(in)
	in.slotOwners = rebalanceSlots(in, sortedKeys(c.members), c.in.Offset+1)
	c.enterPhase(in, PhaseReturning, "arrived")
	if o.Phase == cranplatform.PhaseLeaving {
		c.enterPhase(in, PhaseLeaving, "leaving")
	}
}

func (c *applyContext) removeInstance(in *instance) {
	if in == nil {
		return
	}
	if in.phase != PhaseLeaving {
		c.failInWave(in)
	}
	c.deleteInstance(in)
	c.invalidateViews()
	c.emit(InstanceChanged{Instance: in.id, From: in.phase, To: PhaseGone, Pool: in.pool, Cause: "gone"})
}

// updateObserved applies a list entry of a known instance. The list may lag, so
// an entry with a lower boot count is outdated and ignored.
func (c *applyContext) updateObserved(in *instance, o Observation) {
	if o.Boots < in.boots {
		return
	}
	if in.address != o.Address || in.slots != o.Slots || in.connections != o.Connections {
		c.invalidateViews()
	}
	in.address = o.Address
	in.reportedPool = o.Pool
	if o.Slots != in.slots {
		in.slots = o.Slots
		in.slotOwners = rebalanceSlots(in, sortedKeys(c.members), c.in.Offset+1)
	}
	in.connections = o.Connections
	rebooted := o.Boots > in.boots
	in.boots = o.Boots
	switch {
	case in.phase == PhaseStopping:
		// The list shows an instance as leaving while it reboots.
		c.completeStopIfConfirmed(in)
	case o.Phase == cranplatform.PhaseLeaving:
		c.observeLeaving(in)
	case in.phase == PhaseLeaving:
		c.enterPhase(in, PhaseReturning, "staying")
	case rebooted:
		c.observeRestart(in)
	}
}

func (c *applyContext) observeLeaving(in *instance) {
	if in.phase == PhaseLeaving {
		return
	}
	c.dropFromWaves(in)
	c.setStop(in, nil)
	c.enterPhase(in, PhaseLeaving, "leaving")
}

// observeRestart handles an unplanned restart. A cordoned instance stays cordoned
// and its stop still waits for the drain barrier, since the members that have
// not reported it as drained may still have requests in progress on it.
func (c *applyContext) observeRestart(in *instance) {
	in.healthy = false
	if in.stop != nil {
		return
	}
	c.failInWave(in)
	c.enterPhase(in, PhaseReturning, "restarted")
}

// observeProbes applies the outcomes of health probes of the current boots.
func (c *applyContext) observeProbes(e ProbesObserved) *cranfault.Fault {
	if _, fault := c.writerMember(); fault != nil {
		return fault
	}
	for _, p := range e.Probes {
		if in, ok := c.instances[p.Instance]; ok && p.Boots == in.boots {
			c.observeProbe(in, p.Healthy)
		}
	}
	return nil
}

func (c *applyContext) observeProbe(in *instance, healthy bool) {
	if in.healthy != healthy {
		in.healthy = healthy
		in.version = c.in.Offset + 1
	}
	switch {
	case healthy && in.phase == PhaseReturning:
		c.returnToService(in)
	case !healthy && in.phase == PhaseServing:
		c.failInWave(in)
		c.enterPhase(in, PhaseReturning, "unhealthy")
	}
}

func (c *applyContext) returnToService(in *instance) {
	c.enterPhase(in, PhaseServing, "probed")
	c.finishInWave(in)
}
