package cranstandin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Durations of the fleet under test. They end at ticks, or a fifth of a tick after
// one, and the test compares the fleet with the model halfway between ticks, so
// that the result doesn't depend on the order of simultaneous events.
const (
	fleetTick     = 100 * time.Millisecond
	fleetLag      = 3 * fleetTick
	fleetReboot   = 5 * fleetTick
	fleetReassign = 2 * fleetTick
	fleetLeave    = 4*fleetTick + fleetTick/5
)

// oracleInstance is the model of one instance.
type oracleInstance struct {
	phase   cranplatform.Phase
	boots   int
	pool    string
	action  string
	goneAt  time.Time
	leaving bool
}

// oracleAction is the model of one action.
type oracleAction struct {
	action cranplatform.Action
	doneAt time.Time
	done   bool
}

// oracleFleet is a simple model of a fleet.
type oracleFleet struct {
	instances map[string]*oracleInstance
	actions   map[string]*oracleAction
	// order holds the ids of the started actions, in order.
	order []string
	// history holds the actual instances at each check, oldest first.
	history [][]cranplatform.Instance
}

// advance applies the removals and actions whose time has come.
func (o *oracleFleet) advance() {
	now := time.Now()
	for _, i := range o.instances {
		if i.leaving && !now.Before(i.goneAt) {
			i.phase, i.leaving = cranplatform.PhaseGone, false
		}
	}
	for _, id := range o.order {
		a := o.actions[id]
		if a.done || now.Before(a.doneAt) {
			continue
		}
		a.done = true
		i := o.instances[a.action.Instance]
		i.action = ""
		switch {
		case a.action.Kind == cranplatform.ActionReassign:
			i.pool = a.action.Pool
		case i.phase != cranplatform.PhaseGone:
			i.boots++
			i.phase = cranplatform.PhaseLive
			if i.leaving {
				i.phase = cranplatform.PhaseLeaving
			}
		}
	}
}

// act is the model of Act.
func (o *oracleFleet) act(a cranplatform.Action) cranfault.Kind {
	if before := o.actions[a.ID]; before != nil {
		if before.action != a {
			return cranfault.Conflict
		}
		return ""
	}
	i := o.instances[a.Instance]
	switch {
	case i == nil || i.phase == cranplatform.PhaseGone:
		return cranfault.UnknownInstance
	case i.action != "" || i.leaving:
		return cranfault.Busy
	}
	i.action = a.ID
	duration := fleetReassign
	if a.Kind == cranplatform.ActionReboot {
		duration = fleetReboot
		i.phase = cranplatform.PhaseLeaving
	}
	o.actions[a.ID] = &oracleAction{action: a, doneAt: time.Now().Add(duration)}
	o.order = append(o.order, a.ID)
	return ""
}

// add is the model of Add.
func (o *oracleFleet) add(id, pool string) {
	i := o.instances[id]
	if i == nil {
		o.instances[id] = &oracleInstance{phase: cranplatform.PhaseLive, pool: pool}
		return
	}
	i.boots++
	i.pool, i.leaving = pool, false
	i.phase = cranplatform.PhaseLive
	if i.action != "" {
		i.phase = cranplatform.PhaseLeaving
	}
}

// actualInstances is the model of ActualInstances.
func (o *oracleFleet) actualInstances() []cranplatform.Instance {
	out := []cranplatform.Instance{}
	for n := range 3 {
		id := fmt.Sprint("t", n)
		if i := o.instances[id]; i != nil {
			out = append(out, cranplatform.Instance{ID: id, Role: RoleTarget, Pool: i.pool, Phase: i.phase, Boots: i.boots})
		}
	}
	return out
}

// check compares a fleet with the model.
func (o *oracleFleet) check(t *rapid.T, f *Fleet) {
	o.advance()
	require.Equal(t, o.actualInstances(), f.ActualInstances())
	listed, err := f.Instances(context.Background())
	require.NoError(t, err)
	o.history = append(o.history, o.actualInstances())
	before := len(o.history) - 1 - int(fleetLag/fleetTick)
	if before < 0 {
		require.Empty(t, listed)
	} else {
		require.Equal(t, o.history[before], listed)
	}
	performed := []string{}
	for _, e := range f.Ledger() {
		if e.ID != "" {
			performed = append(performed, e.ID)
		}
	}
	require.Equal(t, append([]string{}, o.order...), performed)
	for _, id := range append([]string{"never"}, o.order...) {
		status, err := f.ActionStatus(context.Background(), id)
		require.NoError(t, err)
		a := o.actions[id]
		require.Equal(t, cranplatform.ActionStatus{Known: a != nil, Done: a != nil && a.done}, status)
	}
}

func TestFleetAgainstOracle(t *testing.T) {
	ids := rapid.SampledFrom([]string{"t0", "t1", "t2"})
	pools := rapid.SampledFrom([]string{"p", "q"})
	checkInBubble(t, func(t *rapid.T) {
		f := NewFleet(WithListLag(fleetLag), WithRebootTime(fleetReboot), WithReassignTime(fleetReassign),
			WithLeaveTime(fleetLeave), WithGoneTime(time.Hour))
		defer func() { require.NoError(t, f.Close()) }()
		o := &oracleFleet{instances: map[string]*oracleInstance{}, actions: map[string]*oracleAction{}}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id, pool := ids.Draw(t, "id"), pools.Draw(t, "pool")
				require.NoError(t, f.Add(cranplatform.Instance{ID: id, Role: RoleTarget, Pool: pool}, nil))
				o.add(id, pool)
			},
			"remove": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				err := f.Remove(id)
				i := o.instances[id]
				if i == nil || i.phase == cranplatform.PhaseGone {
					require.ErrorIs(t, err, cranfault.MatchKind(cranfault.UnknownInstance))
					return
				}
				require.NoError(t, err)
				if !i.leaving {
					i.leaving, i.goneAt, i.phase = true, time.Now().Add(fleetLeave), cranplatform.PhaseLeaving
				}
			},
			"lose": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				if err := f.Lose(id); err == nil {
					o.instances[id].phase, o.instances[id].leaving = cranplatform.PhaseGone, false
				}
			},
			"act": func(t *rapid.T) {
				a := cranplatform.Action{
					ID:       fmt.Sprint("a", rapid.IntRange(0, 9).Draw(t, "action")),
					Kind:     cranplatform.ActionReboot,
					Instance: ids.Draw(t, "id"),
				}
				if rapid.Bool().Draw(t, "reassign") {
					a.Kind, a.Pool = cranplatform.ActionReassign, pools.Draw(t, "pool")
				}
				lose := rapid.Bool().Draw(t, "lose")
				require.NoError(t, f.SetFaults(Faults{LoseActionAnswers: oneIf(lose)}))
				want := o.act(a)
				err := f.Act(context.Background(), a)
				if want == "" && lose {
					want = cranfault.NotReady
				}
				require.Equal(t, want, cranfault.KindOf(err))
			},
			"": func(t *rapid.T) {
				synctest.Wait()
				time.Sleep(fleetTick / 2)
				o.check(t, f)
				time.Sleep(fleetTick / 2)
				synctest.Wait()
				o.advance()
			},
		})
	})
}

func TestListFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPlatform(WithFleetOptions(WithGoneTime(time.Minute)))
		defer func() { require.NoError(t, p.Close()) }()
		phases := func() string {
			list, err := p.FleetForClient("entry1").Instances(context.Background())
			require.NoError(t, err)
			out := ""
			for _, i := range list {
				out += i.ID + " " + string(i.Phase) + " "
			}
			return out
		}
		require.NoError(t, p.Fleet().Add(cranplatform.Instance{ID: "a", Role: RoleTarget}, nil))
		require.NoError(t, p.Fleet().Add(cranplatform.Instance{ID: "b", Role: RoleTarget}, nil))
		require.NoError(t, p.SetFaults(Faults{ListFrozen: true}))
		require.NoError(t, p.Fleet().Lose("a"))
		require.Equal(t, "a live b live ", phases())
		require.NoError(t, p.SetFaults(Faults{ListFrozen: true, ListLagMs: 1}))
		require.Equal(t, "a live b live ", phases())
		require.NoError(t, p.SetFaults(Faults{}))
		require.Equal(t, "a gone b live ", phases())
		require.NoError(t, p.SetFaults(Faults{ShowLive: []string{"a"}, ShowGone: []string{"b"}}))
		require.Equal(t, "a live b gone ", phases())
		require.NoError(t, p.SetFaults(Faults{ListLagMs: 5000}))
		require.Empty(t, phases())
		time.Sleep(2 * time.Minute)
		require.Equal(t, "b live ", phases(), "a gone instance is no longer listed after WithGoneTime")
		require.NoError(t, p.SetFaults(Faults{FleetOutage: true}))
		_, err := p.FleetForClient("entry1").Instances(context.Background())
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.NotReady))
		require.NoError(t, p.SetFaults(Faults{CutFromFleet: []string{"entry1"}}))
		_, err = p.FleetForClient("entry1").Instances(context.Background())
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.NotReady))
		_, err = p.FleetForClient("entry2").Instances(context.Background())
		require.NoError(t, err)
	})
}

// failingController is a Controller whose calls fail.
type failingController struct{}

// Reboot implements Controller.
func (failingController) Reboot(context.Context, time.Duration) (int, error) { return 0, errControl }

// Stop implements Controller.
func (failingController) Stop(context.Context) (int, error) { return 0, errControl }

var errControl = errors.New("no response")

func TestLedgerRecordsUnknownInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet()
		defer func() { require.NoError(t, f.Close()) }()
		require.NoError(t, f.Add(cranplatform.Instance{ID: "a", Role: RoleTarget}, failingController{}))
		require.NoError(t, f.Act(context.Background(), cranplatform.Action{ID: "r", Kind: cranplatform.ActionReboot, Instance: "a"}))
		time.Sleep(time.Minute)
		require.NoError(t, f.Lose("a"))
		for _, e := range f.Ledger() {
			require.Equal(t, InProgressUnknown, e.InProgressAtStop)
			require.NotZero(t, e.DoneMs)
		}
	})
}
