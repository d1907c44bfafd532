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
	// pool is the destination of a move.
	pool string
	// wave is zero for a stop outside any wave.
	wave uint64
	// boots is the instance's boot count when the platform was let act.
	boots int
	// actionDone is set once the platform said that the action is complete.
	actionDone bool
	// waiting holds the members that have not reported the instance drained;
	// the barrier has passed when it is empty.
	waiting map[string]bool
}

// Stop is a read-only view of a planned stop.
type Stop struct{ s *stop }

// ID returns the offset after the record that cordoned the instance.
func (s Stop) ID() uint64 { return s.s.id }

// Kind returns whether the stop is a reboot or a move.
func (s Stop) Kind() StopKind { return s.s.kind }

// Pool returns the destination of a move.
func (s Stop) Pool() string { return s.s.pool }

// Wave returns the wave that the stop belongs to, zero if none.
func (s Stop) Wave() uint64 { return s.s.wave }

// Waiting returns the members that the drain barrier waits for, sorted.
func (s Stop) Waiting() []string { return sortedKeys(s.s.waiting) }

// PendingActions returns what the platform has yet to do, in order of
// instance. The holder of the effects lease repeats them until the platform's
// list shows the outcome; their ids make repeats harmless.
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

// actionID is unique to the stop, so that the platform performs it once.
func (in *instance) actionID() string {
	return fmt.Sprintf("%s-%s-%d", in.stop.kind, in.id, in.stop.id)
}

// CheckStop returns nil if a planned stop of the instance would be accepted
// now, else the fault that would refuse it.
func (s *State) CheckStop(id string) *cranfault.Fault {
	in, ok := s.instances[id]
	if !ok {
		return cranfault.New(cranfault.UnknownInstance, "look at the list of instances", "no instance %q", id)
	}
	if in.phase != PhaseServing {
		return cranfault.New(cranfault.Busy, "wait until it serves again", "instance %q is %s", id, in.phase)
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

// AvailableByPool returns how many instances of each pool are available, in
// one pass: counting pool by pool walks the whole fleet for each.
func (s *State) AvailableByPool() map[string]int {
	counts := map[string]int{}
	for _, in := range s.instances {
		if in.available() {
			counts[in.pool]++
		}
	}
	return counts
}

// MinAvailable returns how many instances of a pool must stay available, by the
// strictest service on it.
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

// checkBudget refuses to take n more instances out of a pool than its services'
// budgets allow. Planned and unplanned outages count alike.
func (s *State) checkBudget(pool string, n int) *cranfault.Fault {
	available, floor := s.Available(pool), s.MinAvailable(pool)
	if available-n < floor {
		return cranfault.New(cranfault.BudgetSpent, "wait until instances return, or add instances to the pool",
			"pool %q has %d available and its services need %d", pool, available, floor)
	}
	return nil
}

func (c *applyContext) proposeStop(e StopProposed) *cranfault.Fault {
	if fault := c.CheckStop(e.Instance); fault != nil {
		return fault
	}
	in := c.instances[e.Instance]
	if e.Base != 0 && e.Base != in.version {
		return cranfault.New(cranfault.Conflict, "look at the instance again and propose anew",
			"instance %q changed at %d after %d", in.id, in.version, e.Base)
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
		return cranfault.New(cranfault.Invalid, "propose a reboot or a move", "stop of kind %q", e.Kind)
	}
}

func (c *applyContext) checkMove(in *instance, e StopProposed) *cranfault.Fault {
	if c.config == nil {
		return cranfault.New(cranfault.NotReady, "publish a configuration first", "no configuration is in force")
	}
	if _, ok := c.config.Pool(e.Pool); !ok {
		return cranfault.New(cranfault.UnknownPool, "name a pool of the configuration in force", "no pool %q", e.Pool)
	}
	if e.Pool == in.pool {
		return cranfault.New(cranfault.Conflict, "nothing is left to do", "instance %q is in pool %q already", in.id, e.Pool)
	}
	if e.Wave != 0 {
		return cranfault.New(cranfault.Invalid, "move outside the wave", "a wave reboots and does not move")
	}
	return nil
}

func (c *applyContext) cancelStop(e StopCancelled) *cranfault.Fault {
	in, ok := c.instances[e.Instance]
	if !ok {
		return cranfault.New(cranfault.UnknownInstance, "look at the list of instances", "no instance %q", e.Instance)
	}
	if in.phase != PhaseCordoned {
		return cranfault.New(cranfault.Busy, "only a cordoned instance can be returned", "instance %q is %s", in.id, in.phase)
	}
	c.uncordon(in, "cancelled")
	return nil
}

// uncordon returns a cordoned instance to service, or to probing if it
// restarted meanwhile.
func (c *applyContext) uncordon(in *instance, cause string) {
	c.requeueInWave(in)
	c.setStop(in, nil)
	if in.healthy {
		c.enterPhase(in, PhaseServing, cause)
		return
	}
	c.enterPhase(in, PhaseReturning, cause)
}

// markDrained notes that a member has no request in progress on the instance of
// a stop.
func (c *applyContext) markDrained(member string, id uint64) {
	for _, in := range c.stops {
		if in.stop.id == id {
			delete(in.stop.waiting, member)
			return
		}
	}
}

// passDrainBarriers lets the platform act on drained instances. Instances lost
// since the cordon may have spent the budget: the stop is then given up while
// that is still possible.
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

// observeActions notes actions that the platform has completed.
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

// completeStopIfConfirmed ends a stop once the platform said that the action is
// complete and its list shows the outcome. Either alone is not enough: a
// chance restart raises the boot count as well, and the list lags.
func (c *applyContext) completeStopIfConfirmed(in *instance) {
	if in.phase != PhaseStopping || !in.stop.actionDone {
		return
	}
	seen := in.boots > in.stop.boots
	if in.stop.kind == StopMove {
		seen = in.reportedPool == in.stop.pool
	}
	if seen {
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
