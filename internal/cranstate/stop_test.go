package cranstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

func TestStopWaitsForEveryMember(t *testing.T) {
	s := serving(t)
	s.must("op", StopProposed{Instance: "r1", Kind: StopReboot})
	require.Equal(t, PhaseCordoned, s.phase("r1"))
	s.beat("e1-a")
	require.Equal(t, PhaseCordoned, s.phase("r1"), "one member is still silent")
	require.Empty(t, s.state.PendingActions())
	require.Contains(t, s.state.ExplainInstance("r1")[0].Reason, "e2-a")
	s.beat("e2-a")
	require.Equal(t, PhaseStopping, s.phase("r1"))
	action := s.state.PendingActions()[0]
	away := observed("r1", "roster", 1)
	away.Phase = "leaving"
	s.must("e1-a", InstancesObserved{Instances: []Observation{away}})
	require.Equal(t, PhaseStopping, s.phase("r1"), "the list shows it as leaving while it reboots")
	s.must("e1-a", InstancesObserved{Instances: []Observation{observed("r1", "roster", 2)}})
	require.Equal(t, PhaseStopping, s.phase("r1"), "a restart by chance completes nothing")
	s.must("e1-a", ActionsObserved{Done: []string{action.ID}})
	require.Equal(t, PhaseReturning, s.phase("r1"))
	s.must("e1-a", ProbesObserved{Probes: []Probe{{Instance: "r1", Boots: 1, Healthy: true}}})
	require.Equal(t, PhaseReturning, s.phase("r1"), "a probe of the old boot says nothing")
	s.must("e1-a", ProbesObserved{Probes: []Probe{{Instance: "r1", Boots: 2, Healthy: true}}})
	require.Equal(t, PhaseServing, s.phase("r1"))
}

func TestStopWaitsOutASilentMember(t *testing.T) {
	s := serving(t)
	s.must("e3-a", MemberJoined{Instance: "e3", Address: "127.0.0.1:73", DataCentre: "dc1", LeaseMs: 4000})
	s.must("op", StopProposed{Instance: "r1", Kind: StopReboot})
	end := s.nowMs + 2*4000 + s.state.graceMs()
	for s.nowMs < end {
		s.nowMs += 1000
		require.Equal(t, PhaseCordoned, s.phase("r1"), "e2-a may still have requests in progress")
		s.beat("e1-a")
		s.beat("e3-a")
	}
	s.nowMs += 1000
	s.beat("e1-a")
	require.Equal(t, PhaseStopping, s.phase("r1"))
	require.Equal(t, cranfault.UnknownMember, s.refused("e2-a", Heartbeat{}))
}

func TestOutageOfTheLogPutsOffLeases(t *testing.T) {
	s := serving(t)
	s.must("op", StopProposed{Instance: "r1", Kind: StopReboot})
	s.nowMs += 3_600_000
	s.beat("e1-a")
	require.Equal(t, PhaseCordoned, s.phase("r1"), "e2-a could not renew while the log was down")
	require.Len(t, s.state.Members(), 2)
}

func TestMinorityNeverWritesOffTheMajority(t *testing.T) {
	s := serving(t)
	s.must("e3-a", MemberJoined{Instance: "e3", Address: "127.0.0.1:73", DataCentre: "dc1", LeaseMs: 4000})
	for range 60 {
		s.nowMs += 1000
		s.beat("e1-a")
	}
	require.Len(t, s.state.Members(), 3)
	gone := []Observation{{ID: "e2", Entry: true, Phase: "gone"}, {ID: "e3", Entry: true, Phase: "gone"}}
	s.must("e1-a", InstancesObserved{Instances: gone})
	require.Len(t, s.state.Members(), 1, "the platform says that they are gone")
}

func TestMoveChangesThePoolOnce(t *testing.T) {
	s := serving(t)
	s.must("op", StopProposed{Instance: "o1", Kind: StopMove, Pool: "roster"})
	require.Equal(t, cranfault.Busy, s.refused("op", StopProposed{Instance: "o1", Kind: StopMove, Pool: "booking"}))
	s.beat("e1-a")
	s.beat("e2-a")
	action := s.state.PendingActions()[0]
	s.must("e1-a", ActionsObserved{Done: []string{action.ID}})
	in, _ := s.state.Instance("o1")
	require.Equal(t, "office", in.Pool())
	s.must("e1-a", InstancesObserved{Instances: []Observation{observed("o1", "roster", 1)}})
	in, _ = s.state.Instance("o1")
	require.Equal(t, "roster", in.Pool())
	require.EqualValues(t, 1, s.state.Moves())
}

func TestBudgetCountsPlannedAndUnplanned(t *testing.T) {
	s := serving(t)
	s.must("op", StopProposed{Instance: "r1", Kind: StopReboot})
	s.must("op", StopProposed{Instance: "r2", Kind: StopReboot})
	require.Equal(t, cranfault.BudgetSpent, s.refused("op", StopProposed{Instance: "r3", Kind: StopReboot}))
	s.must("e1-a", ProbesObserved{Probes: []Probe{{Instance: "r3", Boots: 1}}})
	s.beat("e1-a")
	s.beat("e2-a")
	require.Equal(t, PhaseServing, s.phase("r1"), "an unplanned loss spent the budget: the stop is given up")
	require.Equal(t, PhaseStopping, s.phase("r2"))
}

func TestConfigurationNeverReverts(t *testing.T) {
	s := serving(t)
	old := s.state.Revision()
	s.must("op1", ConfigPublished{Base: old, Config: testConfig(t)})
	require.Equal(t, cranfault.StaleRevision, s.refused("op2", ConfigPublished{Base: old, Config: testConfig(t)}))
	require.Greater(t, s.state.Revision(), old)
}

func TestWaveThatFailsAtItsLastInstanceStaysHalted(t *testing.T) {
	s := serving(t)
	s.must("op", WaveProposed{Pools: []string{"booking"}, MaxFailures: 0})
	id := s.state.Waves()[0].ID()
	for _, in := range []string{"b1", "b2", "b3"} {
		s.must("e1-a", ProbesObserved{Probes: []Probe{{Instance: in, Boots: 1}}})
	}
	require.Equal(t, WavePhaseHalted, s.state.Waves()[0].Phase())
	s.must("op", WaveResumed{Wave: id})
	require.Equal(t, WavePhaseDone, s.state.Waves()[0].Phase(), "nothing is left to do")
}

// TestRepeatHeldBackByAnOutage delivers a record a second time after an outage
// of hours, behind enough other records for forgetting to begin.
func TestRepeatHeldBackByAnOutage(t *testing.T) {
	s := serving(t)
	s.must("op", StopProposed{Instance: "r1", Kind: StopReboot})
	repeated := s.inputs[len(s.inputs)-1]
	s.must("op2", StopCancelled{Instance: "r1"})
	s.nowMs += 3 * writerRetentionMs
	for range 2 * 64 {
		s.beat("e1-a")
	}
	repeated.Offset, repeated.TimeMs = s.state.Next(), s.nowMs
	s.apply(repeated)
	require.Equal(t, PhaseServing, s.phase("r1"))
}

func TestEntriesWithoutANameAreNotTheSame(t *testing.T) {
	s := newScript(t)
	s.must("entry-1", MemberJoined{Address: "127.0.0.1:71", LeaseMs: 4000})
	s.must("entry-2", MemberJoined{Address: "127.0.0.1:72", LeaseMs: 4000})
	for _, m := range s.state.Members() {
		require.False(t, m.Gone(), m.Incarnation())
	}
}
