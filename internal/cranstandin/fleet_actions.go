package cranstandin

import (
	"context"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Kinds of ledger entries for events that aren't actions.
const (
	// KindRemove is a planned removal, with a leaving phase.
	KindRemove cranplatform.ActionKind = "remove"
	// KindLose is an unplanned loss, without a leaving phase.
	KindLose cranplatform.ActionKind = "lose"
)

// InProgressUnknown is the value of LedgerEntry.InProgressAtStop if no process
// was stopped or the process didn't report a count.
const InProgressUnknown = -1

// LedgerEntry is the platform's record of one action, removal or loss.
type LedgerEntry struct {
	// ID is the action's id. It is empty for a removal or a loss.
	ID       string                  `json:"id"`
	Kind     cranplatform.ActionKind `json:"kind"`
	Instance string                  `json:"instance"`
	Pool     string                  `json:"pool,omitempty"`
	// AtMs is when the platform started the action, in milliseconds since the
	// Unix epoch.
	AtMs int64 `json:"atMs"`
	// DoneMs is when the action was complete, in milliseconds since the Unix
	// epoch, or zero while it is in progress.
	DoneMs int64 `json:"doneMs"`
	// InProgressAtStop is the number of requests that the stop of the target
	// process aborted, as the process reported it, or InProgressUnknown.
	InProgressAtStop int `json:"inProgressAtStop"`
}

// Controller stops and starts the process of an instance.
type Controller interface {
	// Reboot stops the process at once and starts it when down has passed.
	// It returns the number of requests that the stop aborted.
	Reboot(ctx context.Context, down time.Duration) (inProgress int, err error)
	// Stop stops the process at once and permanently. It returns the number
	// of requests that the stop aborted.
	Stop(ctx context.Context) (inProgress int, err error)
}

// actionState is an action and whether it is done.
type actionState struct {
	action cranplatform.Action
	done   bool
}

// fleetClient implements cranplatform.Fleet for one client.
type fleetClient struct {
	fleet  *Fleet
	client string
}

// Instances implements cranplatform.Fleet.
func (c *fleetClient) Instances(ctx context.Context) ([]cranplatform.Instance, error) {
	if err := c.checkReachable(ctx); err != nil {
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
		shown[n].Phase = faults.listedPhase(shown[n])
	}
	return shown, nil
}

// Act implements cranplatform.Fleet.
func (c *fleetClient) Act(ctx context.Context, action cranplatform.Action) error {
	if err := c.checkReachable(ctx); err != nil {
		return err
	}
	if err := c.fleet.startAction(action); err != nil {
		return err
	}
	if c.fleet.faults.nextActionFaults() {
		return newResponseLost(cranfault.NotReady)
	}
	return nil
}

// ActionStatus implements cranplatform.Fleet.
func (c *fleetClient) ActionStatus(ctx context.Context, id string) (cranplatform.ActionStatus, error) {
	if err := c.checkReachable(ctx); err != nil {
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

// checkReachable returns an error if the context has ended or an injected fault
// makes the fleet unreachable for the client.
func (c *fleetClient) checkReachable(ctx context.Context) error {
	if ctx.Err() != nil {
		return contextFault(ctx)
	}
	ctx, cancel := c.fleet.timers.cancelOnClose(ctx)
	defer cancel()
	return c.fleet.faults.checkOrHang(ctx, func() error { return c.fleet.faults.checkFleetAccess(c.client) })
}

// Ledger returns a copy of the ledger, in the order in which entries started.
func (f *Fleet) Ledger() []LedgerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]LedgerEntry, len(f.ledger))
	for n, e := range f.ledger {
		out[n] = *e
	}
	return out
}

// startAction starts an action. If an equal action with the same id was started
// before, it does nothing.
func (f *Fleet) startAction(action cranplatform.Action) error {
	if err := checkAction(action); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.actions[action.ID]; a != nil {
		if a.action != action {
			return cranfault.New(cranfault.Conflict, "give each action its own id", "action id %.40q was used for a different action", action.ID)
		}
		return nil
	}
	m, err := f.findPresent(action.Instance)
	if err != nil {
		return err
	}
	if m.action != "" || m.removing {
		return cranfault.New(cranfault.Busy, "wait for the action in progress, then send this one again",
			"instance %s has an action in progress or is being removed", action.Instance)
	}
	m.action = action.ID
	f.actions[action.ID] = &actionState{action: action}
	entry := f.addEntry(LedgerEntry{ID: action.ID, Kind: action.Kind, Instance: action.Instance, Pool: action.Pool})
	if action.Kind == cranplatform.ActionReboot {
		m.setPhase(f.now(), cranplatform.PhaseLeaving)
		f.timers.schedule(f.noticeTime, func() { f.reboot(m, entry) })
		return nil
	}
	f.timers.schedule(f.reassignTime, func() { f.finishReassign(m, entry) })
	return nil
}

// reboot stops the instance's process and schedules the end of the reboot. A
// gone instance has no process to stop.
func (f *Fleet) reboot(m *member, entry *LedgerEntry) {
	f.mu.Lock()
	gone := m.current().Phase == cranplatform.PhaseGone
	controller := f.controllerOf(m)
	f.mu.Unlock()
	aborted := InProgressUnknown
	if !gone {
		down := f.rebootTime - f.rebootTime/restartLeadDivisor
		aborted = f.callController(controller, func(c Controller, ctx context.Context) (int, error) { return c.Reboot(ctx, down) })
	}
	f.mu.Lock()
	entry.InProgressAtStop = aborted
	f.mu.Unlock()
	f.timers.schedule(f.rebootTime, func() { f.finishReboot(m, entry) })
}

// restartLeadDivisor divides the reboot time. A process starts that fraction of the
// reboot time, one tenth, before its instance is listed as live again.
const restartLeadDivisor = 10

// finishReboot completes a reboot and lists the instance as live, or as leaving
// if it is being removed. An instance that is gone meanwhile stays gone.
func (f *Fleet) finishReboot(m *member, entry *LedgerEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishEntry(entry, entry.InProgressAtStop)
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

// finishReassign completes a reassignment: the instance is now in the new pool.
func (f *Fleet) finishReassign(m *member, entry *LedgerEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishEntry(entry, InProgressUnknown)
	m.action = ""
	instance := m.current()
	instance.Pool = entry.Pool
	m.set(f.now(), instance)
}

// addEntry adds a ledger entry that is in progress.
func (f *Fleet) addEntry(entry LedgerEntry) *LedgerEntry {
	entry.AtMs = f.now().UnixMilli()
	entry.InProgressAtStop = InProgressUnknown
	f.ledger = append(f.ledger, &entry)
	return &entry
}

// finishEntry marks a ledger entry and its action, if any, as done.
func (f *Fleet) finishEntry(entry *LedgerEntry, aborted int) {
	entry.DoneMs = f.now().UnixMilli()
	entry.InProgressAtStop = aborted
	if a := f.actions[entry.ID]; a != nil {
		a.done = true
	}
}

// controllerOf returns the member's controller, or nil if it has none.
func (f *Fleet) controllerOf(m *member) Controller {
	if m.controller != nil {
		return m.controller
	}
	return f.findController(m.current())
}

// callController calls a controller and returns the number of aborted requests,
// or InProgressUnknown if there is no controller or the call fails.
func (f *Fleet) callController(c Controller, call func(Controller, context.Context) (int, error)) int {
	if c == nil {
		return InProgressUnknown
	}
	ctx, cancel := context.WithTimeout(f.controlCtx, controlTimeout)
	defer cancel()
	aborted, err := call(c, ctx)
	if err != nil {
		return InProgressUnknown
	}
	return aborted
}

// checkAction refuses an action with an invalid id, kind or pool.
func checkAction(a cranplatform.Action) error {
	switch {
	case a.ID == "" || len(a.ID) > maxIDBytes:
		return cranfault.New(cranfault.Invalid, "use an id of 1 to 200 bytes", "%.40q isn't a valid action id", a.ID)
	case a.Kind != cranplatform.ActionReboot && a.Kind != cranplatform.ActionReassign:
		return cranfault.New(cranfault.Invalid, `use "reboot" or "reassign"`, "action %s has the unknown kind %.40q", a.ID, a.Kind)
	case a.Kind == cranplatform.ActionReassign && a.Pool == "":
		return cranfault.New(cranfault.Invalid, "name the destination pool", "action %s is a reassignment without a pool", a.ID)
	}
	return nil
}
