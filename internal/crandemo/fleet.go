package crandemo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranembed"
	"github.com/cranberrypick/cranberrypick/internal/cranentry"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// fleet is the demonstrated deployment, which runs in this process.
type fleet struct {
	*cranembed.Fleet
	plan plan
	// live holds the ids of the entries that were not killed, in the order of their start.
	live []string
	// killedAt holds when each killed entry was killed.
	killedAt     map[string]time.Time
	publications []publication
	instances    []cranplatform.Instance
}

// newFleet starts the targets and the entries, publishes the first configuration and waits
// until every instance is available. The caller must close the fleet, also after an error.
func newFleet(ctx context.Context, p plan) (*fleet, error) {
	platform := cranstandin.WithFleetOptions(cranstandin.WithRebootTime(rebootTime), cranstandin.WithReassignTime(rebootTime))
	f := &fleet{Fleet: cranembed.NewFleet(platform), plan: p, killedAt: map[string]time.Time{}}
	if err := f.startTargets(); err != nil {
		return f, err
	}
	if err := f.startEntries(); err != nil {
		return f, err
	}
	ready := func(s cranadmin.Status) bool { return s.Ready && len(s.Members) == p.entries }
	if err := f.Await(ctx, ready); err != nil {
		return f, eris.Wrap(err, "wait until the entries are ready")
	}
	if err := f.publish(ctx, p.config); err != nil {
		return f, err
	}
	return f, eris.Wrap(f.Await(ctx, f.allAvailable), "wait until every instance is available")
}

// startTargets starts the targets of the plan and records them as the platform lists them.
func (f *fleet) startTargets() error {
	for n, t := range f.plan.targets() {
		rack := n / instancesPerRack
		err := f.StartTarget(cranembed.TargetSpec{
			ID: t.id, Pool: t.pool, Domain: fmt.Sprintf("rack%d", rack+1),
			DataCentre: dataCentre(rack), Slots: slotsPerInstance,
			Connections: connectionsPerInstance, ServiceTime: serviceTime,
		})
		if err != nil {
			return err
		}
	}
	for _, in := range f.Platform().Fleet().ActualInstances() {
		if in.Role == cranstandin.RoleTarget {
			f.instances = append(f.instances, in)
		}
	}
	return nil
}

// dataCentre returns the data centre of the n-th rack or entry.
func dataCentre(n int) string { return fmt.Sprintf("dc%d", n%dataCentres+1) }

func (f *fleet) startEntries() error {
	for n := range f.plan.entries {
		id := fmt.Sprintf("entry%d", n+1)
		err := f.StartEntry(id, cranentry.WithIdentity(id, dataCentre(n)),
			cranentry.WithLease(lease, heartbeat), cranentry.WithMaxParallelStops(len(f.plan.targets())))
		if err != nil {
			return err
		}
		f.live = append(f.live, id)
	}
	return nil
}

// allAvailable reports whether all targets are available.
func (f *fleet) allAvailable(s cranadmin.Status) bool {
	n := 0
	for _, p := range s.Pools {
		n += p.Available
	}
	return n == len(f.instances)
}

// operator returns the entry to which the operator's commands are sent.
func (f *fleet) operator() *cranembed.Entry { return f.Entry(f.live[0]) }

// endpoints returns the URLs of the live entries.
func (f *fleet) endpoints() []endpoint {
	var list []endpoint
	for _, id := range f.live {
		list = append(list, endpoint{id: id, url: f.Entry(id).URL()})
	}
	return list
}

// publish publishes a configuration and waits until every live entry has applied it.
func (f *fleet) publish(ctx context.Context, config *cranfleet.Config) error {
	s, err := f.operator().Status(ctx)
	if err != nil {
		return err
	}
	offset, err := f.operator().Propose(ctx, cranstate.ConfigPublished{Base: s.Revision, Config: config.Encode()})
	if err != nil {
		return eris.Wrap(err, "publish a configuration")
	}
	p := publication{config: config, acceptedAt: time.Now()}
	isInForce := func(s cranadmin.Status) bool { return s.Revision > offset }
	if err := f.Await(ctx, isInForce); err != nil {
		return eris.Wrap(err, "wait until a configuration is in force")
	}
	p.inForceAt = time.Now()
	f.publications = append(f.publications, p)
	return nil
}

// kill stops the last live entry without a shutdown, removes it from the balancer and
// returns its id.
func (f *fleet) kill(b *balancer) (string, error) {
	id := f.live[len(f.live)-1]
	f.live = f.live[:len(f.live)-1]
	f.killedAt[id] = time.Now()
	err := f.KillEntry(id)
	b.remove(id)
	return id, err
}

// setOutage starts or ends an outage of the log.
func (f *fleet) setOutage(down bool) error {
	return f.Platform().SetFaults(cranstandin.Faults{LogOutage: down})
}

// wave starts a maintenance wave over every pool and returns the wave's id.
func (f *fleet) wave(ctx context.Context) (uint64, error) {
	offset, err := f.operator().Propose(ctx, cranstate.WaveProposed{Pools: f.plan.pools(), MaxFailures: len(f.instances)})
	return offset + 1, eris.Wrap(err, "start the wave")
}

// moveSpares moves one instance of the spare pool to each pool that the second configuration
// enlarges.
func (f *fleet) moveSpares(ctx context.Context) error {
	spare := f.plan.config.Spare()
	n := 0
	for _, in := range f.instances {
		if in.Pool != spare || n == len(f.plan.grownPools) {
			continue
		}
		move := cranstate.StopProposed{Instance: in.ID, Kind: cranstate.StopMove, Pool: f.plan.grownPools[n]}
		if _, err := f.operator().Propose(ctx, move); err != nil {
			return eris.Wrapf(err, "move %s", in.ID)
		}
		n++
	}
	return nil
}

// ledgers collects the ledgers of the platform and the targets.
func (f *fleet) ledgers() ledgers {
	l := ledgers{
		actions: f.Platform().Fleet().Ledger(), instances: slices.Clone(f.instances),
		publications: slices.Clone(f.publications), killedAt: f.killedAt, end: time.Now(),
	}
	for _, t := range f.Targets() {
		l.targets = append(l.targets, t.Ledger())
	}
	return l
}

// rebooted returns how many reboots the platform has completed.
func (f *fleet) rebooted() int {
	n := 0
	for _, a := range f.Platform().Fleet().Ledger() {
		if a.Kind == cranplatform.ActionReboot && a.DoneMs != 0 {
			n++
		}
	}
	return n
}

// idle reports whether no target has a request in progress.
func (f *fleet) idle() bool {
	for _, t := range f.Targets() {
		if t.InProgress() > 0 {
			return false
		}
	}
	return true
}
