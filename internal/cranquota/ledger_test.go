package cranquota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const tenant = "t"

// world plays owners of shards that exchange records through one log.
type world struct {
	t      require.TestingT
	now    time.Duration
	caps   []cranjob.Resources
	log    []logged
	owners []*owner
	starts map[Unit]int
	rounds int
}

type logged struct {
	shard  int
	record Record
}

// owner is the owner of a shard; runs outlive it.
type owner struct {
	*Ledger
	read    int
	version int
	runs    []unitOf
	waiting []unitOf
	sending *Record
}

type unitOf struct {
	unit        Unit
	demand      cranjob.Resources
	gang        bool
	longRunning bool
	endsAt      time.Duration
}

func newWorld(t require.TestingT, shards int, limit cranjob.Resources) *world {
	w := &world{t: t, caps: []cranjob.Resources{limit}, starts: map[Unit]int{}}
	for range shards {
		w.owners = append(w.owners, &owner{})
	}
	for shard := range shards {
		w.takeOver(shard)
	}
	return w
}

// takeOver replaces the owner of a shard. What its predecessor has not stored is lost.
func (w *world) takeOver(shard int) {
	var own Record
	for _, e := range w.log {
		if e.shard == shard {
			own = Merge(own, e.record)
		}
	}
	o := w.owners[shard]
	o.Ledger, o.sending = New(shard, len(w.owners), own), nil
	o.apply(w, o.version)
	o.read = 0
	w.readAll(shard, len(w.log))
}

func (o *owner) apply(w *world, version int) {
	o.version = version
	o.SetCaps(int64(version+1), map[string]cranjob.Resources{tenant: w.caps[version]})
}

func (w *world) readAll(shard, through int) {
	o := w.owners[shard]
	for ; o.read < through; o.read++ {
		o.SetRecord(w.log[o.read].shard, w.log[o.read].record)
	}
}

// round places what fits in a shard.
func (w *world) round(shard int) {
	o := w.owners[shard]
	o.runs = slices.DeleteFunc(o.runs, func(r unitOf) bool { return r.endsAt <= w.now })
	o.Begin(w.now, w.now.Milliseconds(), func(count func(string, cranjob.Resources, bool)) {
		for _, r := range o.runs {
			count(tenant, r.demand, r.longRunning)
		}
	})
	var left []unitOf
	for _, u := range o.waiting {
		if !o.Allows(tenant, u.unit, u.demand, u.gang) {
			o.Wait(tenant, u.unit, u.demand, u.demand, u.gang)
			left = append(left, u)
			continue
		}
		o.Start(tenant, u.unit, u.demand, u.longRunning)
		u.endsAt += w.now
		o.runs = append(o.runs, u)
		w.starts[u.unit]++
		w.check(u)
	}
	o.waiting = left
	o.End(true)
}

// check fails if a start brings the tenant above the highest cap that may be in effect.
func (w *world) check(u unitOf) {
	var used, limit cranjob.Resources
	oldest := len(w.caps) - 1
	for _, o := range w.owners {
		oldest = min(oldest, o.version)
		for _, r := range o.runs {
			used = used.Add(r.demand)
		}
	}
	for _, c := range w.caps[oldest:] {
		if c.CPU == 0 {
			c.CPU = cranjob.MaxResource
		}
		limit = cranjob.Resources{CPU: max(limit.CPU, c.CPU), Memory: max(limit.Memory, c.Memory)}
	}
	check := func(used, demand, limit int) {
		if !u.gang && used == demand {
			// A task that alone exceeds the cap may run alone.
			return
		}
		// Each share is rounded up by a millionth.
		require.LessOrEqual(w.t, used, limit+limit*len(w.owners)/Whole)
	}
	check(used.CPU, u.demand.CPU, limit.CPU)
	check(used.Memory, u.demand.Memory, limit.Memory)
}

// send begins the append of a shard's record, and store completes it.
func (w *world) send(shard int) {
	o := w.owners[shard]
	if o.sending != nil {
		return
	}
	if r, changed := o.NextRecord(w.now); changed {
		require.NoError(w.t, r.Validate())
		o.sending = &r
	}
}

func (w *world) store(shard int) {
	if o := w.owners[shard]; o.sending != nil {
		w.log = append(w.log, logged{shard, *o.sending})
		o.sending = nil
	}
}

// checkShares fails if the shares that the owners count on exceed the whole.
func (w *world) checkShares() {
	sum := int64(0)
	for shard, o := range w.owners {
		sum += o.Share(shard, tenant)
	}
	require.LessOrEqual(w.t, sum, int64(Whole))
}

// run lets all owners work without faults.
func (w *world) run(d time.Duration) {
	for began := w.now; w.now < began+d; w.now += 50 * time.Millisecond {
		w.rounds++
		for shard := range w.owners {
			w.round(shard)
			w.send(shard)
			if w.rounds%4 == 0 {
				w.store(shard)
				w.readAll(shard, len(w.log))
			}
		}
	}
}

// TestCapsHoldUnderFaults guards against shares that sum to more than the whole, and starts beyond a cap, whatever
// is lost, delayed or changed, and against tasks that wait for ever once the faults are over.
func TestCapsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 4).Draw(t, "shards")
		drawCap := rapid.Custom(func(t *rapid.T) cranjob.Resources {
			return cranjob.Resources{CPU: rapid.IntRange(0, 12).Draw(t, "cpu") * 1000, Memory: rapid.IntRange(1, 7).Draw(t, "memory")}
		})
		w := newWorld(t, shards, drawCap.Draw(t, "cap"))
		units := 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				o := w.owners[rapid.IntRange(0, shards-1).Draw(t, "shard")]
				units++
				o.waiting = append(o.waiting, unitOf{
					unit: Unit{Job: fmt.Sprint(units)}, gang: rapid.Bool().Draw(t, "gang"),
					demand: cranjob.Resources{CPU: rapid.IntRange(0, 9000).Draw(t, "cpu"), Memory: rapid.IntRange(0, 5).Draw(t, "memory")},
					endsAt: time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond,
				})
			},
			"round": func(t *rapid.T) { w.round(rapid.IntRange(0, shards-1).Draw(t, "shard")) },
			"send":  func(t *rapid.T) { w.send(rapid.IntRange(0, shards-1).Draw(t, "shard")) },
			"store": func(t *rapid.T) { w.store(rapid.IntRange(0, shards-1).Draw(t, "shard")) },
			"read": func(t *rapid.T) {
				shard := rapid.IntRange(0, shards-1).Draw(t, "shard")
				w.readAll(shard, rapid.IntRange(w.owners[shard].read, len(w.log)).Draw(t, "through"))
			},
			"pass":      func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond },
			"take over": func(t *rapid.T) { w.takeOver(rapid.IntRange(0, shards-1).Draw(t, "shard")) },
			"change":    func(t *rapid.T) { w.caps = append(w.caps, drawCap.Draw(t, "cap")) },
			"apply": func(t *rapid.T) {
				o := w.owners[rapid.IntRange(0, shards-1).Draw(t, "shard")]
				o.apply(w, rapid.IntRange(o.version, len(w.caps)-1).Draw(t, "version"))
			},
			"": func(*rapid.T) { w.checkShares() },
		})
		w.caps = append(w.caps, cranjob.Resources{CPU: 3000, Memory: 3})
		for _, o := range w.owners {
			o.apply(w, len(w.caps)-1)
		}
		for range 200 {
			w.run(5 * time.Second)
			if !slices.ContainsFunc(w.owners, func(o *owner) bool {
				return slices.ContainsFunc(o.waiting, func(u unitOf) bool { return !u.gang || u.demand.CPU <= 3000 && u.demand.Memory <= 3 })
			}) {
				return
			}
		}
		t.Fatal("a unit that fits into the cap has not started")
	})
}

// TestBigUnitsOfTwoShardsStart guards against a stranded share: each of two shards has a gang that needs most of the
// cap, while small tasks take all that becomes free.
func TestBigUnitsOfTwoShardsStart(t *testing.T) {
	w := newWorld(t, 2, cranjob.Resources{CPU: 100})
	gangs := []Unit{{Job: "gang0"}, {Job: "gang1"}}
	for i := range 4000 {
		w.owners[i%2].waiting = append(w.owners[i%2].waiting, unitOf{unit: Unit{Job: fmt.Sprint(i)}, demand: cranjob.Resources{CPU: 10}, endsAt: 1500 * time.Millisecond})
	}
	w.run(5 * time.Second)
	for shard, gang := range gangs {
		o := w.owners[shard]
		o.waiting = slices.Insert(o.waiting, 0, unitOf{unit: gang, demand: cranjob.Resources{CPU: 90}, gang: true, endsAt: time.Second})
	}
	at := map[Unit]time.Duration{}
	for began := w.now; w.now < began+20*time.Second; {
		w.run(50 * time.Millisecond)
		for _, gang := range gangs {
			if w.starts[gang] > 0 && at[gang] == 0 {
				at[gang] = w.now - began
			}
		}
	}
	t.Log(at)
	require.Len(t, at, 2)
	require.Less(t, max(at[gangs[0]], at[gangs[1]]), 10*time.Second)
}

// TestUnusedShareIsGivenWithinTwoSeconds guards against a tenant that is kept to the share of the only shard that has
// work for it.
func TestUnusedShareIsGivenWithinTwoSeconds(t *testing.T) {
	w := newWorld(t, 2, cranjob.Resources{CPU: 100})
	w.run(2 * time.Second)
	for i := range 100 {
		w.owners[0].waiting = append(w.owners[0].waiting, unitOf{unit: Unit{Job: fmt.Sprint(i)}, demand: cranjob.Resources{CPU: 10}, endsAt: time.Hour})
	}
	w.run(2 * time.Second)
	require.GreaterOrEqual(t, len(w.owners[0].runs), 9)
	w.owners[1].waiting = w.owners[0].waiting[:1]
	w.run(20 * time.Second)
	require.LessOrEqual(t, len(w.owners[0].runs)+len(w.owners[1].runs), 10)
}

// TestSharesReturn guards against a shard that keeps most of a cap while both have work: a job there must not wait for
// much longer than its work.
func TestSharesReturn(t *testing.T) {
	w := newWorld(t, 2, cranjob.Resources{CPU: 100})
	for i := range 3000 {
		w.owners[0].waiting = append(w.owners[0].waiting, unitOf{unit: Unit{Job: fmt.Sprint(i)}, demand: cranjob.Resources{CPU: 10}, endsAt: time.Second})
	}
	w.run(5 * time.Second)
	require.GreaterOrEqual(t, len(w.owners[0].runs), 9)
	w.owners[1].waiting = slices.Clone(w.owners[0].waiting[2000:])
	w.owners[0].waiting = w.owners[0].waiting[:2000]
	w.run(3 * time.Second)
	require.GreaterOrEqual(t, len(w.owners[1].runs), 4)
	require.GreaterOrEqual(t, len(w.owners[0].runs), 4)
}

// TestLoweredCap guards against starts within a shard's share while another shard uses more than its own, since the cap
// was lowered: at once, once the owners know of each other, and if one of them has not seen the higher cap.
func TestLoweredCap(t *testing.T) {
	for _, versions := range []struct {
		first    int
		ofA, ofB []int
	}{{first: 100}, {first: 0}, {100, []int{1, 2}, []int{1, 3}}} {
		w := newWorld(t, 2, cranjob.Resources{CPU: versions.first})
		w.caps = []cranjob.Resources{{CPU: versions.first}, {CPU: 40}, {CPU: 100}, {CPU: 40}}
		w.run(time.Second)
		a, b := w.owners[0], w.owners[1]
		unit := func(job string, cpu int) unitOf {
			return unitOf{unit: Unit{Job: job}, demand: cranjob.Resources{CPU: cpu}, endsAt: 10 * time.Second}
		}
		for i, version := range versions.ofA {
			a.apply(w, version)
			if i < len(versions.ofB) {
				b.apply(w, versions.ofB[i])
			}
			w.run(time.Second)
		}
		a.waiting = []unitOf{unit("a", 45)}
		w.run(time.Second)
		require.Len(t, a.runs, 1)
		last := len(versions.ofA) + 1
		a.apply(w, last)
		b.apply(w, last)
		b.waiting = []unitOf{unit("b", 15)}
		w.send(0)
		w.round(1)
		require.Empty(t, b.runs, "the owners don't know of each other yet")
		w.run(3 * time.Second)
		require.Empty(t, b.runs, "more than the cap is in use")
		w.run(8 * time.Second)
		require.Len(t, b.runs, 1, "the other tasks have ended")
	}
}

// TestMergeTakesNoGiftBack guards against shares that rise again when an older record is read after a newer one.
func TestMergeTakesNoGiftBack(t *testing.T) {
	older := Record{Gifts: []Gift{{Tenant: tenant, To: 1, Total: 5}, {Tenant: "other", To: 1, Total: 7}}}
	newer := Record{Gifts: []Gift{{Tenant: tenant, To: 1, Total: 9}}}
	for _, r := range []Record{Merge(older, newer), Merge(newer, older)} {
		require.ElementsMatch(t, []Gift{{Tenant: tenant, To: 1, Total: 9}, {Tenant: "other", To: 1, Total: 7}}, r.Gifts)
	}
	require.Equal(t, int64(Whole/2-9), New(0, 2, Merge(newer, older)).Share(0, tenant))
}

// TestRemovedTenantKeepsItsCap guards against remaining jobs of a removed tenant that have no limit, also under a
// successor, and against records that keep such tenants for ever.
func TestRemovedTenantKeepsItsCap(t *testing.T) {
	none := func(func(string, cranjob.Resources, bool)) {}
	l := New(0, 2, Record{})
	l.SetCaps(1, map[string]cranjob.Resources{tenant: {CPU: 10}})
	l.SetCaps(2, nil)
	l.Begin(0, 0, none)
	r, changed := l.NextRecord(0)
	require.True(t, changed)
	successor := New(0, 2, r)
	successor.SetCaps(2, nil)
	successor.SetRecord(1, Record{Version: 2})
	successor.Begin(0, 0, none)
	require.True(t, successor.Allows(tenant, Unit{}, cranjob.Resources{CPU: 5}, false))
	require.False(t, successor.Allows(tenant, Unit{}, cranjob.Resources{CPU: 6}, false))
	successor.Forget(func(string) bool { return false })
	require.False(t, successor.Active())
}

// TestVersionsInQuickSuccessionDelayNothing guards against a pause of a tenant's starts with each version of the
// configuration: owners skip versions, and are never at the same one.
func TestVersionsInQuickSuccessionDelayNothing(t *testing.T) {
	w := newWorld(t, 3, cranjob.Resources{CPU: 90})
	w.caps = slices.Repeat(w.caps, 200)
	w.run(2 * time.Second)
	for i := range 100 {
		o := w.owners[i%3]
		o.apply(w, i+i%2)
		o.waiting = append(o.waiting, unitOf{unit: Unit{Job: fmt.Sprint(i)}, demand: cranjob.Resources{CPU: 30}, endsAt: 50 * time.Millisecond})
		w.run(100 * time.Millisecond)
		require.Empty(t, o.waiting)
	}
}
