package cranplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const testDelay = 10 * time.Second

// addSpare adds an available instance to the spare pool.
func (s *fixture) addSpare(id, domain string) {
	s.mustSend(cranstate.InstancesObserved{Instances: []cranstate.Observation{{
		ID: id, Address: "127.0.0.1:1", Domain: domain, Pool: "spare", Phase: cranplatform.PhaseLive, Boots: 1, Slots: 1,
	}}})
	s.mustSend(cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: id, Boots: 1, Healthy: true}}})
}

func (s *fixture) removeInstance(id string) {
	s.mustSend(cranstate.InstancesObserved{Instances: []cranstate.Observation{{ID: id, Phase: cranplatform.PhaseGone}}})
}

func TestRepairProposesOneMoveAfterDelay(t *testing.T) {
	s := newFleet(t, 1, 4, 1)
	s.addSpare("x1", "rack0")
	s.addSpare("x2", "rack9")
	r := NewRepair(testDelay)
	now := time.Unix(0, 0)
	require.Empty(t, r.NextMoves(s.state, now))
	s.removeInstance(worker(2))
	require.Empty(t, r.NextMoves(s.state, now), "the platform may still replace the instance in its pool")
	require.Empty(t, r.NextMoves(s.state, now.Add(testDelay-1)))
	moves := r.NextMoves(s.state, now.Add(testDelay))
	require.Len(t, moves, 1)
	require.Equal(t, "x2", moves[0].Instance, "its rack has no instance of the pool")
	s.mustSend(moves[0])
	require.Empty(t, r.NextMoves(s.state, now.Add(2*testDelay)), "the move is in progress")
	require.False(t, s.send(moves[0]), "the same proposal by another process is refused")
}

func TestRepairIgnoresReplacedInstance(t *testing.T) {
	s := newFleet(t, 1, 4, 1)
	s.addSpare("x1", "rack9")
	r := NewRepair(testDelay)
	now := time.Unix(0, 0)
	s.removeInstance(worker(2))
	require.Empty(t, r.NextMoves(s.state, now))
	s.mustSend(cranstate.InstancesObserved{Instances: []cranstate.Observation{s.observation(2, 2)}})
	require.Empty(t, r.NextMoves(s.state, now.Add(testDelay)))
	s.removeInstance(worker(2))
	require.Empty(t, r.NextMoves(s.state, now.Add(testDelay)), "the delay starts again")
}

// TestRepairMovesAtMostTheShortage draws random losses and delays and checks that
// the number of proposed moves exceeds neither the shortage nor the number of
// available spares, and that the shortage is finally filled as far as spares allow.
func TestRepairMovesAtMostTheShortage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleet(t, 2, 4, 2)
		spares := rapid.IntRange(0, 4).Draw(t, "spares")
		for i := range spares {
			s.addSpare(worker(100+i), "rack9")
		}
		r := NewRepair(testDelay)
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if i := rapid.IntRange(0, s.count()-1).Draw(t, "lost"); rapid.Bool().Draw(t, "lose") {
				s.removeInstance(worker(i))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			moves := r.NextMoves(s.state, now)
			lacking := 0
			for p := range 2 {
				lacking += max(4-countMembers(s.state, pool(p)), 0)
			}
			require.LessOrEqual(t, len(moves), min(lacking, s.state.Available("spare")))
			for _, m := range moves {
				require.True(t, s.send(m), "the reducer accepts the proposal")
			}
		}
		r.NextMoves(s.state, now)
		moves := r.NextMoves(s.state, now.Add(testDelay))
		lacking := 0
		for p := range 2 {
			lacking += max(4-countMembers(s.state, pool(p)), 0)
		}
		require.Len(t, moves, min(lacking, s.state.Available("spare")), "the shortage is filled as far as spares are available")
	})
}

// countMembers returns the number of instances that a pool has or will have after
// the moves in progress.
func countMembers(s *cranstate.State, name string) int {
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
	s := newFleet(t, 1, 4, 2)
	s.addSpare("x1", "rack9")
	s.addSpare("x2", "rack9")
	s.addSpare("x3", "rack8")
	s.removeInstance(worker(0))
	s.removeInstance(worker(1))
	r := NewRepair(0)
	moves := r.NextMoves(s.state, time.Unix(0, 0))
	require.Len(t, moves, 2)
	require.Equal(t, []string{"x1", "x3"}, []string{moves[0].Instance, moves[1].Instance})
}
