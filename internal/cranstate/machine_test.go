package cranstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// oracle restates the rules in the simplest way, from effects alone.
type oracle struct {
	*script
	// owed holds, for each stop, the members that were present at the cordon
	// and have not reported, left or been written off.
	owed map[uint64]map[string]bool
	// lastBeat holds when each member last renewed its lease, not counting
	// outages of the log.
	lastBeat map[string]int64
	// lastSeen holds when each writer's last fresh record came, likewise.
	lastSeen map[string]int64
	// lost is the platform's time spent in outages of the log.
	lost     int64
	pools    map[string]string
	revision uint64
	next     int
	halted   map[uint64]bool
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		script: newScript(t), owed: map[uint64]map[string]bool{}, lastBeat: map[string]int64{}, lastSeen: map[string]int64{},
		pools: map[string]string{}, halted: map[uint64]bool{},
	}
	o.do("op", ConfigPublished{Config: testConfig(t)})
	o.populate()
	return o
}

// populate starts with a fleet in service, so that short runs get deep.
func (o *oracle) populate() {
	for _, id := range []string{"e1", "e2"} {
		o.do(id, MemberJoined{Instance: id, Address: "127.0.0.1:1", LeaseMs: 4000})
	}
	o.next = 2
	for i, pool := range []string{"roster", "roster", "roster", "roster", "booking", "booking", "booking", "office"} {
		id := fmt.Sprintf("i%d", i)
		o.do("e1", InstancesObserved{Instances: []Observation{observed(id, pool, 1)}})
		o.do("e1", ProbesObserved{Probes: []Probe{{Instance: id, Boots: 1, Healthy: true}}})
	}
}

// do sends an event and checks every rule on its effects.
func (o *oracle) do(writer string, e Event) {
	before := map[string]Instance{}
	for _, in := range o.state.Instances() {
		copied := *in.in
		before[in.ID()] = Instance{in: &copied}
	}
	effects := o.send(writer, e)
	o.lastSeen[writer] = o.nowMs - o.lost
	accepted := false
	for _, f := range effects {
		if _, ok := f.(Accepted); ok {
			accepted = true
		}
	}
	if accepted {
		o.note(writer, e)
	}
	for _, f := range effects {
		o.check(f, before)
	}
	for id, old := range before {
		if in, ok := o.state.Instance(id); ok {
			require.GreaterOrEqual(o.t, in.Boots(), old.Boots(), "an older line of the list was taken in")
		}
	}
	for _, f := range effects {
		if m, ok := f.(MemberChanged); ok && m.Change == MemberWrittenOff {
			delete(o.lastBeat, m.Member)
		}
	}
	for _, w := range o.state.Waves() {
		require.False(o.t, w.Phase() == WavePhaseActive && w.Failures() > w.MaxFailures(), "wave goes on after too many failures")
	}
}

func (o *oracle) note(writer string, e Event) {
	switch e := e.(type) {
	case MemberJoined:
		o.lastBeat[writer] = o.nowMs - o.lost
	case Heartbeat:
		o.lastBeat[writer] = o.nowMs - o.lost
		for _, id := range e.Drained {
			delete(o.owed[id], writer)
		}
	case StopProposed:
		o.noteStop(e)
	case ConfigPublished:
		require.Equal(o.t, o.revision, e.Base, "a stale proposal replaced a newer configuration")
	}
}

func (o *oracle) noteStop(e StopProposed) {
	in, _ := o.state.Instance(e.Instance)
	require.False(o.t, o.halted[e.Wave], "a halted wave started a stop")
	require.GreaterOrEqual(o.t, o.available(in.Pool()), o.floor(in.Pool()), "stop accepted over the budget")
	st, ok := in.Stop()
	if !ok {
		return
	}
	o.owed[st.ID()] = map[string]bool{}
	for _, m := range o.state.Members() {
		o.owed[st.ID()][m.Incarnation()] = true
	}
}

func (o *oracle) check(f Effect, before map[string]Instance) {
	switch f := f.(type) {
	case BarrierPassed:
		require.Empty(o.t, o.owed[f.Stop], "barrier passed while members may have requests in progress")
		in, _ := o.state.Instance(f.Instance)
		require.True(o.t, !before[f.Instance].Healthy() || o.available(in.Pool()) >= o.floor(in.Pool()), "stopped a healthy instance over the budget")
	case MemberChanged:
		o.checkMember(f)
	case ConfigInForce:
		require.Greater(o.t, f.Revision, o.revision, "configuration reverted")
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
		silent := o.nowMs - o.lost - o.lastBeat[f.Member]
		require.Greater(o.t, silent, int64(2*4000+10_000), "written off while a request may be in progress")
		require.True(o.t, 2*o.live() > len(o.lastBeat), "a minority wrote off the majority")
	}
	if f.Change == MemberRemoved {
		delete(o.lastBeat, f.Member)
	}
	for _, members := range o.owed {
		delete(members, f.Member)
	}
}

// live counts the members whose lease holds.
func (o *oracle) live() int {
	n := 0
	for _, at := range o.lastBeat {
		if at+4000 >= o.nowMs-o.lost {
			n++
		}
	}
	return n
}

// checkPool lets an instance change its pool only when a move that drained
// it completes.
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
	require.True(o.t, ok && st.Kind() == StopMove && st.Pool() == f.Pool && before[f.Instance].Phase() == PhaseStopping, "pool changed without a move")
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

func (o *oracle) floor(pool string) int {
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
			o.next++
			id := fmt.Sprintf("e%d", o.next)
			o.do(id, MemberJoined{Instance: id, Address: "127.0.0.1:1", LeaseMs: 4000})
		},
		"beat": func(t *rapid.T) {
			hb := Heartbeat{}
			for _, id := range sortedKeys(o.owed) {
				if rapid.Bool().Draw(t, "drained") {
					hb.Drained = append(hb.Drained, id)
				}
			}
			o.do(o.member(t), hb)
		},
		"leave":  func(t *rapid.T) { o.do(o.member(t), MemberLeft{}) },
		"time":   func(t *rapid.T) { o.pass(rapid.Int64Range(0, 2500).Draw(t, "ms")) },
		"silent": func(t *rapid.T) { o.silence(t) },
		"outage": func(t *rapid.T) { o.pass(rapid.Int64Range(3001, 900_000).Draw(t, "ms")) },
		"publish": func(t *rapid.T) {
			base := rapid.SampledFrom([]uint64{0, 1, o.state.Revision()}).Draw(t, "base")
			o.do("op", ConfigPublished{Base: base, Config: testConfig(t)})
		},
		"list": func(t *rapid.T) {
			ob := observed(o.instance(t), pool.Draw(t, "pool"), 1)
			if in, ok := o.state.Instance(ob.ID); ok {
				ob.Boots = in.Boots() + rapid.IntRange(-1, 1).Draw(t, "boots")
			}
			ob.Phase = rapid.SampledFrom([]cranplatform.Phase{"live", "live", "live", "leaving", "gone"}).Draw(t, "phase")
			o.do(o.member(t), InstancesObserved{Instances: []Observation{ob}})
		},
		"probe": func(t *rapid.T) {
			id := o.instance(t)
			in, ok := o.state.Instance(id)
			if !ok {
				return
			}
			healthy := rapid.IntRange(0, 4).Draw(t, "healthy") > 0
			o.do(o.member(t), ProbesObserved{Probes: []Probe{{Instance: id, Boots: in.Boots(), Healthy: healthy}}})
		},
		"done": func(t *rapid.T) {
			list := o.state.PendingActions()
			if len(list) == 0 {
				return
			}
			o.do(o.member(t), ActionsObserved{Done: []string{rapid.SampledFrom(list).Draw(t, "action").ID}})
		},
		"stop": func(t *rapid.T) {
			kind := rapid.SampledFrom([]StopKind{StopReboot, StopMove}).Draw(t, "kind")
			e := StopProposed{Instance: o.instance(t), Kind: kind}
			if kind == StopMove {
				e.Pool = pool.Draw(t, "to")
			}
			o.do("op", e)
		},
		"cancel": func(t *rapid.T) { o.do("op", StopCancelled{Instance: o.instance(t)}) },
		"wave": func(t *rapid.T) {
			o.do("op", WaveProposed{Pools: []string{pool.Draw(t, "pool")}, MaxFailures: rapid.IntRange(0, 2).Draw(t, "failures")})
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
			o.do("op", StopProposed{Instance: id, Kind: StopReboot, Wave: w.ID()})
		},
		"waveResume": func(t *rapid.T) {
			waves := o.state.Waves()
			if len(waves) == 0 {
				return
			}
			o.do("op", WaveResumed{Wave: rapid.SampledFrom(waves).Draw(t, "wave").ID()})
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
				require.False(o.t, accepted && !o.forgotten(in.Writer), "a repeated record was applied twice")
			}
		},
	}
}

// forgotten reports whether a writer is no member and has been quiet, outages
// not counted, for as long as writers are remembered.
func (o *oracle) forgotten(writer string) bool {
	_, isMember := o.state.Member(writer)
	return !isMember && o.nowMs-o.lost-o.lastSeen[writer] > writerRetentionMs
}

// pass lets time go by; a long silence of every writer is an outage.
func (o *oracle) pass(ms int64) {
	if ms > outageGapMs {
		o.lost += ms
	}
	o.nowMs += ms
	o.do("op", StopCancelled{Instance: "none"})
}

// silence lets all but one member fall silent for a while.
func (o *oracle) silence(t *rapid.T) {
	speaker := o.member(t)
	for range rapid.IntRange(1, 30).Draw(t, "seconds") {
		o.pass(1000)
		o.do(speaker, Heartbeat{})
	}
}

func TestReducerKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(o.actions())
		checkReplay(t, o)
	})
}

// checkReplay applies the same records again, through a snapshot taken in the
// midst, and expects the same digest.
func checkReplay(t *rapid.T, o *oracle) {
	want, err := o.state.Digest()
	require.NoError(t, err)
	cut := rapid.IntRange(0, len(o.inputs)).Draw(t, "snapshot")
	twin := New()
	for i, in := range o.inputs {
		if i == cut {
			data, err := twin.Encode()
			require.NoError(t, err)
			whole, err := Decode(data)
			require.NoError(t, err)
			require.Equal(t, twin.Instances(), whole.Instances())
			require.Equal(t, twin, whole, "the snapshot lost something")
			twin = whole
		}
		_, err := twin.Apply(in)
		require.NoError(t, err)
	}
	got, err := twin.Digest()
	require.NoError(t, err)
	require.Equal(t, want, got)
}
