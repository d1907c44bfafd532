package cranstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranseed"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// TestMain fixes the seed of the stateful property tests.
func TestMain(m *testing.M) { cranseed.Run(m, cranseed.Steps("100")) }

// script applies events to a state as records of a log, at a time that the test
// sets.
type script struct {
	t     require.TestingT
	state *State
	nowMs int64
	seqs  map[string]uint64
	// inputs holds every record applied so far.
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

// send applies an event of a writer as the next record and returns its effects.
func (s *script) send(writer string, e Event) []Effect {
	body, err := EncodeEvent(e)
	require.NoError(s.t, err)
	s.seqs[writer]++
	return s.apply(Input{
		Offset: s.state.Next(), TimeMs: s.nowMs, Writer: writer, Seq: s.seqs[writer], Body: body,
	})
}

// mustAccept sends an event and requires that it is accepted.
func (s *script) mustAccept(writer string, e Event) {
	for _, f := range s.send(writer, e) {
		if r, ok := f.(Refused); ok {
			require.Fail(s.t, "event refused", "%T: %v", e, r.Fault)
		}
	}
}

// mustRefuse sends an event, requires that it is refused, and returns the kind of
// the fault.
func (s *script) mustRefuse(writer string, e Event) cranfault.Kind {
	for _, f := range s.send(writer, e) {
		if r, ok := f.(Refused); ok {
			return r.Fault.Kind()
		}
	}
	require.Fail(s.t, "event accepted", "%T", e)
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

// newServingFleet returns a script with two members and a fleet whose instances
// are all serving.
func newServingFleet(t require.TestingT) *script {
	s := newScript(t)
	s.mustAccept("e1-a", MemberJoined{Instance: "e1", Address: "127.0.0.1:71", DataCentre: "dc1", LeaseMs: 4000})
	s.mustAccept("e2-a", MemberJoined{Instance: "e2", Address: "127.0.0.1:72", DataCentre: "dc1", LeaseMs: 4000})
	s.mustAccept("op", ConfigPublished{Config: testConfig(t)})
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
	s.mustAccept("e1-a", InstancesObserved{Instances: list})
	s.mustAccept("e1-a", ProbesObserved{Probes: probes})
	return s
}

func (s *script) phase(id string) Phase {
	in, ok := s.state.Instance(id)
	require.True(s.t, ok)
	return in.Phase()
}

// heartbeat sends a heartbeat of a member that has no request in progress on any
// instance.
func (s *script) heartbeat(writer string) {
	hb := Heartbeat{Revision: s.state.Revision()}
	for _, in := range s.state.Instances() {
		if st, ok := in.Stop(); ok {
			hb.Drained = append(hb.Drained, st.ID())
		}
	}
	s.mustAccept(writer, hb)
}
