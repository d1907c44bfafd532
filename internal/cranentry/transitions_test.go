package cranentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// applyEvents returns the state after events, each a record of the writer. No
// event may be refused.
func applyEvents(t *testing.T, writer string, events ...cranstate.Event) *cranstate.State {
	s := cranstate.New()
	for i, e := range events {
		body, err := cranstate.EncodeEvent(e)
		require.NoError(t, err)
		n := uint64(i)
		effects, err := s.Apply(cranstate.Input{Offset: n, TimeMs: 1000, Writer: writer, Seq: n + 1, Body: body})
		require.NoError(t, err)
		for _, f := range effects {
			_, refused := f.(cranstate.Refused)
			require.False(t, refused, "%T: %v", e, f)
		}
	}
	return s
}

// TestCatchUp starts reporting while a move is in progress and a wave is halted,
// and checks that the ends of both are reported as such.
func TestCatchUp(t *testing.T) {
	config, err := cranfleet.New("test", cranfleet.WithPool("blue", 1), cranfleet.WithSpare("red"))
	require.NoError(t, err)
	live := func(id, pool string) cranstate.Observation {
		return cranstate.Observation{ID: id, Address: "127.0.0.1:1", Pool: pool, Phase: cranplatform.PhaseLive, Boots: 1, Slots: 1, Connections: 1}
	}
	probe := func(id string, healthy bool) cranstate.Probe {
		return cranstate.Probe{Instance: id, Boots: 1, Healthy: healthy}
	}
	s := applyEvents(t, "e2-1",
		cranstate.MemberJoined{Instance: "e2", Address: "127.0.0.1:72", LeaseMs: 4000},
		cranstate.ConfigPublished{Config: config.Encode()},
		cranstate.InstancesObserved{Instances: []cranstate.Observation{live("a", "red"), live("b", "blue"), live("c", "blue")}},
		cranstate.ProbesObserved{Probes: []cranstate.Probe{probe("a", true), probe("b", true), probe("c", true)}},
		cranstate.StopProposed{Instance: "a", Kind: cranstate.StopMove, Pool: "blue"},
		cranstate.WaveProposed{Pools: []string{"blue"}},
		cranstate.ProbesObserved{Probes: []cranstate.Probe{probe("b", false)}},
	)
	require.Equal(t, cranstate.WavePhaseHalted, s.Waves()[0].Phase())
	g := newTestReporter(t)
	g.onCaughtUp(s)
	require.Equal(t, []string{"moveDone"}, g.reportChange(cranstate.PhaseStopping, cranstate.PhaseReturning, "blue", "stopped"))
	wave := cranstate.WaveChanged{Wave: s.Waves()[0].ID(), Phase: cranstate.WavePhaseActive}
	require.Equal(t, []string{"waveResumed"}, g.report("e2-1", wave))
}
