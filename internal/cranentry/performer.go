package cranentry

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplan"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const (
	// reconcileInterval is how often the lease holder compares the control state
	// with the platform.
	reconcileInterval = 200 * time.Millisecond
	// idleReconcileInterval replaces reconcileInterval while all instances serve.
	idleReconcileInterval = time.Second
	// probeInterval is how often a serving instance is probed.
	probeInterval = 5 * time.Second
	// probeTimeout is the maximum duration of a probe.
	probeTimeout = time.Second
	// actionRetryInterval is how often an action is requested again while the
	// platform has no record of it.
	actionRetryInterval = time.Second
	// repairDelay is how long a pool must lack instances before instances of
	// other pools are moved into it.
	repairDelay = 15 * time.Second
	// maxConcurrentProbes is how many probes may be in progress at once.
	maxConcurrentProbes = 16
	// unhealthyThreshold is how many consecutive probes must fail before an
	// instance counts as unhealthy.
	unhealthyThreshold = 3
	// roleEntry is the platform's role name for an entry instance.
	roleEntry = "entry"
	// maxObservationsPerRecord is the maximum number of observations in a record.
	maxObservationsPerRecord = 200
)

// reconciler reconciles the platform with the control state while this entry
// holds the effects lease.
type reconciler struct {
	entry  *Entry
	fleet  cranplatform.Fleet
	client *http.Client
	// lastProbed holds when each instance was last probed.
	lastProbed map[string]time.Time
	// consecutiveFailures holds how many probes of each instance failed in a row.
	consecutiveFailures map[string]int
	// listedEntries holds the entry instances that the platform's list has
	// contained at any time.
	listedEntries map[string]bool
	// lastRequested holds when each action was last requested.
	lastRequested map[string]time.Time
	// repair decides which instances to move into pools that lack instances.
	// Only the control thread uses it.
	repair *cranplan.Repair
	// recentlyProposed holds when a stop of each instance was last proposed. It
	// prevents a second proposal before the first one has been applied.
	recentlyProposed map[string]time.Time
}

func newReconciler(e *Entry, fleet cranplatform.Fleet) *reconciler {
	return &reconciler{
		entry: e, fleet: fleet, client: &http.Client{Timeout: probeTimeout},
		lastProbed: map[string]time.Time{}, consecutiveFailures: map[string]int{},
		repair:        cranplan.NewRepair(repairDelay),
		listedEntries: map[string]bool{}, lastRequested: map[string]time.Time{}, recentlyProposed: map[string]time.Time{},
	}
}

// target is a copy of the fields of a target instance that the reconciler needs.
type target struct {
	id           string
	address      string
	phase        cranstate.Phase
	healthy      bool
	boots        int
	slots        int
	connections  int
	reportedPool string
}

// reconcileInput is the part of the control state that one reconciliation needs.
type reconcileInput struct {
	holdsLease bool
	// inTransition is set while any target is in a phase other than serving.
	inTransition bool
	targets      map[string]target
	// entries holds the entry instances that are members. The value is false once
	// the instance was observed as gone.
	entries map[string]bool
	actions []cranplatform.Action
	stops   []cranstate.StopProposed
}

// run reconciles at intervals until ctx ends.
func (rc *reconciler) run(ctx context.Context) {
	defer rc.client.CloseIdleConnections()
	timer := time.NewTimer(reconcileInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(rc.reconcile(ctx))
		}
	}
}

// holdsLease reports whether this entry holds the effects lease now. It is called
// again right before each action and each proposal, since the lease may end
// during a reconciliation.
func (rc *reconciler) holdsLease(ctx context.Context) bool {
	held, err := read(ctx, rc.entry.control, func(*cranstate.State) bool {
		return time.Now().Before(rc.entry.leases.effectsLeaseEnd)
	})
	return err == nil && held
}

// reconcile compares the control state with the platform once and returns the
// time to wait until the next reconciliation.
func (rc *reconciler) reconcile(ctx context.Context) time.Duration {
	input, err := read(ctx, rc.entry.control, rc.gather)
	if err != nil || !input.holdsLease {
		return reconcileInterval
	}
	rc.reportInstances(ctx, input)
	rc.probeInstances(ctx, input)
	rc.requestActions(ctx, input)
	rc.proposeStops(ctx, input)
	if input.inTransition {
		return reconcileInterval
	}
	return idleReconcileInterval
}

// gather copies the input of a reconciliation. It runs on the control thread.
func (rc *reconciler) gather(s *cranstate.State) reconcileInput {
	input := reconcileInput{holdsLease: time.Now().Before(rc.entry.leases.effectsLeaseEnd), targets: map[string]target{}, entries: map[string]bool{}}
	if !input.holdsLease {
		rc.repair = cranplan.NewRepair(repairDelay)
		return input
	}
	for _, in := range s.Instances() {
		input.inTransition = input.inTransition || in.Phase() != cranstate.PhaseServing
		input.targets[in.ID()] = target{
			id: in.ID(), address: in.Address(), phase: in.Phase(), healthy: in.Healthy(), boots: in.Boots(),
			slots: in.Slots(), connections: in.Connections(), reportedPool: in.ReportedPool(),
		}
	}
	for _, m := range s.Members() {
		if m.Instance() != "" {
			input.entries[m.Instance()] = !m.Gone()
		}
	}
	input.actions = s.PendingActions()
	input.stops = append(cranplan.NextStops(s, rc.entry.maxParallelStops), rc.repair.NextMoves(s, time.Now())...)
	return input
}

// submit submits an event on the control thread.
func (rc *reconciler) submit(ctx context.Context, event cranstate.Event) {
	_ = rc.entry.control.do(ctx, func(*cranstate.State) { rc.entry.submit(event) })
}

// requestActions requests the pending actions from the platform and proposes
// those that are done as observed.
func (rc *reconciler) requestActions(ctx context.Context, input reconcileInput) {
	var done []string
	for _, a := range input.actions {
		status, err := rc.fleet.ActionStatus(ctx, a.ID)
		switch {
		case err != nil:
		case status.Done:
			done = append(done, a.ID)
		case !status.Known && time.Since(rc.lastRequested[a.ID]) >= actionRetryInterval && rc.holdsLease(ctx):
			rc.lastRequested[a.ID] = time.Now()
			// After an error the action may still have been taken. The next
			// reconciliation reads its status.
			_ = rc.fleet.Act(ctx, a)
		}
	}
	if len(done) > 0 {
		rc.submit(ctx, cranstate.ActionsObserved{Done: done})
	}
	rc.prune(input)
}

// prune deletes the entries of actions and instances that no longer exist.
func (rc *reconciler) prune(input reconcileInput) {
	pending := map[string]bool{}
	for _, a := range input.actions {
		pending[a.ID] = true
	}
	for id := range rc.lastRequested {
		if !pending[id] {
			delete(rc.lastRequested, id)
		}
	}
	for id := range rc.lastProbed {
		if _, ok := input.targets[id]; !ok {
			delete(rc.lastProbed, id)
			delete(rc.consecutiveFailures, id)
		}
	}
}

// proposeStops proposes the next stops of waves, and moves into pools that lack
// instances.
func (rc *reconciler) proposeStops(ctx context.Context, input reconcileInput) {
	for id, at := range rc.recentlyProposed {
		if time.Since(at) > rc.entry.heartbeatInterval {
			delete(rc.recentlyProposed, id)
		}
	}
	for _, s := range input.stops {
		if _, recent := rc.recentlyProposed[s.Instance]; recent || !rc.holdsLease(ctx) {
			continue
		}
		rc.recentlyProposed[s.Instance] = time.Now()
		rc.submit(ctx, s)
	}
}
