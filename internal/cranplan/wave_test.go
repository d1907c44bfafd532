package cranplan

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// TestNextStopsAgreesWithOracle applies random events to the real reducer and
// compares the proposals with the stops that the state allows.
func TestNextStopsAgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleet(t, rapid.IntRange(1, 4).Draw(t, "pools"), rapid.IntRange(3, 6).Draw(t, "size"),
			rapid.IntRange(1, 3).Draw(t, "budget"))
		parallel := rapid.IntRange(1, 6).Draw(t, "parallel")
		drawInstance := func(t *rapid.T) int { return rapid.IntRange(0, s.count()-1).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"wave": func(t *rapid.T) {
				from := rapid.IntRange(0, s.pools-1).Draw(t, "from")
				to := rapid.IntRange(from, s.pools-1).Draw(t, "to")
				var pools []string
				for p := from; p <= to; p++ {
					pools = append(pools, pool(p))
				}
				s.send(cranstate.WaveProposed{Pools: pools, MaxFailures: 2})
			},
			"fail":   func(t *rapid.T) { s.probe(drawInstance(t), false) },
			"repair": func(t *rapid.T) { s.probe(drawInstance(t), true) },
			"stop": func(t *rapid.T) {
				s.send(cranstate.StopProposed{Instance: worker(drawInstance(t)), Kind: cranstate.StopReboot})
			},
			"drain":  func(*rapid.T) { s.completeDrains() },
			"reboot": func(*rapid.T) { s.completeActions() },
			"resume": func(*rapid.T) {
				for _, w := range s.state.Waves() {
					s.send(cranstate.WaveResumed{Wave: w.ID()})
				}
			},
			"next": func(*rapid.T) { s.applyNextStops(parallel) },
		})
	})
}

// applyNextStops applies the proposals one by one and checks that each is allowed,
// and that none that is allowed is missing.
func (s *fixture) applyNextStops(parallel int) {
	for _, stop := range NextStops(s.state, parallel) {
		w := s.wave(stop.Wave)
		require.Less(s.t, len(w.Active()), parallel, "more than maxParallel stops are in progress")
		s.requireSpread(w, stop)
		require.Nil(s.t, s.state.CheckStop(stop.Instance))
		s.mustSend(stop)
	}
	for _, w := range s.state.Waves() {
		if w.Phase() != cranstate.WavePhaseActive || len(w.Active()) >= parallel {
			continue
		}
		for _, id := range w.Pending() {
			require.NotNil(s.t, s.state.CheckStop(id), "%s may be stopped but was not proposed", id)
		}
	}
}

func (s *fixture) wave(id uint64) cranstate.Wave {
	for _, w := range s.state.Waves() {
		if w.ID() == id {
			return w
		}
	}
	require.Fail(s.t, "unknown wave", "%d", id)
	return cranstate.Wave{}
}

// requireSpread fails if another pending instance may be stopped now and its failure
// domain has fewer of the wave's stops in progress.
func (s *fixture) requireSpread(w cranstate.Wave, stop cranstate.StopProposed) {
	busy := map[string]int{}
	for _, id := range w.Active() {
		in, _ := s.state.Instance(id)
		busy[in.Domain()]++
	}
	picked, _ := s.state.Instance(stop.Instance)
	for _, id := range w.Pending() {
		in, _ := s.state.Instance(id)
		if s.state.CheckStop(id) == nil {
			require.LessOrEqual(s.t, busy[picked.Domain()], busy[in.Domain()], "%s is in a busier domain than %s", stop.Instance, id)
		}
	}
}

// TestNextStopsPrefersPoolsWithMostRounds checks that the pools progress evenly when
// fewer stops are in progress at once than their budgets allow. Otherwise a single
// pool would remain at the end and prolong the wave.
func TestNextStopsPrefersPoolsWithMostRounds(t *testing.T) {
	s := newFleet(t, 3, 8, 2)
	s.mustSend(cranstate.WaveProposed{Pools: []string{pool(0), pool(1), pool(2)}})
	for range 3 {
		s.applyNextStops(2)
		s.completeDrains()
		s.completeActions()
		for i := range s.count() {
			if in, _ := s.state.Instance(worker(i)); in.Phase() == cranstate.PhaseReturning {
				s.probe(i, true)
			}
		}
	}
	left := map[string]int{}
	for _, id := range s.state.Waves()[0].Pending() {
		in, _ := s.state.Instance(id)
		left[in.Pool()]++
	}
	require.Equal(t, map[string]int{pool(0): 6, pool(1): 6, pool(2): 6}, left)
}

// BenchmarkNextStops measures a call for one wave with 7,898 instances while all
// budgets are used up.
func BenchmarkNextStops(b *testing.B) {
	const pools = 359
	s := newFleet(b, pools, 22, 2)
	var all []string
	for p := range pools {
		all = append(all, pool(p))
	}
	s.mustSend(cranstate.WaveProposed{Pools: all})
	for _, stop := range NextStops(s.state, pools*2) {
		s.mustSend(stop)
	}
	for b.Loop() {
		NextStops(s.state, pools*3)
	}
}
