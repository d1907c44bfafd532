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

// TestMain fixes the seed of the stateful tests.
func TestMain(m *testing.M) { cranseed.Run(m, cranseed.Steps("60")) }

const member = "e1-a"

// script feeds a state with records as a log would.
type script struct {
	t     require.TestingT
	state *cranstate.State
	seq   uint64
	pools int
	size  int
}

// send appends one event and reports whether it was accepted.
func (s *script) send(e cranstate.Event) bool {
	body, err := cranstate.EncodeEvent(e)
	require.NoError(s.t, err)
	s.seq++
	effects, err := s.state.Apply(cranstate.Input{
		Offset: s.state.Next(), TimeMs: 1000 + int64(s.seq), Writer: member, Seq: s.seq, Body: body,
	})
	require.NoError(s.t, err)
	for _, f := range effects {
		if _, ok := f.(cranstate.Refused); ok {
			return false
		}
	}
	return true
}

func (s *script) must(e cranstate.Event) { require.True(s.t, s.send(e), "%T refused", e) }

func pool(p int) string      { return fmt.Sprintf("p%03d", p) }
func worker(i int) string    { return fmt.Sprintf("w%05d", i) }
func (s *script) count() int { return s.pools * s.size }

func (s *script) observation(i, boots int) cranstate.Observation {
	return cranstate.Observation{
		ID: worker(i), Address: "127.0.0.1:1", Domain: fmt.Sprintf("rack%d", i/4), DataCentre: "dc1",
		Pool: pool(i / s.size), Phase: cranplatform.PhaseLive, Boots: boots, Slots: 1, Connections: 1,
	}
}

// fleet brings pools of one size into service, racks of four.
func fleet(t require.TestingT, pools, size, maxUnavailable int) *script {
	s := &script{t: t, state: cranstate.New(), pools: pools, size: size}
	options := []cranfleet.Option{cranfleet.WithSpare("spare")}
	for p := range pools {
		options = append(options, cranfleet.WithPool(pool(p), size),
			cranfleet.WithService("s"+pool(p), pool(p), cranfleet.MaxUnavailable(maxUnavailable)))
	}
	config, err := cranfleet.New("test", options...)
	require.NoError(t, err)
	s.must(cranstate.MemberJoined{Instance: "e1", Address: "127.0.0.1:71", DataCentre: "dc1", LeaseMs: 4000})
	s.must(cranstate.ConfigPublished{Config: config.Encode()})
	for i := range s.count() {
		s.must(cranstate.InstancesObserved{Instances: []cranstate.Observation{s.observation(i, 1)}})
		s.probe(i, true)
	}
	return s
}

func (s *script) probe(i int, healthy bool) {
	in, _ := s.state.Instance(worker(i))
	s.must(cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: worker(i), Boots: in.Boots(), Healthy: healthy}}})
}

// drain lets every barrier pass.
func (s *script) drain() {
	hb := cranstate.Heartbeat{Revision: s.state.Revision()}
	for _, in := range s.state.InstancesWithStop() {
		stop, _ := in.Stop()
		hb.Drained = append(hb.Drained, stop.ID())
	}
	s.must(hb)
}

// reboot completes every action of the platform.
func (s *script) reboot() {
	for _, a := range s.state.PendingActions() {
		s.must(cranstate.ActionsObserved{Done: []string{a.ID}})
		in, _ := s.state.Instance(a.Instance)
		var i int
		_, err := fmt.Sscanf(a.Instance, "w%d", &i)
		require.NoError(s.t, err)
		s.must(cranstate.InstancesObserved{Instances: []cranstate.Observation{s.observation(i, in.Boots()+1)}})
	}
}
