package cranplan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranseed"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// TestMain runs the tests with a fixed seed and up to 60 actions in each stateful test.
func TestMain(m *testing.M) { cranseed.Run(m, cranseed.Steps("60")) }

const writer = "e1-a"

// fixture holds a control state and applies events to it, as if they came from the
// log.
type fixture struct {
	t     require.TestingT
	state *cranstate.State
	seq   uint64
	pools int
	size  int
}

// send appends one event and reports whether it was accepted.
func (s *fixture) send(e cranstate.Event) bool {
	body, err := cranstate.EncodeEvent(e)
	require.NoError(s.t, err)
	s.seq++
	effects, err := s.state.Apply(cranstate.Input{
		Offset: s.state.Next(), TimeMs: 1000 + int64(s.seq), Writer: writer, Seq: s.seq, Body: body,
	})
	require.NoError(s.t, err)
	for _, f := range effects {
		if _, ok := f.(cranstate.Refused); ok {
			return false
		}
	}
	return true
}

func (s *fixture) mustSend(e cranstate.Event) { require.True(s.t, s.send(e), "%T refused", e) }

func pool(p int) string       { return fmt.Sprintf("p%03d", p) }
func worker(i int) string     { return fmt.Sprintf("w%05d", i) }
func (s *fixture) count() int { return s.pools * s.size }

func (s *fixture) observation(i, boots int) cranstate.Observation {
	return cranstate.Observation{
		ID: worker(i), Address: "127.0.0.1:1", Domain: fmt.Sprintf("rack%d", i/4), DataCentre: "dc1",
		Pool: pool(i / s.size), Phase: cranplatform.PhaseLive, Boots: boots, Slots: 1, Connections: 1,
	}
}

// newFleet returns a fixture with pools of the same size whose instances are all
// available. There are four instances on each rack.
func newFleet(t require.TestingT, pools, size, maxUnavailable int) *fixture {
	s := &fixture{t: t, state: cranstate.New(), pools: pools, size: size}
	options := []cranfleet.Option{cranfleet.WithSpare("spare")}
	for p := range pools {
		options = append(options, cranfleet.WithPool(pool(p), size),
			cranfleet.WithService("s"+pool(p), pool(p), cranfleet.MaxUnavailable(maxUnavailable)))
	}
	config, err := cranfleet.New("test", options...)
	require.NoError(t, err)
	s.mustSend(cranstate.MemberJoined{Instance: "e1", Address: "127.0.0.1:71", DataCentre: "dc1", LeaseMs: 4000})
	s.mustSend(cranstate.ConfigPublished{Config: config.Encode()})
	for i := range s.count() {
		s.mustSend(cranstate.InstancesObserved{Instances: []cranstate.Observation{s.observation(i, 1)}})
		s.probe(i, true)
	}
	return s
}

func (s *fixture) probe(i int, healthy bool) {
	in, _ := s.state.Instance(worker(i))
	s.mustSend(cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: worker(i), Boots: in.Boots(), Healthy: healthy}}})
}

// completeDrains reports all instances with a stop as drained.
func (s *fixture) completeDrains() {
	hb := cranstate.Heartbeat{Revision: s.state.Revision()}
	for _, in := range s.state.InstancesWithStop() {
		stop, _ := in.Stop()
		hb.Drained = append(hb.Drained, stop.ID())
	}
	s.mustSend(hb)
}

// completeActions completes every pending action of the platform and reports each
// instance as rebooted.
func (s *fixture) completeActions() {
	for _, a := range s.state.PendingActions() {
		s.mustSend(cranstate.ActionsObserved{Done: []string{a.ID}})
		in, _ := s.state.Instance(a.Instance)
		var i int
		_, err := fmt.Sscanf(a.Instance, "w%d", &i)
		require.NoError(s.t, err)
		s.mustSend(cranstate.InstancesObserved{Instances: []cranstate.Observation{s.observation(i, in.Boots()+1)}})
	}
}
