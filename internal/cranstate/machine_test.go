package cranstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// oracle checks the invariants of the reducer with a simple model that it builds
// from events and effects.
type oracle struct {
	*script
	// undrained holds, by stop id, the members that were present at the cordon
	// and have not reported the instance as drained, left or been written off.
	undrained map[uint64]map[string]bool
	// lastRenewal holds when each member last renewed its lease, on a clock that
	// stands still during outages of the log.
	lastRenewal map[string]int64
	// lastSeen holds the time of each writer's last new record, on the same
	// clock.
	lastSeen map[string]int64
	// outageMs is the total length of the outages of the log.
	outageMs int64
	pools    map[string]string
	revision uint64
	// lastEntry is the number of the last entry instance that joined.
	lastEntry int
	// halted holds the waves that are halted, by id.
	halted map[uint64]bool
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		script: newScript(t), undrained: map[uint64]map[string]bool{}, lastRenewal: map[string]int64{}, lastSeen: map[string]int64{},
		pools: map[string]string{}, halted: map[uint64]bool{},
	}
	o.sendChecked("op", ConfigPublished{Config: testConfig(t)})
	o.populate()
	return o
}

// populate sets up members and serving instances, so that short runs already
// reach stops and waves.
func (o *oracle) populate() {
	for _, id := range []string{"e1", "e2"} {
		o.sendChecked(id, MemberJoined{Instance: id, Address: "127.0.0.1:1", LeaseMs: 4000})
	}
	o.lastEntry = 2
	for i, pool := range []string{"roster", "roster", "roster", "roster", "booking", "booking", "booking", "office"} {
		id := fmt.Sprintf("i%d", i)
		o.sendChecked("e1", InstancesObserved{Instances: []Observation{observed(id, pool, 1)}})
		o.sendChecked("e1", ProbesObserved{Probes: []Probe{{Instance: id, Boots: 1, Healthy: true}}})
	}
}

// sendChecked sends an event and checks every invariant on its effects.
func (o *oracle) sendChecked(writer string, e Event) {
	before := map[string]Instance{}
	for _, in := range o.state.Instances() {
		copied := *in.in
		before[in.ID()] = Instance{in: &copied}
	}
	effects := o.send(writer, e)
	o.lastSeen[writer] = o.nowMs - o.outageMs
	accepted := false
	for _, f := range effects {
		if _, ok := f.(Accepted); ok {
			accepted = true
		}
	}
	if accepted {
		o.recordAccepted(writer, e)
	}
	for _, f := range effects {
		o.checkEffect(f, before)
	}
	for id, old := range before {
		if in, ok := o.state.Instance(id); ok {
			require.GreaterOrEqual(o.t, in.Boots(), old.Boots(), "an outdated entry of the platform's list was applied")
		}
	}
	for _, f := range effects {
		if m, ok := f.(MemberChanged); ok && m.Change == MemberWrittenOff {
			delete(o.lastRenewal, m.Member)
		}
	}
	for _, w := range o.state.Waves() {
		require.False(o.t, w.Phase() == WavePhaseActive && w.Failures() > w.MaxFailures(), "a wave stayed active after too many failures")
	}
}

func (o *oracle) recordAccepted(writer string, e Event) {
	switch e := e.(type) {
	case MemberJoined:
		o.lastRenewal[writer] = o.nowMs - o.outageMs
	case Heartbeat:
		o.lastRenewal[writer] = o.nowMs - o.outageMs
		for _, id := range e.Drained {
			delete(o.undrained[id], writer)
		}
	case StopProposed:
		o.recordStop(e)
	case ConfigPublished:
		require.Equal(o.t, o.revision, e.Base, "a stale proposal replaced a newer configuration")
	}
}

func (o *oracle) recordStop(e StopProposed) {
	in, _ := o.state.Instance(e.Instance)
	require.False(o.t, o.halted[e.Wave], "a halted wave started a stop")
	require.GreaterOrEqual(o.t, o.available(in.Pool()), o.minAvailable(in.Pool()), "a stop beyond the budget was accepted")
	st, ok := in.Stop()
	if !ok {
		return
	}
	o.undrained[st.ID()] = map[string]bool{}
	for _, m := range o.state.Members() {
		o.undrained[st.ID()][m.Incarnation()] = true
	}
}

func (o *oracle) checkEffect(f Effect, before map[string]Instance) {
	switch f := f.(type) {
	case BarrierPassed:
		require.Empty(o.t, o.undrained[f.Stop], "the drain barrier passed while members may have requests in progress")
		in, _ := o.state.Instance(f.Instance)
		require.True(o.t, !before[f.Instance].Healthy() || o.available(in.Pool()) >= o.minAvailable(in.Pool()), "a healthy instance was stopped beyond the budget")
	case MemberChanged:
		o.checkMember(f)
	case ConfigInForce:
		require.Greater(o.t, f.Revision, o.revision, "the configuration revision decreased")
		o.revision = f.Revision
	case InstanceChanged:
		o.checkPool(f, before)
	case WaveChanged:
		o.halted[f.Wave] = f.Phase == WavePhaseHalted
	}
}

func (o *oracle) checkMember(f MemberChanged) {
	if f.Change == MemberAdded {
		return
	}
	if f.Change == MemberWrittenOff {
		sinceRenewal := o.nowMs - o.outageMs - o.lastRenewal[f.Member]
		require.Greater(o.t, sinceRenewal, int64(2*4000+10_000), "a member was written off while its requests may be in progress")
		require.True(o.t, 2*o.live() > len(o.lastRenewal), "a minority wrote off the majority")
	}
	if f.Change == MemberRemoved {
		delete(o.lastRenewal, f.Member)
	}
	for _, members := range o.undrained {
		delete(members, f.Member)
	}
}

// live returns how many members have a valid lease.
func (o *oracle) live() int {
	n := 0
	for _, at := range o.lastRenewal {
		if at+4000 >= o.nowMs-o.outageMs {
			n++
		}
	}
	return n
}

// checkPool requires that an instance changes its pool only when a move for which
// it was drained completes.
func (o *oracle) checkPool(f InstanceChanged, before map[string]Instance) {
	old, known := o.pools[f.Instance]
	o.pools[f.Instance] = f.Pool
	if f.To == PhaseGone {
		delete(o.pools, f.Instance)
	}
	if !known || old == f.Pool {
		return
	}
	st, ok := before[f.Instance].Stop()
	require.True(o.t, ok && st.Kind() == StopMove && st.Pool() == f.Pool && before[f.Instance].Phase() == PhaseStopping, "an instance changed its pool without a move")
}

func (o *oracle) available(pool string) int {
	n := 0
	for _, in := range o.state.Instances() {
		if in.Pool() == pool && in.Phase() == PhaseServing && in.Healthy() {
			n++
		}
	}
	return n
}

func (o *oracle) minAvailable(pool string) int {
	return map[string]int{"roster": 2, "booking": 2}[pool]
}

func (o *oracle) member(t *rapid.T) string {
	list := o.state.Members()
	if len(list) == 0 || rapid.IntRange(0, 19).Draw(t, "stranger") == 0 {
		return "stranger"
	}
	return rapid.SampledFrom(list).Draw(t, "member").Incarnation()
}

func (o *oracle) instance(t *rapid.T) string {
	return rapid.SampledFrom([]string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"}).Draw(t, "instance")
}

func (o *oracle) actions() map[string]func(*rapid.T) {
	pool := rapid.SampledFrom([]string{"roster", "booking", "office", "none"})
	return map[string]func(*rapid.T){
		"join": func(*rapid.T) {
			if len(o.state.Members()) >= 5 {
				return
			}
			o.lastEntry++
			id := fmt.Sprintf("e%d", o.lastEntry)
			o.sendChecked(id, MemberJoined{Instance: id, Address: "127.0.0.1:1", LeaseMs: 4000})
		},
		"beat": func(t *rapid.T) {
			hb := Heartbeat{}
			for _, id := range sortedKeys(o.undrained) {
				if rapid.Bool().Draw(t, "drained") {
					hb.Drained = append(hb.Drained, id)
				}
			}
			o.sendChecked(o.member(t), hb)
		},
		"leave":  func(t *rapid.T) { o.sendChecked(o.member(t), MemberLeft{}) },
		"time":   func(t *rapid.T) { o.advanceTime(rapid.Int64Range(0, 2500).Draw(t, "ms")) },
		"silent": func(t *rapid.T) { o.silenceOthers(t) },
		"outage": func(t *rapid.T) { o.advanceTime(rapid.Int64Range(3001, 900_000).Draw(t, "ms")) },
		"publish": func(t *rapid.T) {
			base := rapid.SampledFrom([]uint64{0, 1, o.state.Revision()}).Draw(t, "base")
			o.sendChecked("op", ConfigPublished{Base: base, Config: testConfig(t)})
		},
		"list": func(t *rapid.T) {
			ob := observed(o.instance(t), pool.Draw(t, "pool"), 1)
			if in, ok := o.state.Instance(ob.ID); ok {
				ob.Boots = in.Boots() + rapid.IntRange(-1, 1).Draw(t, "boots")
			}
			ob.Phase = rapid.SampledFrom([]cranplatform.Phase{"live", "live", "live", "leaving", "gone"}).Draw(t, "phase")
			o.sendChecked(o.member(t), InstancesObserved{Instances: []Observation{ob}})
		},
		"probe": func(t *rapid.T) {
			id := o.instance(t)
			in, ok := o.state.Instance(id)
			if !ok {
				return
			}
			healthy := rapid.IntRange(0, 4).Draw(t, "healthy") > 0
			o.sendChecked(o.member(t), ProbesObserved{Probes: []Probe{{Instance: id, Boots: in.Boots(), Healthy: healthy}}})
		},
		"done": func(t *rapid.T) {
			list := o.state.PendingActions()
			if len(list) == 0 {
				return
			}
			o.sendChecked(o.member(t), ActionsObserved{Done: []string{rapid.SampledFrom(list).Draw(t, "action").ID}})
		},
		"stop": func(t *rapid.T) {
			kind := rapid.SampledFrom([]StopKind{StopReboot, StopMove}).Draw(t, "kind")
			e := StopProposed{Instance: o.instance(t), Kind: kind}
			if kind == StopMove {
				e.Pool = pool.Draw(t, "to")
			}
			o.sendChecked("op", e)
		},
		"cancel": func(t *rapid.T) { o.sendChecked("op", StopCancelled{Instance: o.instance(t)}) },
		"wave": func(t *rapid.T) {
			o.sendChecked("op", WaveProposed{Pools: []string{pool.Draw(t, "pool")}, MaxFailures: rapid.IntRange(0, 2).Draw(t, "failures")})
		},
		"waveStop": func(t *rapid.T) {
			waves := o.state.Waves()
			if len(waves) == 0 {
				return
			}
			w := rapid.SampledFrom(waves).Draw(t, "wave")
			id := o.instance(t)
			if list := w.Pending(); len(list) > 0 {
				id = rapid.SampledFrom(list).Draw(t, "pending")
			}
			o.sendChecked("op", StopProposed{Instance: id, Kind: StopReboot, Wave: w.ID()})
		},
		"waveResume": func(t *rapid.T) {
			waves := o.state.Waves()
			if len(waves) == 0 {
				return
			}
			o.sendChecked("op", WaveResumed{Wave: rapid.SampledFrom(waves).Draw(t, "wave").ID()})
		},
		"malformed": func(t *rapid.T) {
			body := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "body")
			o.apply(Input{Offset: o.state.Next(), TimeMs: o.nowMs, Writer: "bad", Seq: uint64(len(o.inputs)) + 1, Body: body})
		},
		"repeat": func(t *rapid.T) {
			in := rapid.SampledFrom(o.inputs).Draw(t, "record")
			in.Offset, in.TimeMs = o.state.Next(), o.nowMs
			for _, f := range o.apply(in) {
				_, accepted := f.(Accepted)
				require.False(o.t, accepted && !o.mayBePruned(in.Writer), "a repeated record was applied twice")
			}
		},
	}
}

// mayBePruned reports whether the high-water mark of a writer may have been
// removed: the writer is not a member and has not written for the retention
// time, not counting outages of the log.
func (o *oracle) mayBePruned(writer string) bool {
	_, isMember := o.state.Member(writer)
	return !isMember && o.nowMs-o.outageMs-o.lastSeen[writer] > writerRetentionMs
}

// advanceTime advances the time and then sends an event that is refused. A gap
// above outageGapMs counts as an outage of the log.
func (o *oracle) advanceTime(ms int64) {
	if ms > outageGapMs {
		o.outageMs += ms
	}
	o.nowMs += ms
	o.sendChecked("op", StopCancelled{Instance: "none"})
}

// silenceOthers lets one member send heartbeats for a while and all others none.
func (o *oracle) silenceOthers(t *rapid.T) {
	writer := o.member(t)
	for range rapid.IntRange(1, 30).Draw(t, "seconds") {
		o.advanceTime(1000)
		o.sendChecked(writer, Heartbeat{})
	}
}

func TestReducerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(o.actions())
		checkReplay(t, o)
	})
}

// checkReplay applies the same records to a new state, encodes and decodes a
// snapshot at a random record, and expects the same digest at the end.
func checkReplay(t *rapid.T, o *oracle) {
	want, err := o.state.Digest()
	require.NoError(t, err)
	snapshotAt := rapid.IntRange(0, len(o.inputs)).Draw(t, "snapshot")
	replica := New()
	for i, in := range o.inputs {
		if i == snapshotAt {
			data, err := replica.Encode()
			require.NoError(t, err)
			restored, err := Decode(data)
			require.NoError(t, err)
			require.Equal(t, replica.Instances(), restored.Instances())
			require.Equal(t, replica, restored, "the decoded snapshot differs from the state")
			replica = restored
		}
		_, err := replica.Apply(in)
		require.NoError(t, err)
	}
	got, err := replica.Digest()
	require.NoError(t, err)
	require.Equal(t, want, got)
}
