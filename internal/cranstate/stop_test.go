package cranstate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

func TestStopWaitsForEveryMember(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("op", StopProposed{Instance: "r1", Kind: StopReboot})
	require.Equal(t, PhaseCordoned, s.phase("r1"))
	s.heartbeat("e1-a")
	require.Equal(t, PhaseCordoned, s.phase("r1"), "e2-a has not reported the instance as drained")
	require.Empty(t, s.state.PendingActions())
	require.Contains(t, s.state.ExplainInstance("r1")[0].Reason, "e2-a")
	s.heartbeat("e2-a")
	require.Equal(t, PhaseStopping, s.phase("r1"))
	action := s.state.PendingActions()[0]
	leaving := observed("r1", "roster", 1)
	leaving.Phase = "leaving"
	s.mustAccept("e1-a", InstancesObserved{Instances: []Observation{leaving}})
	require.Equal(t, PhaseStopping, s.phase("r1"), "the list shows an instance as leaving while it reboots")
	s.mustAccept("e1-a", InstancesObserved{Instances: []Observation{observed("r1", "roster", 2)}})
	require.Equal(t, PhaseStopping, s.phase("r1"), "a higher boot count alone does not complete the stop")
	s.mustAccept("e1-a", ActionsObserved{Done: []string{action.ID}})
	require.Equal(t, PhaseReturning, s.phase("r1"))
	s.mustAccept("e1-a", ProbesObserved{Probes: []Probe{{Instance: "r1", Boots: 1, Healthy: true}}})
	require.Equal(t, PhaseReturning, s.phase("r1"), "a probe of an earlier boot is ignored")
	s.mustAccept("e1-a", ProbesObserved{Probes: []Probe{{Instance: "r1", Boots: 2, Healthy: true}}})
	require.Equal(t, PhaseServing, s.phase("r1"))
}

func TestStopWaitsUntilSilentMemberIsWrittenOff(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("e3-a", MemberJoined{Instance: "e3", Address: "127.0.0.1:73", DataCentre: "dc1", LeaseMs: 4000})
	s.mustAccept("op", StopProposed{Instance: "r1", Kind: StopReboot})
	end := s.nowMs + 2*4000 + s.state.graceMs()
	for s.nowMs < end {
		s.nowMs += 1000
		require.Equal(t, PhaseCordoned, s.phase("r1"), "e2-a may still have requests in progress")
		s.heartbeat("e1-a")
		s.heartbeat("e3-a")
	}
	s.nowMs += 1000
	s.heartbeat("e1-a")
	require.Equal(t, PhaseStopping, s.phase("r1"))
	require.Equal(t, cranfault.UnknownMember, s.mustRefuse("e2-a", Heartbeat{}))
}

func TestLogOutagePostponesLeaseExpiry(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("op", StopProposed{Instance: "r1", Kind: StopReboot})
	s.nowMs += 3_600_000
	s.heartbeat("e1-a")
	require.Equal(t, PhaseCordoned, s.phase("r1"), "e2-a could not renew its lease during the outage")
	require.Len(t, s.state.Members(), 2)
}

func TestMinorityDoesNotWriteOffMajority(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("e3-a", MemberJoined{Instance: "e3", Address: "127.0.0.1:73", DataCentre: "dc1", LeaseMs: 4000})
	for range 60 {
		s.nowMs += 1000
		s.heartbeat("e1-a")
	}
	require.Len(t, s.state.Members(), 3)
	gone := []Observation{{ID: "e2", Entry: true, Phase: "gone"}, {ID: "e3", Entry: true, Phase: "gone"}}
	s.mustAccept("e1-a", InstancesObserved{Instances: gone})
	require.Len(t, s.state.Members(), 1, "the platform reports both members as gone")
}

func TestMoveChangesPoolOnce(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("op", StopProposed{Instance: "o1", Kind: StopMove, Pool: "roster"})
	require.Equal(t, cranfault.Busy, s.mustRefuse("op", StopProposed{Instance: "o1", Kind: StopMove, Pool: "booking"}))
	s.heartbeat("e1-a")
	s.heartbeat("e2-a")
	action := s.state.PendingActions()[0]
	s.mustAccept("e1-a", ActionsObserved{Done: []string{action.ID}})
	in, _ := s.state.Instance("o1")
	require.Equal(t, "office", in.Pool())
	s.mustAccept("e1-a", InstancesObserved{Instances: []Observation{observed("o1", "roster", 1)}})
	in, _ = s.state.Instance("o1")
	require.Equal(t, "roster", in.Pool())
	require.EqualValues(t, 1, s.state.Moves())
}

func TestBudgetCountsPlannedAndUnplannedOutages(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("op", StopProposed{Instance: "r1", Kind: StopReboot})
	s.mustAccept("op", StopProposed{Instance: "r2", Kind: StopReboot})
	require.Equal(t, cranfault.BudgetSpent, s.mustRefuse("op", StopProposed{Instance: "r3", Kind: StopReboot}))
	s.mustAccept("e1-a", ProbesObserved{Probes: []Probe{{Instance: "r3", Boots: 1}}})
	s.heartbeat("e1-a")
	s.heartbeat("e2-a")
	require.Equal(t, PhaseServing, s.phase("r1"), "an unplanned outage has exhausted the budget, so the stop is cancelled")
	require.Equal(t, PhaseStopping, s.phase("r2"))
}

func TestStaleConfigurationIsRefused(t *testing.T) {
	s := newServingFleet(t)
	old := s.state.Revision()
	s.mustAccept("op1", ConfigPublished{Base: old, Config: testConfig(t)})
	require.Equal(t, cranfault.StaleRevision, s.mustRefuse("op2", ConfigPublished{Base: old, Config: testConfig(t)}))
	require.Greater(t, s.state.Revision(), old)
}

func TestWaveFailingAtLastInstanceStaysHalted(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("op", WaveProposed{Pools: []string{"booking"}, MaxFailures: 0})
	id := s.state.Waves()[0].ID()
	for _, in := range []string{"b1", "b2", "b3"} {
		s.mustAccept("e1-a", ProbesObserved{Probes: []Probe{{Instance: in, Boots: 1}}})
	}
	require.Equal(t, WavePhaseHalted, s.state.Waves()[0].Phase())
	s.mustAccept("op", WaveResumed{Wave: id})
	require.Equal(t, WavePhaseDone, s.state.Waves()[0].Phase(), "the resumed wave has no instance left to reboot")
}

// TestRepeatDelayedByLogOutageIsDropped guards against applying a record twice:
// its repeat arrives after an outage of the log that is longer than the retention
// of high-water marks, and after enough other records for their pruning to run.
func TestRepeatDelayedByLogOutageIsDropped(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("op", StopProposed{Instance: "r1", Kind: StopReboot})
	repeated := s.inputs[len(s.inputs)-1]
	s.mustAccept("op2", StopCancelled{Instance: "r1"})
	s.nowMs += 3 * writerRetentionMs
	for range 2 * 64 {
		s.heartbeat("e1-a")
	}
	repeated.Offset, repeated.TimeMs = s.state.Next(), s.nowMs
	s.apply(repeated)
	require.Equal(t, PhaseServing, s.phase("r1"))
}

func TestMembersWithoutInstanceIDAreDistinct(t *testing.T) {
	s := newScript(t)
	s.mustAccept("entry-1", MemberJoined{Address: "127.0.0.1:71", LeaseMs: 4000})
	s.mustAccept("entry-2", MemberJoined{Address: "127.0.0.1:72", LeaseMs: 4000})
	for _, m := range s.state.Members() {
		require.False(t, m.Gone(), m.Incarnation())
	}
}
