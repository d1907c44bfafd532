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

// hostWhen returns the host of a task's newest run as soon as a condition on the run holds.
func (sim *simulation) hostWhen(name cranjob.TaskName, holds func(*run) bool) string {
	for limit := sim.now + 15*time.Second; sim.now < limit; sim.runFor(time.Millisecond) {
		if t := sim.owner.findTask(name); t != nil && t.run != nil && holds(t.run) {
			return t.Target
		}
	}
	return ""
}

// TestStartThatNeverArrivedIsNoCrash guards against a job that is given up although its task has
// never begun: its targets went down, without refusing connections, before the start arrived.
func TestStartThatNeverArrivedIsNoCrash(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(2 * time.Second)
	name := cranjob.TaskName{Job: "victim"}
	sim.submit(newBatchJob("victim", 1))
	for n := range 2 {
		host := sim.hostWhen(name, func(r *run) bool { return r.phase == planned && r.number == n+1 })
		require.NotEmpty(t, host)
		tgt := sim.targets[host]
		require.Empty(t, tgt.runs)
		tgt.up = false
		sim.schedule(3*time.Second, func() { sim.restart(host) })
	}
	sim.runFor(20 * time.Second)
	require.Equal(t, cranjob.Completed, sim.states()["victim"])
}

// TestRestartAfterLeaseIsNoCrash guards against a job that is given up although its runs have ended
// with their leases, on targets that were cut off and have restarted after that.
func TestRestartAfterLeaseIsNoCrash(t *testing.T) {
	for _, wait := range []time.Duration{0, 2 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) { testRestartAfterLease(t, wait) })
	}
}

func testRestartAfterLease(t *testing.T, wait time.Duration) {
	sim := newSimulation(t, 1, 8)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(2 * time.Second)
	name := cranjob.TaskName{Job: "victim"}
	sim.submit(newLongRunningJob("victim", 1))
	for n := range 2 {
		host := sim.hostWhen(name, func(r *run) bool { return r.phase == confirmed && !r.survived && r.number == n+1 })
		require.NotEmpty(t, host)
		sim.targets[host].unreachable = true
		for limit := sim.now + 15*time.Second; sim.now < limit && len(sim.targets[host].runs) > 0; sim.runFor(50 * time.Millisecond) {
			sim.endDueRuns(sim.targets[host])
		}
		require.Empty(t, sim.targets[host].runs)
		// Upkeep of an instance on which nothing runs any more.
		sim.schedule(wait, func() { sim.restart(host) })
	}
	sim.runFor(10 * time.Second)
	require.Equal(t, cranjob.Running, sim.states()["victim"])
}

// TestLossOfRecoveredTargetIsForgotten guards against a crash that is counted for tasks whose runs have
// ended with their leases, on a target that has responded again, as the same process, before it crashes.
func TestLossOfRecoveredTargetIsForgotten(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(2 * time.Second)
	name := cranjob.TaskName{Job: "victim"}
	sim.submit(newLongRunningJob("victim", 1))
	host := sim.hostWhen(name, func(r *run) bool { return r.phase == confirmed && !r.survived })
	sim.targets[host].unreachable = true
	second := sim.hostWhen(name, func(r *run) bool { return r.phase == confirmed && r.number == 2 })
	require.NotEqual(t, host, second)
	sim.targets[host].unreachable = false
	sim.runFor(5 * time.Second)
	require.True(t, sim.owner.targets[host].fenced)
	require.Empty(t, sim.targets[host].runs)
	sim.crash(host)
	sim.runFor(5 * time.Second)
	require.Zero(t, sim.crashes[name])
	require.Equal(t, cranjob.CrashCount{}, sim.owner.findTask(name).crashes)
}

// TestSurvivorIsNotSuspected guards against a suspicion that stays with a task whose newer run has
// outlived its start long ago. The target of its first run has fallen silent, and has restarted after
// the lease.
func TestSurvivorIsNotSuspected(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.failureRate, sim.keepIDs = 0, true
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(2 * time.Second)
	name := cranjob.TaskName{Job: "victim"}
	sim.submit(newLongRunningJob("victim", 1))
	host := sim.hostWhen(name, func(r *run) bool { return r.phase == confirmed && !r.survived })
	sim.targets[host].unreachable = true
	second := sim.hostWhen(name, func(r *run) bool { return r.number == 2 && r.survived })
	sim.restart(host)
	sim.runFor(20 * time.Second)
	t.Logf("after 20 s at work: %+v", sim.owner.findTask(name).crashes)
	require.Equal(t, 1, sim.countRunning("victim"))
	require.Equal(t, 2, sim.owner.findTask(name).Run)
	require.NotEmpty(t, second)
	require.Zero(t, sim.owner.findTask(name).crashes.Early)
}

// TestLastingTasksAreBackSoon guards against lasting tasks that wait for one another's probation
// (LOST: each has to run within 6 s, and 3 s more). All targets go down twice, 3 s each.
func TestLastingTasksAreBackSoon(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 12))
	sim.runFor(6 * time.Second)
	require.Equal(t, 12, sim.countRunning("lasting"))
	crashAll := func() {
		for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
			sim.crash(id)
		}
	}
	crashAll()
	for limit := sim.now + 20*time.Second; sim.now < limit; sim.runFor(10 * time.Millisecond) {
		if sim.now > limit-17*time.Second && sim.countRunning("lasting") == 12 {
			break
		}
	}
	t.Logf("after the first: %d run at %v", sim.countRunning("lasting"), sim.now)
	sim.runFor(2300 * time.Millisecond)
	crashAll()
	from := sim.now
	sim.runFor(3 * time.Second)
	up := sim.now
	for sim.now < up+90*time.Second && (sim.countRunning("lasting") < 12) {
		sim.runFor(50 * time.Millisecond)
	}
	t.Logf("all %d run %v after the crash, %v after the targets are back", sim.countRunning("lasting"), sim.now-from, sim.now-up)
	require.Less(t, sim.now-up, 9*time.Second)
}

// TestLastingTasksAreBackSoonAfterOneCrash is like TestLastingTasksAreBackSoon with one crash just after
// the start of all tasks.
func TestLastingTasksAreBackSoonAfterOneCrash(t *testing.T) {
	for _, width := range []int{12, 24} {
		sim := newSimulation(t, 1, 16)
		sim.failureRate = 0
		sim.takeOver(sim.now - time.Hour)
		sim.runFor(2 * time.Second)
		sim.submit(newLongRunningJob("lasting", width))
		for sim.countRunning("lasting") < width {
			sim.runFor(10 * time.Millisecond)
		}
		for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
			sim.crash(id)
		}
		sim.runFor(3 * time.Second)
		up := sim.now
		for sim.now < up+60*time.Second && sim.countRunning("lasting") < width {
			sim.runFor(50 * time.Millisecond)
		}
		t.Logf("%d run %v after the targets are back", sim.countRunning("lasting"), sim.now-up)
		require.Less(t, sim.now-up, 9*time.Second)
	}
}

// TestSuspectThatFitsNowhereHoldsUpNoOther guards against a suspected task that no target may run and
// that keeps the other suspected tasks of its job from their targets.
func TestSuspectThatFitsNowhereHoldsUpNoOther(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(2 * time.Second)
	j := newBatchJob("j", 1)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[0].Requires = "gone"
	sim.submit(j)
	for _, tk := range sim.owner.jobs["j"].tasks {
		tk.crashes = cranjob.CrashCount{Early: 1, Total: 1}
	}
	sim.owner.jobs["j"].hasCrashes = true
	sim.runFor(10 * time.Second)
	require.True(t, sim.succeeded[cranjob.TaskName{Job: "j", Step: 2}])
}

// TestSuspectsThatFitNowhereHoldUpNoOtherJob guards against a suspected task that is never considered, since
// those of a job before it fill the list of which a part is considered at a time (LOST).
func TestSuspectsThatFitNowhereHoldUpNoOtherJob(t *testing.T) {
	sim := newSimulation(t, 1, 8)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(2 * time.Second)
	suspectAll := func(id string) {
		for _, tk := range sim.owner.jobs[id].tasks {
			tk.crashes = cranjob.CrashCount{Early: 1, Total: 1}
		}
		sim.owner.jobs[id].hasCrashes = true
	}
	wide := newBatchJob("a", maxSuspectsPerTick+1)
	wide.Steps[0].Requires = "gone"
	sim.submit(wide)
	suspectAll("a")
	slow := newBatchJob("b", 1)
	slow.Steps[0].EstimateMs = 3000
	sim.submit(slow)
	suspectAll("b")
	sim.runFor(10 * time.Second)
	require.Equal(t, cranjob.Completed, sim.states()["b"])
}

// TestSuspectThatFitsNowhereStarves guards against a suspected lasting task that fits on no target of
// its pool and for which no room is made.
func TestSuspectThatFitsNowhereStarves(t *testing.T) {
	for _, early := range []int{0, 1} {
		sim := newSimulation(t, 1, 2)
		sim.takeOver(sim.now - time.Hour)
		sim.submit(newLongRunningJob("small", 4))
		sim.runFor(5 * time.Second)
		big := newLongRunningJob("big", 1)
		big.Steps[0].Demand = cranjob.Resources{CPU: 3500, Memory: 1000}
		sim.submit(big)
		sim.owner.jobs["big"].tasks[0].crashes.Early = early
		sim.owner.jobs["big"].hasCrashes = early > 0
		sim.runFor(time.Second)
		if t2 := sim.owner.findTask(cranjob.TaskName{Job: "big"}); t2 != nil && t2.Status == cranjob.Waiting {
			require.True(t, sim.owner.starved["p"], "early %d", early)
		}
	}
}

// TestLargeSuspectStartsUnderLoad guards against a suspected task that needs nearly a whole target and
// waits while other tasks keep all targets busy.
func TestLargeSuspectStartsUnderLoad(t *testing.T) {
	for _, targets := range []int{1, 2, 8} {
		sim := newSimulation(t, 1, targets)
		sim.failureRate = 0
		sim.takeOver(sim.now - time.Hour)
		sim.runFor(time.Second)
		load := func(d time.Duration) {
			for end := sim.now + d; sim.now < end; {
				sim.background++
				sim.submit(newBatchJob("b"+time.Duration(sim.background).String(), targets+1))
				sim.runFor(300 * time.Millisecond)
			}
		}
		load(3 * time.Second)
		j := newBatchJob("big", 1)
		j.Steps = j.Steps[:1]
		j.Steps[0].Demand = cranjob.Resources{CPU: 3800, Memory: 3000}
		sim.submit(j)
		sim.owner.jobs["big"].tasks[0].crashes = cranjob.CrashCount{Early: 1, Total: 1}
		sim.owner.jobs["big"].hasCrashes = true
		from := sim.now
		for sim.now < from+20*time.Second && !sim.succeeded[cranjob.TaskName{Job: "big"}] {
			load(300 * time.Millisecond)
		}
		t.Logf("%d targets: done after %v", targets, sim.now-from)
		require.Less(t, sim.now-from, 8*time.Second)
	}
}

// TestReservationEndsWithUse guards against a target that stays reserved when it is cordoned.
func TestReservationEndsWithUse(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 1))
	sim.runFor(2 * time.Second)
	s, tgt := sim.owner, sim.owner.targets["t0"]
	tgt.reserved, tgt.cordoned = true, true
	sim.runFor(2 * time.Second)
	require.False(t, s.targets["t0"].reserved)
}

// requireLastingGivenUp checks that a lasting task is given up that crashes its targets some time
// after its start.
func requireLastingGivenUp(t *testing.T, delay time.Duration) {
	sim := newCrashSimulation(t, 1)
	sim.deadly[cranjob.TaskName{Job: "deadly"}] = delay
	sim.submit(newLongRunningJob("deadly", 1))
	sim.runFor(90 * time.Second)
	require.Equal(t, cranjob.Failed, sim.states()["deadly"])
}

// TestLastingTaskThatCrashesLateIsGivenUp covers crashes within two seconds.
func TestLastingTaskThatCrashesLateIsGivenUp(t *testing.T) {
	requireLastingGivenUp(t, 200*time.Millisecond)
	requireLastingGivenUp(t, 2*time.Second)
}

// TestLastingTaskThatCrashesAfterHealthyTimeIsGivenUp covers crashes after the time that clears a task.
func TestLastingTaskThatCrashesAfterHealthyTimeIsGivenUp(t *testing.T) {
	requireLastingGivenUp(t, 4*time.Second)
}

// TestCrashCountsOfAnyKindSurviveOwner is like TestCrashCountSurvivesOwner for other kinds of tasks and
// times of crash and loss. The simulation checks each start.
func TestCrashCountsOfAnyKindSurviveOwner(t *testing.T) {
	for _, losses := range []int{1, 2, 3, 4, 5} {
		t.Run(fmt.Sprint(losses), func(t *testing.T) { testCrashCountsSurvive(t, losses) })
	}
}

func testCrashCountsSurvive(t *testing.T, losses int) {
	for _, kind := range []string{"batch", "lasting", "gang"} {
		for _, delay := range []time.Duration{simCrashDelay, 1500 * time.Millisecond} {
			for _, after := range []time.Duration{0, 500 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond} {
				for _, keepIDs := range []bool{false, true} {
					t.Run(kind+delay.String()+"/"+after.String()+map[bool]string{true: "/keep"}[keepIDs], func(t *testing.T) {
						sim := newCrashSimulation(t, 1)
						sim.keepIDs = keepIDs
						name := cranjob.TaskName{Job: "deadly"}
						sim.deadly[name] = delay
						j := newBatchJob("deadly", 2)
						if kind == "lasting" {
							j = newLongRunningJob("deadly", 2)
						}
						j.Steps[0].Gang = kind == "gang"
						j.Steps[0].EstimateMs = 10_000
						sim.submit(j)
						for crashes := range losses {
							for limit := sim.now + 15*time.Second; sim.crashes[name] <= crashes && sim.now < limit; {
								sim.runFor(10 * time.Millisecond)
							}
							sim.runFor(after)
							sim.takeOver(sim.now)
						}
						sim.runFor(60 * time.Second)
						require.Equal(t, cranjob.Failed, sim.states()["deadly"], "%d crashes", sim.crashes[name])
					})
				}
			}
		}
	}
}

// BenchmarkPlaceSuspects measures a tick at which nothing can be placed, with 220 full targets and 5,000
// waiting tasks, of which one in each job is suspected or none is.
func BenchmarkPlaceSuspects(b *testing.B) {
	for name, suspects := range map[string]int{"none": 0, "some": 10, "all": 313} {
		b.Run(name, func(b *testing.B) {
			s := newBenchScheduler(cranjob.NewReplica(), 220)
			for n := range 600 {
				s.AddJob(newBenchJob(n))
				if n%20 == 0 {
					s.place()
				}
			}
			s.place()
			n := 0
			for _, j := range s.jobs {
				if n < suspects && j.waiting > 0 {
					for _, t := range j.tasks {
						if t.Status == cranjob.Waiting {
							t.crashes.Early = 1
							j.hasCrashes = true
						}
					}
					n++
				}
			}
			waiting := 0
			for _, j := range s.jobs {
				waiting += j.waiting
			}
			b.ReportAllocs()
			for b.Loop() {
				s.place()
				s.effects, s.awaitingStore = nil, nil
			}
			b.ReportMetric(float64(waiting), "waiting")
		})
	}
}

// TestMalformedCrashCountsFailNoJob guards against a job that is given up for counts that no owner has
// written.
func TestMalformedCrashCountsFailNoJob(t *testing.T) {
	for _, c := range []cranjob.Crashes{
		{0: {Early: -5, Total: -5}}, {-1: {Early: 9, Total: 9}, 1 << 40: {Early: 9, Total: 9}}, {0: {Early: 1 << 62}}, {0: {Total: 1 << 62}},
	} {
		sim := newSimulation(t, 1, 4)
		sim.failureRate = 0
		sim.submit(newBatchJob("j", 1))
		_, err := sim.stored.Apply(cranjob.CrashesKey("j"), cranjob.Encode(c), sim.offset)
		require.NoError(t, err)
		sim.offset++
		sim.takeOver(sim.now - time.Hour)
		sim.runFor(6 * time.Second)
		require.Equal(t, cranjob.Completed, sim.states()["j"])
	}
}
