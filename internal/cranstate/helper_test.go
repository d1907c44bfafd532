package cranstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranseed"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// TestMain fixes the seed of the stateful tests.
func TestMain(m *testing.M) { cranseed.Run(m, cranseed.Steps("100")) }

// script feeds a state with records as a log would.
type script struct {
	t     require.TestingT
	state *State
	nowMs int64
	seqs  map[string]uint64
	// inputs is every record so far.
	inputs []Input
}

func newScript(t require.TestingT) *script {
	return &script{t: t, state: New(), nowMs: 1_000_000, seqs: map[string]uint64{}}
}

func (s *script) apply(in Input) []Effect {
	s.inputs = append(s.inputs, in)
	effects, err := s.state.Apply(in)
	require.NoError(s.t, err)
	return effects
}

// send appends one event of a writer and returns its effects.
func (s *script) send(writer string, e Event) []Effect {
	body, err := EncodeEvent(e)
	require.NoError(s.t, err)
	s.seqs[writer]++
	return s.apply(Input{
		Offset: s.state.Next(), TimeMs: s.nowMs, Writer: writer, Seq: s.seqs[writer], Body: body,
	})
}

// must sends an event that has to be accepted.
func (s *script) must(writer string, e Event) {
	for _, f := range s.send(writer, e) {
		if r, ok := f.(Refused); ok {
			require.Fail(s.t, "refused", "%T: %v", e, r.Fault)
		}
	}
}

// refused sends an event that has to be refused and returns the kind.
func (s *script) refused(writer string, e Event) cranfault.Kind {
	for _, f := range s.send(writer, e) {
		if r, ok := f.(Refused); ok {
			return r.Fault.Kind()
		}
	}
	require.Fail(s.t, "accepted", "%T", e)
	return ""
}

func testConfig(t require.TestingT) []byte {
	c, err := cranfleet.New("test",
		cranfleet.WithPool("roster", 4),
		cranfleet.WithPool("booking", 3),
		cranfleet.WithSpare("office"),
		cranfleet.WithService("rosters", "roster", cranfleet.MaxUnavailable(2)),
		cranfleet.WithService("bookings", "booking"))
	require.NoError(t, err)
	return c.Encode()
}

func observed(id, pool string, boots int) Observation {
	return Observation{
		ID: id, Address: "127.0.0.1:1", Domain: "rack1", DataCentre: "dc1", Pool: pool,
		Phase: cranplatform.PhaseLive, Boots: boots, Slots: 8, Connections: 64,
	}
}

// serving brings up two members and a fleet in service.
func serving(t require.TestingT) *script {
	s := newScript(t)
	s.must("e1-a", MemberJoined{Instance: "e1", Address: "127.0.0.1:71", DataCentre: "dc1", LeaseMs: 4000})
	s.must("e2-a", MemberJoined{Instance: "e2", Address: "127.0.0.1:72", DataCentre: "dc1", LeaseMs: 4000})
	s.must("op", ConfigPublished{Config: testConfig(t)})
	var list []Observation
	var probes []Probe
	for _, in := range []struct{ id, pool string }{
		{"r1", "roster"},
		{"r2", "roster"},
		{"r3", "roster"},
		{"r4", "roster"},
		{"b1", "booking"},
		{"b2", "booking"},
		{"b3", "booking"},
		{"o1", "office"},
	} {
		list = append(list, observed(in.id, in.pool, 1))
		probes = append(probes, Probe{Instance: in.id, Boots: 1, Healthy: true})
	}
	s.must("e1-a", InstancesObserved{Instances: list})
	s.must("e1-a", ProbesObserved{Probes: probes})
	return s
}

func (s *script) phase(id string) Phase {
	in, ok := s.state.Instance(id)
	require.True(s.t, ok)
	return in.Phase()
}

// beat sends a heartbeat of a member that has nothing in progress.
func (s *script) beat(writer string) {
	hb := Heartbeat{Revision: s.state.Revision()}
	for _, in := range s.state.Instances() {
		if st, ok := in.Stop(); ok {
			hb.Drained = append(hb.Drained, st.ID())
		}
	}
	s.must(writer, hb)
}
