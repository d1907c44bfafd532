package cranstandin

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Kinds of ledger entry beyond the kinds of action.
const (
	// KindRemove is a removal with a leaving phase.
	KindRemove cranplatform.ActionKind = "remove"
	// KindLose is an unplanned loss.
	KindLose cranplatform.ActionKind = "lose"
)

// InProgressUnknown stands in the ledger where nothing was stopped, or where
// the process could not be asked.
const InProgressUnknown = -1

// LedgerEntry is the platform's own record of one thing that it did.
type LedgerEntry struct {
	// ID is the action's id; it is empty for a removal or a loss.
	ID       string                  `json:"id"`
	Kind     cranplatform.ActionKind `json:"kind"`
	Instance string                  `json:"instance"`
	Pool     string                  `json:"pool,omitempty"`
	// AtMs is when the platform took the action, in milliseconds since the
	// epoch.
	AtMs int64 `json:"atMs"`
	// DoneMs is when the action was complete, or zero while it isn't.
	DoneMs int64 `json:"doneMs"`
	// InProgressAtStop is what the target process answered when it was
	// stopped: the requests that the stop cut off.
	InProgressAtStop int `json:"inProgressAtStop"`
}

// Controller stops and starts the process of an instance.
type Controller interface {
	// Reboot stops the process at once and starts it when down has passed.
	// It returns how many requests the stop cut off.
	Reboot(ctx context.Context, down time.Duration) (inProgress int, err error)
	// Stop stops the process at once, for good.
	Stop(ctx context.Context) (inProgress int, err error)
}

// actionState is what became of one action.
type actionState struct {
	action cranplatform.Action
	done   bool
}

// fleetClient is the fleet as one client sees it.
type fleetClient struct {
	fleet  *Fleet
	client string
}

// Instances implements cranplatform.Fleet.
func (c *fleetClient) Instances(ctx context.Context) ([]cranplatform.Instance, error) {
	if err := c.reach(ctx); err != nil {
		return nil, err
	}
	faults := c.fleet.faults.get()
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	shown := slices.Clone(c.fleet.frozen)
	if !faults.ListFrozen {
		shown = c.fleet.list(faults)
	}
	for n := range shown {
		shown[n].Phase = faults.phase(shown[n])
	}
	return shown, nil
}

// Act implements cranplatform.Fleet.
func (c *fleetClient) Act(ctx context.Context, action cranplatform.Action) error {
	if err := c.reach(ctx); err != nil {
		return err
	}
	if err := c.fleet.begin(action); err != nil {
		return err
	}
	if c.fleet.faults.actionFate() {
		return newAnswerLost(cranfault.NotReady)
	}
	return nil
}

// ActionStatus implements cranplatform.Fleet.
func (c *fleetClient) ActionStatus(ctx context.Context, id string) (cranplatform.ActionStatus, error) {
	if err := c.reach(ctx); err != nil {
		return cranplatform.ActionStatus{}, err
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	a := c.fleet.actions[id]
	if a == nil {
		return cranplatform.ActionStatus{}, nil
	}
	return cranplatform.ActionStatus{Known: true, Done: a.done}, nil
}

// reach fails if the fleet can't be reached by the client.
func (c *fleetClient) reach(ctx context.Context) error {
	if ctx.Err() != nil {
		return gaveUp(ctx)
	}
	ctx, cancel := c.fleet.timers.bound(ctx)
	defer cancel()
	return c.fleet.faults.refuse(ctx, func() error { return c.fleet.faults.fleetCall(c.client) })
}

// Ledger returns what the platform did, in order.
func (f *Fleet) Ledger() []LedgerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]LedgerEntry, len(f.ledger))
	for n, e := range f.ledger {
		out[n] = *e
	}
	return out
}

// begin starts an action, unless its id was performed before.
func (f *Fleet) begin(action cranplatform.Action) error {
	if err := checkAction(action); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.actions[action.ID]; a != nil {
		if a.action != action {
			return cranfault.New(cranfault.Conflict, "give each action its own id", "action %.40q was another one before", action.ID)
		}
		return nil
	}
	m, err := f.present(action.Instance)
	if err != nil {
		return err
	}
	if m.action != "" || m.removing {
		return cranfault.New(cranfault.Busy, "wait for the action under way, then send this one again",
			"instance %s is busy", action.Instance)
	}
	m.action = action.ID
	f.actions[action.ID] = &actionState{action: action}
	entry := f.record(LedgerEntry{ID: action.ID, Kind: action.Kind, Instance: action.Instance, Pool: action.Pool})
	if action.Kind == cranplatform.ActionReboot {
		m.setPhase(f.now(), cranplatform.PhaseLeaving)
		f.timers.start(f.noticeTime, func() { f.reboot(m, entry) })
		return nil
	}
	f.timers.start(f.reassignTime, func() { f.reassign(m, entry) })
	return nil
}

// reboot stops the instance and lists it as live when it is back.
func (f *Fleet) reboot(m *member, entry *LedgerEntry) {
	f.mu.Lock()
	gone := m.current().Phase == cranplatform.PhaseGone
	controller := f.controllerOf(m)
	f.mu.Unlock()
	cut := InProgressUnknown
	if !gone {
		down := f.rebootTime - f.rebootTime/processHeadStart
		cut = f.ask(controller, func(c Controller, ctx context.Context) (int, error) { return c.Reboot(ctx, down) })
	}
	f.mu.Lock()
	entry.InProgressAtStop = cut
	f.mu.Unlock()
	f.timers.start(f.rebootTime, func() { f.rebooted(m, entry) })
}

// processHeadStart is the part of the reboot time by which a process is back
// before the list says so.
const processHeadStart = 10

// rebooted completes a reboot.
func (f *Fleet) rebooted(m *member, entry *LedgerEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish(entry, entry.InProgressAtStop)
	m.action = ""
	instance := m.current()
	if instance.Phase == cranplatform.PhaseGone {
		return
	}
	instance.Boots++
	instance.Phase = cranplatform.PhaseLive
	if m.removing {
		instance.Phase = cranplatform.PhaseLeaving
	}
	m.set(f.now(), instance)
}

// reassign completes a reassignment.
func (f *Fleet) reassign(m *member, entry *LedgerEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish(entry, InProgressUnknown)
	m.action = ""
	instance := m.current()
	instance.Pool = entry.Pool
	m.set(f.now(), instance)
}

// record opens a ledger entry.
func (f *Fleet) record(entry LedgerEntry) *LedgerEntry {
	entry.AtMs = f.now().UnixMilli()
	entry.InProgressAtStop = InProgressUnknown
	f.ledger = append(f.ledger, &entry)
	return &entry
}

// finish completes a ledger entry and its action.
func (f *Fleet) finish(entry *LedgerEntry, cut int) {
	entry.DoneMs = f.now().UnixMilli()
	entry.InProgressAtStop = cut
	if a := f.actions[entry.ID]; a != nil {
		a.done = true
	}
}

// controllerOf returns the member's controller, or nil.
func (f *Fleet) controllerOf(m *member) Controller {
	if m.controller != nil {
		return m.controller
	}
	return f.control(m.current())
}

// ask calls a controller and returns how many requests it cut off.
func (f *Fleet) ask(c Controller, call func(Controller, context.Context) (int, error)) int {
	if c == nil {
		return InProgressUnknown
	}
	ctx, cancel := context.WithTimeout(f.closing, controlTimeout)
	defer cancel()
	cut, err := call(c, ctx)
	if err != nil {
		return InProgressUnknown
	}
	return cut
}

// checkAction refuses an action that can't be performed.
func checkAction(a cranplatform.Action) error {
	switch {
	case a.ID == "" || len(a.ID) > maxInstanceName:
		return cranfault.New(cranfault.Invalid, "use an id of 1 to 200 bytes", "%.40q can't name an action", a.ID)
	case a.Kind != cranplatform.ActionReboot && a.Kind != cranplatform.ActionReassign:
		return cranfault.New(cranfault.Invalid, `use "reboot" or "reassign"`, "action %s has the kind %.40q", a.ID, a.Kind)
	case a.Kind == cranplatform.ActionReassign && a.Pool == "":
		return cranfault.New(cranfault.Invalid, "name the destination", "action %s reassigns to no pool", a.ID)
	}
	return nil
}
