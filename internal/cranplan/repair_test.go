package cranplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const testPatience = 10 * time.Second

// addSpare brings an instance of the spare pool into service.
func (s *script) addSpare(id, domain string) {
	s.must(cranstate.InstancesObserved{Instances: []cranstate.Observation{{
		ID: id, Address: "127.0.0.1:1", Domain: domain, Pool: "spare", Phase: cranplatform.PhaseLive, Boots: 1, Slots: 1,
	}}})
	s.must(cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: id, Boots: 1, Healthy: true}}})
}

func (s *script) gone(id string) {
	s.must(cranstate.InstancesObserved{Instances: []cranstate.Observation{{ID: id, Phase: cranplatform.PhaseGone}}})
}

func TestRepairWaitsAndMovesOnce(t *testing.T) {
	s := fleet(t, 1, 4, 1)
	s.addSpare("x1", "rack0")
	s.addSpare("x2", "rack9")
	r := NewRepair(testPatience)
	now := time.Unix(0, 0)
	require.Empty(t, r.NextMoves(s.state, now))
	s.gone(worker(2))
	require.Empty(t, r.NextMoves(s.state, now), "it may be replaced where it was")
	require.Empty(t, r.NextMoves(s.state, now.Add(testPatience-1)))
	moves := r.NextMoves(s.state, now.Add(testPatience))
	require.Len(t, moves, 1)
	require.Equal(t, "x2", moves[0].Instance, "its rack has none of the pool")
	s.must(moves[0])
	require.Empty(t, r.NextMoves(s.state, now.Add(2*testPatience)), "the move is under way")
	require.False(t, s.send(moves[0]), "another holder's same proposal is refused")
}

func TestRepairLeavesAReplacedInstanceAlone(t *testing.T) {
	s := fleet(t, 1, 4, 1)
	s.addSpare("x1", "rack9")
	r := NewRepair(testPatience)
	now := time.Unix(0, 0)
	s.gone(worker(2))
	require.Empty(t, r.NextMoves(s.state, now))
	s.must(cranstate.InstancesObserved{Instances: []cranstate.Observation{s.observation(2, 2)}})
	require.Empty(t, r.NextMoves(s.state, now.Add(testPatience)))
	s.gone(worker(2))
	require.Empty(t, r.NextMoves(s.state, now.Add(testPatience)), "the wait begins anew")
}

// TestRepairNeverMovesMoreThanIsLacking draws losses, arrivals and moves and
// compares the proposals with plain counts.
func TestRepairNeverMovesMoreThanIsLacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleet(t, 2, 4, 2)
		spares := rapid.IntRange(0, 4).Draw(t, "spares")
		for i := range spares {
			s.addSpare(worker(100+i), "rack9")
		}
		r := NewRepair(testPatience)
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if i := rapid.IntRange(0, s.count()-1).Draw(t, "lost"); rapid.Bool().Draw(t, "lose") {
				s.gone(worker(i))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			moves := r.NextMoves(s.state, now)
			lacking := 0
			for p := range 2 {
				lacking += max(4-poolCount(s.state, pool(p)), 0)
			}
			require.LessOrEqual(t, len(moves), min(lacking, s.state.Available("spare")))
			for _, m := range moves {
				require.True(t, s.send(m), "the reducer takes what it proposes")
			}
		}
		r.NextMoves(s.state, now)
		moves := r.NextMoves(s.state, now.Add(testPatience))
		lacking := 0
		for p := range 2 {
			lacking += max(4-poolCount(s.state, pool(p)), 0)
		}
		require.Len(t, moves, min(lacking, s.state.Available("spare")), "nothing lacking is left while a spare serves")
	})
}

// poolCount counts the instances that a pool has or is about to get.
func poolCount(s *cranstate.State, name string) int {
	n := 0
	for _, in := range s.Instances() {
		st, moving := in.Stop()
		moving = moving && st.Kind() == cranstate.StopMove
		if (moving && st.Pool() == name) || (!moving && in.Pool() == name) {
			n++
		}
	}
	return n
}

func TestRepairSpreadsOverFailureDomains(t *testing.T) {
	s := fleet(t, 1, 4, 2)
	s.addSpare("x1", "rack9")
	s.addSpare("x2", "rack9")
	s.addSpare("x3", "rack8")
	s.gone(worker(0))
	s.gone(worker(1))
	r := NewRepair(0)
	moves := r.NextMoves(s.state, time.Unix(0, 0))
	require.Len(t, moves, 2)
	require.Equal(t, []string{"x1", "x3"}, []string{moves[0].Instance, moves[1].Instance})
}
