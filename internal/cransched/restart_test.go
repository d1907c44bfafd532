package cransched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestRunOfRestartedTargetIsNotStartedElsewhere guards against a run that the new process of a target has
// begun and that is released as lost with the old one, so that its task runs twice (TWICE).
func TestRunOfRestartedTargetIsNotStartedElsewhere(t *testing.T) {
	testRestartsWithoutSign(t, 640)
}

// TestEndsOfRestartedTargetAreNotLost guards against ends that the new process of a target forgets unseen,
// since a heartbeat acknowledges the ends of the old one up to a higher number. Their tasks would start
// again after they were done (TWICE).
func TestEndsOfRestartedTargetAreNotLost(t *testing.T) {
	testRestartsWithoutSign(t, 60)
}

// testRestartsWithoutSign lets targets restart under their id while they get tasks of an estimated duration.
// Their responses to orders don't name the process, and their entries change later.
func testRestartsWithoutSign(t *testing.T, estimateMs int64) {
	const entryDelay = 400 * time.Millisecond
	seeds := uint64(10)
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 9)
			sim.failureRate, sim.longPolls, sim.keepIDs, sim.briefResponses = 0, true, true, true
			formerStartMs := map[string]int64{}
			sim.entries = func(list []TargetInfo) []TargetInfo {
				for i, info := range list {
					if former, restarted := formerStartMs[info.ID]; restarted && sim.now-sim.targets[info.ID].startedAt < entryDelay {
						list[i].ProcessStartMs = former
					}
				}
				return list
			}
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 4))
			sim.runTasksOf(estimateMs, 2*time.Second)
			for range 12 {
				ids := slices.Sorted(maps.Keys(sim.targets))
				victim := ids[sim.random.IntN(len(ids))]
				formerStartMs[victim] = sim.targets[victim].info.ProcessStartMs
				sim.goDark(victim, time.Duration(100+sim.random.IntN(600))*time.Millisecond)
				sim.runTasksOf(estimateMs, 2*time.Second)
			}
			sim.runFor(30 * time.Second)
			sim.requireBackgroundCompleted()
			require.Equal(t, 4, sim.countRunning("lasting"))
		})
	}
}

// TestInvariantsWithBriefResponses is like TestInvariantsUnderFaults for targets that name their process
// only in reports.
func TestInvariantsWithBriefResponses(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 12
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 6)
			sim.longPolls, sim.briefResponses = seed%2 == 1, true
			sim.runWithFaults()
		})
	}
}

// TestDelayedResponseIsNoRestart guards against a target that counts as restarted, and gets no lease, since the
// response to an order is handled after that to a heartbeat which was sent later.
func TestDelayedResponseIsNoRestart(t *testing.T) {
	const begin = time.Hour
	for _, drift := range []float64{0, maxClockDrift} {
		reading := func(at time.Duration) int64 {
			return 100 + int64(float64((at-begin).Microseconds())*(1-drift)/1000)
		}
		for sent := range 2000 {
			for _, transit := range []time.Duration{0, 700 * time.Microsecond, 40 * time.Millisecond} {
				clockAt := begin + time.Second
				tgt := &target{clockMs: reading(clockAt - transit), clockAt: clockAt}
				at := begin + time.Duration(sent)*time.Millisecond - 300*time.Microsecond
				require.False(t, tgt.isFromRestarted(Response{SentAt: at, ClockMs: max(reading(at), 1)}), "sent at %v, transit %v", at-begin, transit)
				require.True(t, tgt.isFromRestarted(Response{SentAt: at, ClockMs: 1}) || at < begin+200*time.Millisecond)
			}
		}
	}
}

// The response to a start, which is missing, would be the only sign of the restart (TWICE).
func TestEndsOfRestartedTargetAreNotLostWithoutResponse(t *testing.T) {
	for _, silence := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.failureRate, sim.briefResponses, sim.platformDown = 0, true, true
			formerStartMs := sim.targets["t0"].info.ProcessStartMs
			sim.entries = func(list []TargetInfo) []TargetInfo {
				list[0].ProcessStartMs = formerStartMs
				return list
			}
			sim.targets["t1"].unreachable = true
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newBriefJob("before", 3))
			sim.runFor(2*time.Second + silence)
			require.EqualValues(t, 3, sim.owner.targets["t0"].endsStored)
			sim.restart("t0")
			sim.noResponseRate = 1
			sim.submit(newBriefJob("after", 2))
			for len(sim.starts) < 5 {
				sim.runFor(time.Millisecond)
			}
			sim.noResponseRate, sim.targets["t1"].unreachable = 0, false
			sim.runFor(5 * time.Second)
			require.Equal(t, cranjob.Completed, sim.states()["after"])
			require.Len(t, sim.starts, 5)
		})
	}
}

// The heartbeat after one that failed is slow, and starts overtake it (TWICE).
func TestEndsOfRestartedTargetAreNotLostBySlowHeartbeat(t *testing.T) {
	for _, downtime := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 240 * time.Millisecond} {
		t.Run(downtime.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.failureRate, sim.longPolls, sim.keepIDs, sim.briefResponses, sim.platformDown = 0, true, true, true, true
			formerStartMs := sim.targets["t0"].info.ProcessStartMs
			sim.entries = func(list []TargetInfo) []TargetInfo {
				for i := range list {
					list[i].ProcessStartMs = formerStartMs
				}
				return list
			}
			sim.targets["t1"].unreachable = true
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newBriefJob("before", 3))
			sim.runFor(2 * time.Second)
			known := sim.owner.targets["t0"]
			require.EqualValues(t, 3, known.endsStored)
			for !known.heartbeatFailed {
				sim.goDark("t0", downtime)
				sim.runFor(time.Millisecond)
			}
			sim.transit = 300 * time.Millisecond
			for !known.heartbeatInFlight {
				sim.runFor(time.Millisecond)
			}
			sim.transit, sim.noResponseRate = 0, 1
			sim.submit(newBriefJob("after", 2))
			for len(sim.starts) < 5 {
				sim.runFor(time.Millisecond)
			}
			sim.noResponseRate, sim.targets["t1"].unreachable = 0, false
			sim.runFor(5 * time.Second)
			require.Equal(t, cranjob.Completed, sim.states()["after"])
			require.Len(t, sim.starts, 5)
		})
	}
}

// The heartbeat that is under way during the restart acknowledges ends once more (TWICE).
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.failureRate, sim.briefResponses, sim.platformDown = 0, true, true
	formerStartMs := sim.targets["t0"].info.ProcessStartMs
	sim.entries = func(list []TargetInfo) []TargetInfo {
		list[0].ProcessStartMs = formerStartMs
		return list
	}
	sim.targets["t1"].unreachable = true
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newBriefJob("before", 3))
	sim.runFor(2 * time.Second)
	known := sim.owner.targets["t0"]
	require.EqualValues(t, 3, known.endsStored)
	require.Empty(t, sim.targets["t0"].ends)
	sim.transit = 300 * time.Millisecond
	for !known.heartbeatInFlight {
		sim.runFor(time.Millisecond)
	}
	sim.restart("t0")
	sim.transit, sim.noResponseRate = 0, 1
	sim.submit(newBriefJob("after", 2))
	for len(sim.starts) < 5 {
		sim.runFor(time.Millisecond)
	}
	sim.noResponseRate, sim.targets["t1"].unreachable = 0, false
	sim.runFor(5 * time.Second)
	require.Equal(t, cranjob.Completed, sim.states()["after"])
	require.Len(t, sim.starts, 5)
}

// A heartbeat to the old process is still under way when another one reports the restart (TWICE).
func TestEndsOfRestartedTargetAreNotLostByEarlierHeartbeat(t *testing.T) {
	const transit = 400 * time.Millisecond
	sim := newSimulation(t, 1, 2)
	sim.failureRate, sim.briefResponses, sim.platformDown = 0, true, true
	sim.targets["t1"].unreachable = true
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newBriefJob("before", 3))
	known := sim.owner.targets["t0"]
	for !known.listsStoredEnd() || known.heartbeatInFlight {
		sim.runFor(time.Millisecond)
	}
	sim.transit = transit
	for !known.heartbeatInFlight {
		sim.runFor(time.Millisecond)
	}
	sentAt := sim.now
	sim.transit = 0
	sim.restart("t0")
	for known.restarts == 0 {
		sim.runFor(time.Millisecond)
	}
	require.Less(t, sim.now-sentAt, transit)
	sim.submit(newBriefJob("after", 2))
	sim.noResponseRate = 1
	sim.runFor(sentAt + transit + 10*time.Millisecond - sim.now)
	sim.noResponseRate, sim.targets["t1"].unreachable = 0, false
	sim.runFor(5 * time.Second)
	require.Equal(t, map[string]cranjob.State{"before": cranjob.Completed, "after": cranjob.Completed}, sim.states())
}

// newBriefJob returns a job of tasks that each take a tenth of a second at most.
func newBriefJob(id string, tasks int) *cranjob.Job {
	j := newBatchJob(id, tasks)
	j.Steps = j.Steps[:1]
	j.Steps[0].EstimateMs = 60
	return j
}
