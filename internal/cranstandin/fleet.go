package cranstandin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Limits and defaults of the fleet.
const (
	maxInstances = 20_000
	maxIDBytes   = 200
	// maxVersions is the maximum number of states that are kept of each instance.
	maxVersions         = 64
	defaultRebootTime   = 3 * time.Second
	defaultReassignTime = time.Second
	defaultLeaveTime    = 2 * time.Second
	defaultGoneTime     = time.Minute
	// controlTimeout is the timeout of a call to a Controller.
	controlTimeout = 2 * time.Second
)

// Roles of an instance.
const (
	RoleTarget = "target"
	RoleEntry  = "entry"
)

// Fleet is an in-memory list of instances. Actions on instances take a
// configurable time. Fleet implements cranplatform.Fleet.
type Fleet struct {
	now            func() time.Time
	lag            time.Duration
	noticeTime     time.Duration
	rebootTime     time.Duration
	reassignTime   time.Duration
	leaveTime      time.Duration
	goneTime       time.Duration
	findController func(cranplatform.Instance) Controller
	faults         *injector
	timers         *timers
	// controlCtx is the context of calls to controllers. Close cancels it.
	controlCtx    context.Context
	cancelControl context.CancelFunc

	mu sync.Mutex
	// members holds the instances by id. Gone instances are kept for goneTime.
	members map[string]*member
	// actions holds every action that was ever started, by id.
	actions map[string]*actionState
	// ledger is in the order in which the actions, removals and losses started.
	ledger []*LedgerEntry
	// frozen is the list that is shown while the ListFrozen fault is set.
	frozen []cranplatform.Instance
}

var _ cranplatform.Fleet = (*Fleet)(nil)

// FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// WithListLag sets the delay with which the list shows changes. The default is
// zero.
func WithListLag(lag time.Duration) FleetOption {
	return func(f *Fleet) { f.lag = lag }
}

// WithNoticeTime sets how long an instance is listed as leaving before a reboot
// stops it. The default is zero.
func WithNoticeTime(notice time.Duration) FleetOption {
	return func(f *Fleet) { f.noticeTime = notice }
}

// WithRebootTime sets how long after its stop a rebooted instance is listed as
// live again. The default is 3 seconds.
func WithRebootTime(duration time.Duration) FleetOption {
	return func(f *Fleet) { f.rebootTime = duration }
}

// WithReassignTime sets how long a reassignment takes. The default is 1
// second.
func WithReassignTime(duration time.Duration) FleetOption {
	return func(f *Fleet) { f.reassignTime = duration }
}

// WithLeaveTime sets how long a removed instance is listed as leaving before
// it stops. The default is 2 seconds.
func WithLeaveTime(duration time.Duration) FleetOption {
	return func(f *Fleet) { f.leaveTime = duration }
}

// WithGoneTime sets how long a gone instance stays listed. The default is a
// minute.
func WithGoneTime(duration time.Duration) FleetOption {
	return func(f *Fleet) { f.goneTime = duration }
}

// WithFleetClock replaces the clock that supplies the times of the list and the
// ledger. Actions always use the timers of the standard library.
func WithFleetClock(now func() time.Time) FleetOption {
	return func(f *Fleet) { f.now = now }
}

// WithControllerLookup sets the function that returns the controller of an
// instance that was added without one. The function may return nil. By default
// such an instance has no controller.
func WithControllerLookup(find func(cranplatform.Instance) Controller) FleetOption {
	return func(f *Fleet) { f.findController = find }
}

// NewFleet returns an empty fleet. The caller must close it.
func NewFleet(options ...FleetOption) *Fleet {
	f := &Fleet{
		now:            time.Now,
		rebootTime:     defaultRebootTime,
		reassignTime:   defaultReassignTime,
		leaveTime:      defaultLeaveTime,
		goneTime:       defaultGoneTime,
		findController: func(cranplatform.Instance) Controller { return nil },
		faults:         newInjector(),
		timers:         newTimers(),
		members:        map[string]*member{},
		actions:        map[string]*actionState{},
	}
	f.controlCtx, f.cancelControl = context.WithCancel(context.Background())
	for _, option := range options {
		option(f)
	}
	return f
}

// SetFaults replaces the injected faults.
func (f *Fleet) SetFaults(faults Faults) error {
	return f.faults.set(faults, f.applyListFrozen)
}

// applyListFrozen saves the current list when ListFrozen is newly set, and
// discards the saved list when it is cleared.
func (f *Fleet) applyListFrozen(faults *Faults) {
	before := f.faults.get()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !faults.ListFrozen:
		f.frozen = nil
	case !before.ListFrozen:
		f.frozen = f.list(before)
	}
}

// Close drops the actions that are in progress and waits for calls to
// controllers to end.
func (f *Fleet) Close() error {
	f.cancelControl()
	f.timers.close()
	return nil
}

// Instances implements cranplatform.Fleet for an unnamed client.
func (f *Fleet) Instances(ctx context.Context) ([]cranplatform.Instance, error) {
	return f.ForClient("").Instances(ctx)
}

// Act implements cranplatform.Fleet for an unnamed client.
func (f *Fleet) Act(ctx context.Context, action cranplatform.Action) error {
	return f.ForClient("").Act(ctx, action)
}

// ActionStatus implements cranplatform.Fleet for an unnamed client.
func (f *Fleet) ActionStatus(ctx context.Context, id string) (cranplatform.ActionStatus, error) {
	return f.ForClient("").ActionStatus(ctx, id)
}

// ForClient returns the fleet as the named client sees it, so that a fault can
// make the fleet unreachable for that client only.
func (f *Fleet) ForClient(client string) cranplatform.Fleet {
	return &fleetClient{fleet: f, client: client}
}

// ActualInstances returns the current state of the instances, sorted by id,
// without the list's lag and without injected faults.
func (f *Fleet) ActualInstances() []cranplatform.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list(Faults{ListLagMs: -int(f.lag.Milliseconds())})
}

// list returns the instances as the list shows them with its lag, sorted by id.
// Of the faults it applies only ListLagMs.
func (f *Fleet) list(faults Faults) []cranplatform.Instance {
	lag := f.lag + time.Duration(faults.ListLagMs)*time.Millisecond
	at := f.now().Add(-lag)
	out := make([]cranplatform.Instance, 0, len(f.members))
	for _, m := range f.members {
		if instance, ok := m.stateAt(at); ok {
			out = append(out, instance)
		}
	}
	slices.SortFunc(out, func(a, b cranplatform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Add adds an instance as live, or makes an instance that is already listed
// live again, which counts as a boot. If controller is nil, the instance keeps
// its previous controller or uses the one of WithControllerLookup.
func (f *Fleet) Add(instance cranplatform.Instance, controller Controller) error {
	if err := checkInstance(instance); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[instance.ID]
	if m == nil {
		if len(f.members) >= maxInstances {
			return cranfault.New(cranfault.TooLarge, "remove instances first", "the fleet holds the maximum of %d instances", maxInstances)
		}
		m = &member{}
		f.members[instance.ID] = m
	} else {
		instance.Boots = m.current().Boots + 1
	}
	if controller != nil {
		m.controller = controller
	}
	instance.Phase = cranplatform.PhaseLive
	if m.action != "" {
		instance.Phase = cranplatform.PhaseLeaving
	}
	m.generation++
	m.removing = false
	m.set(f.now(), instance)
	return nil
}

// Remove lists an instance as leaving and stops it when the time of
// WithLeaveTime has passed. Removing it again meanwhile has no effect.
func (f *Fleet) Remove(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, err := f.findPresent(id)
	if err != nil {
		return err
	}
	if m.removing {
		return nil
	}
	m.removing = true
	m.setPhase(f.now(), cranplatform.PhaseLeaving)
	entry := f.addEntry(LedgerEntry{Kind: KindRemove, Instance: id})
	generation := m.generation
	f.timers.schedule(f.leaveTime, func() { f.stop(id, generation, entry) })
	return nil
}

// Lose simulates the unplanned loss of an instance: it stops the instance at
// once and lists it as gone.
func (f *Fleet) Lose(id string) error {
	f.mu.Lock()
	m, err := f.findPresent(id)
	if err != nil {
		f.mu.Unlock()
		return err
	}
	entry := f.addEntry(LedgerEntry{Kind: KindLose, Instance: id})
	generation := m.generation
	f.mu.Unlock()
	f.stop(id, generation, entry)
	return nil
}

// stop lists a removed or lost instance as gone and stops its process, unless
// the instance was added again meanwhile.
func (f *Fleet) stop(id string, generation int, entry *LedgerEntry) {
	f.mu.Lock()
	m := f.members[id]
	if m == nil || m.generation != generation || m.current().Phase == cranplatform.PhaseGone {
		f.mu.Unlock()
		return
	}
	m.setPhase(f.now(), cranplatform.PhaseGone)
	m.removing = false
	controller := f.controllerOf(m)
	f.mu.Unlock()
	aborted := f.callController(controller, Controller.Stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishEntry(entry, aborted)
	f.timers.schedule(f.goneTime, func() { f.removeGone(id, generation) })
}

// removeGone removes a gone instance from the list, unless it was added again
// meanwhile.
func (f *Fleet) removeGone(id string, generation int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && m.generation == generation {
		delete(f.members, id)
	}
}

// findPresent returns the member with an id, or an error if it is unknown or
// gone.
func (f *Fleet) findPresent(id string) (*member, error) {
	m := f.members[id]
	if m == nil || m.current().Phase == cranplatform.PhaseGone {
		return nil, cranfault.New(cranfault.UnknownInstance, "read the list of instances", "instance %.40q doesn't exist", id)
	}
	return m, nil
}
