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

// Bounds and default times of the fleet.
const (
	maxInstances        = 20_000
	maxInstanceName     = 200
	maxVersions         = 64
	defaultRebootTime   = 3 * time.Second
	defaultReassignTime = time.Second
	defaultLeaveTime    = 2 * time.Second
	defaultGoneTime     = time.Minute
	controlTimeout      = 2 * time.Second
)

// Roles of an instance.
const (
	RoleTarget = "target"
	RoleEntry  = "entry"
)

// Fleet is a list of instances in memory with actions that take a time. It
// implements cranplatform.Fleet.
type Fleet struct {
	now          func() time.Time
	lag          time.Duration
	noticeTime   time.Duration
	rebootTime   time.Duration
	reassignTime time.Duration
	leaveTime    time.Duration
	goneTime     time.Duration
	control      func(cranplatform.Instance) Controller
	faults       *injector
	timers       *timers
	// closing is cancelled by Close and ends calls to controllers.
	closing context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// members holds the instances by id, the gone ones for goneTime.
	members map[string]*member
	// actions holds every action that was ever performed, by id.
	actions map[string]*actionState
	// ledger is in the order in which the actions were performed.
	ledger []*LedgerEntry
	// frozen is what the list shows while it is frozen.
	frozen []cranplatform.Instance
}

var _ cranplatform.Fleet = (*Fleet)(nil)

// FleetOption changes how a fleet is built.
type FleetOption func(*Fleet)

// WithListLag makes the list show what was true that long ago.
func WithListLag(lag time.Duration) FleetOption {
	return func(f *Fleet) { f.lag = lag }
}

// WithNoticeTime lists an instance as leaving that long before a reboot stops
// it. The default is zero.
func WithNoticeTime(notice time.Duration) FleetOption {
	return func(f *Fleet) { f.noticeTime = notice }
}

// WithRebootTime sets how long a rebooted instance is away. The default is 3
// seconds.
func WithRebootTime(away time.Duration) FleetOption {
	return func(f *Fleet) { f.rebootTime = away }
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

// WithFleetClock replaces the clock that dates the list and the ledger.
// Actions follow the standard library's timers in any case.
func WithFleetClock(now func() time.Time) FleetOption {
	return func(f *Fleet) { f.now = now }
}

// WithControllerLookup sets how the fleet finds the controller of an instance that
// none was attached to; it may return nil. By default there is none.
func WithControllerLookup(control func(cranplatform.Instance) Controller) FleetOption {
	return func(f *Fleet) { f.control = control }
}

// NewFleet returns an empty fleet. Close releases it.
func NewFleet(options ...FleetOption) *Fleet {
	f := &Fleet{
		now:          time.Now,
		rebootTime:   defaultRebootTime,
		reassignTime: defaultReassignTime,
		leaveTime:    defaultLeaveTime,
		goneTime:     defaultGoneTime,
		control:      func(cranplatform.Instance) Controller { return nil },
		faults:       newInjector(),
		timers:       newTimers(),
		members:      map[string]*member{},
		actions:      map[string]*actionState{},
	}
	f.closing, f.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(f)
	}
	return f
}

// SetFaults replaces the faults in force.
func (f *Fleet) SetFaults(faults Faults) error {
	return f.faults.set(faults, f.prepare)
}

// prepare freezes or thaws the list.
func (f *Fleet) prepare(faults *Faults) {
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

// Close drops the actions that are under way and waits for calls to
// controllers to end.
func (f *Fleet) Close() error {
	f.cancel()
	f.timers.close()
	return nil
}

// Instances implements cranplatform.Fleet for a client without a name.
func (f *Fleet) Instances(ctx context.Context) ([]cranplatform.Instance, error) {
	return f.ForClient("").Instances(ctx)
}

// Act implements cranplatform.Fleet for a client without a name.
func (f *Fleet) Act(ctx context.Context, action cranplatform.Action) error {
	return f.ForClient("").Act(ctx, action)
}

// ActionStatus implements cranplatform.Fleet for a client without a name.
func (f *Fleet) ActionStatus(ctx context.Context, id string) (cranplatform.ActionStatus, error) {
	return f.ForClient("").ActionStatus(ctx, id)
}

// ForClient returns the fleet as the named client sees it, so that a fault can cut
// that client alone.
func (f *Fleet) ForClient(client string) cranplatform.Fleet {
	return &fleetClient{fleet: f, client: client}
}

// ActualInstances returns the instances as they are now, in order of id, whatever lag
// and faults make of the list.
func (f *Fleet) ActualInstances() []cranplatform.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list(Faults{ListLagMs: -int(f.lag.Milliseconds())})
}

// list returns what the faults show of the instances, in order of id.
func (f *Fleet) list(faults Faults) []cranplatform.Instance {
	lag := f.lag + time.Duration(faults.ListLagMs)*time.Millisecond
	at := f.now().Add(-lag)
	out := make([]cranplatform.Instance, 0, len(f.members))
	for _, m := range f.members {
		if instance, ok := m.seen(at); ok {
			out = append(out, instance)
		}
	}
	slices.SortFunc(out, func(a, b cranplatform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Add adds an instance as live, or brings one back that was listed before;
// that counts as a boot. A controller that is nil is found by WithControllerLookup.
func (f *Fleet) Add(instance cranplatform.Instance, controller Controller) error {
	if err := checkInstance(instance); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[instance.ID]
	if m == nil {
		if len(f.members) >= maxInstances {
			return cranfault.New(cranfault.TooLarge, "remove instances first", "the fleet holds %d instances", maxInstances)
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

// Remove lists an instance as leaving, and stops it when the leave time has
// passed. Removing it again changes nothing.
func (f *Fleet) Remove(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, err := f.present(id)
	if err != nil {
		return err
	}
	if m.removing {
		return nil
	}
	m.removing = true
	m.setPhase(f.now(), cranplatform.PhaseLeaving)
	entry := f.record(LedgerEntry{Kind: KindRemove, Instance: id})
	generation := m.generation
	f.timers.start(f.leaveTime, func() { f.stop(id, generation, entry) })
	return nil
}

// Lose stops an instance at once and lists it as gone, as an unplanned loss.
func (f *Fleet) Lose(id string) error {
	f.mu.Lock()
	m, err := f.present(id)
	if err != nil {
		f.mu.Unlock()
		return err
	}
	entry := f.record(LedgerEntry{Kind: KindLose, Instance: id})
	generation := m.generation
	f.mu.Unlock()
	f.stop(id, generation, entry)
	return nil
}

// stop stops a removed instance and lists it as gone, unless it came back.
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
	cut := f.ask(controller, Controller.Stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish(entry, cut)
	f.timers.start(f.goneTime, func() { f.forget(id, generation) })
}

// forget drops a gone instance from the list.
func (f *Fleet) forget(id string, generation int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil && m.generation == generation {
		delete(f.members, id)
	}
}

// present returns a member that isn't gone.
func (f *Fleet) present(id string) (*member, error) {
	m := f.members[id]
	if m == nil || m.current().Phase == cranplatform.PhaseGone {
		return nil, cranfault.New(cranfault.UnknownInstance, "read the list of instances", "no instance %.40q", id)
	}
	return m, nil
}
