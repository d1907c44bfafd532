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

// fleet is the deployment in this process.
type fleet struct {
	*cranembed.Fleet
	plan plan
	// live holds the ids of the entries that were not killed, in order.
	live         []string
	killed       map[string]time.Time
	publications []publication
	instances    []cranplatform.Instance
}

// newFleet starts everything and publishes the first configuration. The
// caller closes the fleet also after an error.
func newFleet(ctx context.Context, p plan) (*fleet, error) {
	platform := cranstandin.WithFleetOptions(cranstandin.WithRebootTime(rebootTime), cranstandin.WithReassignTime(rebootTime))
	f := &fleet{Fleet: cranembed.NewFleet(platform), plan: p, killed: map[string]time.Time{}}
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

func (f *fleet) allAvailable(s cranadmin.Status) bool {
	n := 0
	for _, p := range s.Pools {
		n += p.Available
	}
	return n == len(f.instances)
}

// operator returns the entry that the operator talks to.
func (f *fleet) operator() *cranembed.Entry { return f.Entry(f.live[0]) }

// endpoints returns where callers reach the entries.
func (f *fleet) endpoints() []endpoint {
	var list []endpoint
	for _, id := range f.live {
		list = append(list, endpoint{id: id, url: f.Entry(id).URL()})
	}
	return list
}

// publish publishes a configuration and waits until every live entry has it
// in force.
func (f *fleet) publish(ctx context.Context, config *cranfleet.Config) error {
	s, err := f.operator().Status(ctx)
	if err != nil {
		return err
	}
	offset, err := f.operator().Propose(ctx, cranstate.ConfigPublished{Base: s.Revision, Config: config.Encode()})
	if err != nil {
		return eris.Wrap(err, "publish a configuration")
	}
	p := publication{config: config, accepted: time.Now()}
	inForce := func(s cranadmin.Status) bool { return s.Revision > offset }
	if err := f.Await(ctx, inForce); err != nil {
		return eris.Wrap(err, "wait until a configuration is in force")
	}
	p.inForce = time.Now()
	f.publications = append(f.publications, p)
	return nil
}

// kill ends the last entry at once.
func (f *fleet) kill(b *balancer) (string, error) {
	id := f.live[len(f.live)-1]
	f.live = f.live[:len(f.live)-1]
	f.killed[id] = time.Now()
	err := f.KillEntry(id)
	b.remove(id)
	return id, err
}

// setOutage takes the log down or brings it back.
func (f *fleet) setOutage(down bool) error {
	return f.Platform().SetFaults(cranstandin.Faults{LogOutage: down})
}

// wave starts the maintenance of every pool and returns the wave's id.
func (f *fleet) wave(ctx context.Context) (uint64, error) {
	offset, err := f.operator().Propose(ctx, cranstate.WaveProposed{Pools: f.plan.pools(), MaxFailures: len(f.instances)})
	return offset + 1, eris.Wrap(err, "start the wave")
}

// moveSpares moves one instance of the spare pool to each grown pool.
func (f *fleet) moveSpares(ctx context.Context) error {
	spare := f.plan.config.Spare()
	n := 0
	for _, in := range f.instances {
		if in.Pool != spare || n == len(f.plan.grown) {
			continue
		}
		move := cranstate.StopProposed{Instance: in.ID, Kind: cranstate.StopMove, Pool: f.plan.grown[n]}
		if _, err := f.operator().Propose(ctx, move); err != nil {
			return eris.Wrapf(err, "move %s", in.ID)
		}
		n++
	}
	return nil
}

// ledgers gathers the platform's and the targets' ledgers.
func (f *fleet) ledgers() ledgers {
	l := ledgers{
		actions: f.Platform().Fleet().Ledger(), instances: slices.Clone(f.instances),
		publications: slices.Clone(f.publications), killed: f.killed, end: time.Now(),
	}
	for _, t := range f.Targets() {
		l.targets = append(l.targets, t.Ledger())
	}
	return l
}

// rebooted returns how many reboots the platform completed.
func (f *fleet) rebooted() int {
	n := 0
	for _, a := range f.Platform().Fleet().Ledger() {
		if a.Kind == cranplatform.ActionReboot && a.DoneMs != 0 {
			n++
		}
	}
	return n
}

// idle reports whether no target runs a request.
func (f *fleet) idle() bool {
	for _, t := range f.Targets() {
		if t.InProgress() > 0 {
			return false
		}
	}
	return true
}
