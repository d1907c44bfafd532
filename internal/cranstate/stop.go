package cranstate

import (
	"fmt"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

type stop struct {
	// id is the offset after the record that cordoned the instance.
	id   uint64
	kind StopKind
	// pool is the destination of a move, empty for a reboot.
	pool string
	// wave is the id of the wave that the stop belongs to, zero if none.
	wave uint64
	// boots is the instance's boot count when the drain barrier passed.
	boots int
	// actionDone is set once the platform reported the action as completed.
	actionDone bool
	// waiting holds the members that have not reported the instance as drained.
	// The drain barrier passes when it is empty.
	waiting map[string]bool
}

// Stop is a read-only view of a planned stop.
type Stop struct{ s *stop }

// ID returns the offset after the record that cordoned the instance.
func (s Stop) ID() uint64 { return s.s.id }

// Kind returns whether the stop is a reboot or a move.
func (s Stop) Kind() StopKind { return s.s.kind }

// Pool returns the destination of a move, empty for a reboot.
func (s Stop) Pool() string { return s.s.pool }

// Wave returns the id of the wave that the stop belongs to, zero if none.
func (s Stop) Wave() uint64 { return s.s.wave }

// Waiting returns the members that the drain barrier waits for, sorted.
func (s Stop) Waiting() []string { return sortedKeys(s.s.waiting) }

// PendingActions returns the actions that the platform has yet to complete, in
// order of instance id. The holder of the effects lease requests them again and
// again until the platform's list shows the outcome; the platform performs an
// action id only once.
func (s *State) PendingActions() []cranplatform.Action {
	var list []cranplatform.Action
	for _, in := range s.instancesWithStop() {
		if in.phase == PhaseStopping {
			list = append(list, in.action())
		}
	}
	return list
}

func (in *instance) action() cranplatform.Action {
	a := cranplatform.Action{
		ID:       in.actionID(),
		Kind:     cranplatform.ActionReboot,
		Instance: in.id,
	}
	if in.stop.kind == StopMove {
		a.Kind = cranplatform.ActionReassign
		a.Pool = in.stop.pool
	}
	return a
}

// actionID returns an id that is unique to the stop, so that the platform
// performs a repeated request only once.
func (in *instance) actionID() string {
	return fmt.Sprintf("%s-%s-%d", in.stop.kind, in.id, in.stop.id)
}

// CheckStop returns nil if the phase of the instance and the budget of its pool
// allow a planned stop now, else the fault with which a proposal is refused.
func (s *State) CheckStop(id string) *cranfault.Fault {
	in, ok := s.instances[id]
	if !ok {
		return cranfault.New(cranfault.UnknownInstance, "check the id against the list of instances", "the platform's list has no instance %q", id)
	}
	if in.phase != PhaseServing {
		return cranfault.New(cranfault.Busy, "wait until the instance serves again", "instance %q is %s", id, in.phase)
	}
	return s.checkBudget(in.pool, 1)
}

// Available returns how many instances of a pool are available.
func (s *State) Available(pool string) int {
	n := 0
	for _, in := range s.instances {
		if in.pool == pool && in.available() {
			n++
		}
	}
	return n
}

// AvailableByPool returns how many instances of each pool are available. It
// counts all pools in one pass, whereas each call of Available iterates over the
// whole fleet.
func (s *State) AvailableByPool() map[string]int {
	counts := map[string]int{}
	for _, in := range s.instances {
		if in.available() {
			counts[in.pool]++
		}
	}
	return counts
}

// MinAvailable returns how many instances of a pool must stay available, as
// required by the strictest of its services.
func (s *State) MinAvailable(pool string) int {
	if s.config == nil {
		return 0
	}
	p, ok := s.config.Pool(pool)
	if !ok {
		return 0
	}
	floor := 0
	for _, svc := range s.config.Services() {
		if svc.Pool() == pool {
			floor = max(floor, p.Instances()-svc.MaxUnavailable())
		}
	}
	return floor
}

// checkBudget returns a fault if taking n more instances of a pool out of service
// would exceed the availability budget of one of its services. Planned and
// unplanned outages count alike.
func (s *State) checkBudget(pool string, n int) *cranfault.Fault {
	available, needed := s.Available(pool), s.MinAvailable(pool)
	if available-n < needed {
		return cranfault.New(cranfault.BudgetSpent, "wait until instances return, or add instances to the pool",
			"pool %q has %d available and its services need %d", pool, available, needed)
	}
	return nil
}

func (c *applyContext) proposeStop(e StopProposed) *cranfault.Fault {
	if fault := c.CheckStop(e.Instance); fault != nil {
		return fault
	}
	in := c.instances[e.Instance]
	if e.Base != 0 && e.Base != in.version {
		return cranfault.New(cranfault.Conflict, "read the instance again and propose the stop anew",
			"instance %q is at version %d, but the stop is based on version %d", in.id, in.version, e.Base)
	}
	if fault := c.checkStopKind(in, e); fault != nil {
		return fault
	}
	if fault := c.startInWave(in, e.Wave); fault != nil {
		return fault
	}
	c.setStop(in, &stop{id: c.in.Offset + 1, kind: e.Kind, pool: e.Pool, wave: e.Wave, waiting: map[string]bool{}})
	for id := range c.members {
		in.stop.waiting[id] = true
	}
	c.enterPhase(in, PhaseCordoned, string(e.Kind))
	return nil
}

func (c *applyContext) checkStopKind(in *instance, e StopProposed) *cranfault.Fault {
	switch e.Kind {
	case StopReboot:
		return nil
	case StopMove:
		return c.checkMove(in, e)
	default:
		return cranfault.New(cranfault.Invalid, "propose a reboot or a move", "unknown kind of stop %q", e.Kind)
	}
}

func (c *applyContext) checkMove(in *instance, e StopProposed) *cranfault.Fault {
	if c.config == nil {
		return cranfault.New(cranfault.NotReady, "publish a configuration first", "no configuration is in force")
	}
	if _, ok := c.config.Pool(e.Pool); !ok {
		return cranfault.New(cranfault.UnknownPool, "name a pool of the configuration in force", "the configuration in force has no pool %q", e.Pool)
	}
	if e.Pool == in.pool {
		return cranfault.New(cranfault.Conflict, "nothing is left to do", "instance %q is already in pool %q", in.id, e.Pool)
	}
	if e.Wave != 0 {
		return cranfault.New(cranfault.Invalid, "propose the move without a wave", "a wave reboots instances and does not move them")
	}
	return nil
}

func (c *applyContext) cancelStop(e StopCancelled) *cranfault.Fault {
	in, ok := c.instances[e.Instance]
	if !ok {
		return cranfault.New(cranfault.UnknownInstance, "check the id against the list of instances", "the platform's list has no instance %q", e.Instance)
	}
	if in.phase != PhaseCordoned {
		return cranfault.New(cranfault.Busy, "cancel a stop only while its instance is cordoned", "instance %q is %s", in.id, in.phase)
	}
	c.uncordon(in, "cancelled")
	return nil
}

// uncordon returns a cordoned instance to service, or to the phase returning if
// it is not healthy: it may have restarted or failed a probe while cordoned.
func (c *applyContext) uncordon(in *instance, cause string) {
	c.requeueInWave(in)
	c.setStop(in, nil)
	if in.healthy {
		c.enterPhase(in, PhaseServing, cause)
		return
	}
	c.enterPhase(in, PhaseReturning, cause)
}

// markDrained records that a member has no request in progress on the instance
// of a stop.
func (c *applyContext) markDrained(member string, id uint64) {
	for _, in := range c.stops {
		if in.stop.id == id {
			delete(in.stop.waiting, member)
			return
		}
	}
}

// passDrainBarriers moves drained instances to the phase stopping, in which the
// platform acts on them. If unplanned outages since the cordon have exhausted
// the budget, it cancels the stop instead, as this is the last moment to do so.
func (c *applyContext) passDrainBarriers() {
	for _, in := range c.instancesWithStop() {
		if in.phase != PhaseCordoned || len(in.stop.waiting) > 0 {
			continue
		}
		if in.healthy && c.checkBudget(in.pool, 0) != nil {
			c.uncordon(in, "budgetSpent")
			continue
		}
		in.stop.boots = in.boots
		c.emit(BarrierPassed{Instance: in.id, Stop: in.stop.id})
		c.enterPhase(in, PhaseStopping, string(in.stop.kind))
	}
}

// observeActions records the actions that the platform has completed.
func (c *applyContext) observeActions(e ActionsObserved) *cranfault.Fault {
	if _, fault := c.writerMember(); fault != nil {
		return fault
	}
	for _, id := range e.Done {
		for _, in := range c.instancesWithStop() {
			if in.phase == PhaseStopping && in.actionID() == id {
				in.stop.actionDone = true
				c.completeStopIfConfirmed(in)
			}
		}
	}
	return nil
}

// completeStopIfConfirmed ends a stop once the platform has reported the action
// as completed and its list shows the outcome. Either alone is not enough: an
// unplanned restart raises the boot count as well, and the list may lag behind
// the action.
func (c *applyContext) completeStopIfConfirmed(in *instance) {
	if in.phase != PhaseStopping || !in.stop.actionDone {
		return
	}
	confirmed := in.boots > in.stop.boots
	if in.stop.kind == StopMove {
		confirmed = in.reportedPool == in.stop.pool
	}
	if confirmed {
		c.completeStop(in)
	}
}

func (c *applyContext) completeStop(in *instance) {
	if in.stop.kind == StopMove {
		in.pool = in.stop.pool
		c.moves++
	}
	in.wave = in.stop.wave
	c.setStop(in, nil)
	in.healthy = false
	c.enterPhase(in, PhaseReturning, "stopped")
}
