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

// waveOfAllInstances returns an order to maintain every instance.
func (sim *simulation) waveOfAllInstances(duration time.Duration, parallel int) WaveOrder {
	return WaveOrder{
		Wave: 1, Instances: slices.Sorted(maps.Keys(sim.instances)), Duration: duration, MaxParallel: parallel, SeenAt: sim.now,
	}
}

// countRunning returns the number of running tasks of a job.
func (sim *simulation) countRunning(job string) int {
	n := 0
	for _, tgt := range sim.targets {
		for name := range tgt.runs {
			if name.Job == job && tgt.up {
				n++
			}
		}
	}
	return n
}

// TestWave maintains every instance while long-running and other tasks run. The wave must
// finish in time, with no more instances down than allowed and at most one task of a step
// unavailable.
func TestWave(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 8)
			sim.maxDown, sim.checkUnavailable = 2, true
			order := sim.waveOfAllInstances(27*time.Second, 2)
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 4))
			sim.runFor(4 * time.Second)
			sim.wave = []WaveOrder{order}
			sim.owner.SetWaves(sim.wave)
			for i := range 20 {
				sim.runFor(time.Second)
				sim.submit(newBatchJob(fmt.Sprintf("j%d", i), 4))
			}
			sim.runFor(5 * time.Second)
			require.Len(t, sim.maintenances, len(order.Instances))
			sim.runFor(5 * time.Second)
			require.Equal(t, 4, sim.countRunning("lasting"))
		})
	}
}

// TestWaveOfManyLongRunningTasks checks that a wave finishes in time although every instance
// runs long-running tasks, each step allows one task to be unavailable, and there is no
// owner for a fifth of the wave.
func TestWaveOfManyLongRunningTasks(t *testing.T) {
	const targets, duration = 30, 24 * time.Second
	sim := newSimulation(t, 1, targets)
	sim.maxDown, sim.checkUnavailable = 12, true
	order := sim.waveOfAllInstances(duration, 12)
	sim.takeOver(sim.now - time.Hour)
	for i := range 3 {
		sim.submit(newLongRunningJob(fmt.Sprintf("lasting%d", i), 20))
	}
	sim.runFor(4 * time.Second)
	order.SeenAt = sim.now
	sim.wave = []WaveOrder{order}
	sim.owner.SetWaves(sim.wave)
	sim.runFor(duration / 2)
	sim.ownerID++
	sim.runFor(duration / 5)
	sim.takeOver(sim.now)
	sim.runFor(duration - duration/2 - duration/5)
	require.Len(t, sim.maintenances, targets)
}

// TestWaveEvictsLongRunningTasksFromTheStart checks that a wave over half of the instances
// finishes in time although the tasks of a step may only leave one after the other, which takes
// most of its time, and that no task is moved to an instance that is due as well.
func TestWaveEvictsLongRunningTasksFromTheStart(t *testing.T) {
	const targets, due, duration = 24, 12, 20 * time.Second
	sim := newSimulation(t, 1, targets)
	sim.maxDown, sim.checkUnavailable = 6, true
	order := sim.waveOfAllInstances(duration, 6)
	order.Instances = order.Instances[:due]
	sim.takeOver(sim.now - time.Hour)
	for i := range 6 {
		job := newLongRunningJob(fmt.Sprintf("lasting%d", i), 20)
		job.Steps[0].Demand = cranjob.Resources{CPU: 500, Memory: 600}
		sim.submit(job)
	}
	sim.runFor(6 * time.Second)
	starts, leaving := len(sim.starts), 0
	for _, id := range order.Instances {
		leaving += len(sim.targets[sim.instances[id].target].runs)
	}
	order.SeenAt = sim.now
	sim.wave = []WaveOrder{order}
	sim.owner.SetWaves(sim.wave)
	sim.runFor(duration)
	require.Len(t, sim.maintenances, due)
	// A task that was moved to an instance of the wave would have to be moved again.
	require.Equal(t, leaving, len(sim.starts)-starts)
}

// TestWaveNoticesStartedTasks maintains instances with tasks of a step that may leave only one
// after the other, on targets that delay their responses for as long as they may. The time of
// the wave allows 0.25 s for each task beyond its stop and its startup.
func TestWaveNoticesStartedTasks(t *testing.T) {
	const (
		tasks    = 16
		startup  = 800 * time.Millisecond
		duration = tasks * (simStopTime + startup + 250*time.Millisecond)
	)
	sim := newSimulation(t, 1, 2*tasks)
	sim.maxDown, sim.checkUnavailable, sim.longPolls, sim.failureRate = 8, true, true, 0
	sim.startup = startup
	sim.takeOver(sim.now - time.Hour)
	lasting := newLongRunningJob("lasting", tasks)
	lasting.Steps[0].MaxPerTarget = 1
	sim.submit(lasting)
	sim.runFor(4 * time.Second)
	order := WaveOrder{Wave: 1, Duration: duration, MaxParallel: 8, SeenAt: sim.now}
	for _, tgt := range sim.targets {
		if len(tgt.runs) > 0 {
			order.Instances = append(order.Instances, tgt.info.Instance)
		}
	}
	slices.Sort(order.Instances)
	require.Len(t, order.Instances, tasks)
	sim.wave = []WaveOrder{order}
	sim.owner.SetWaves(sim.wave)
	sim.runFor(duration)
	require.Len(t, sim.maintenances, tasks)
}

// TestMaintainedInstancesStayMaintainedAfterMove replaces the owner after a wave. The new
// owner must not evacuate instances again that were maintained and then moved.
func TestMaintainedInstancesStayMaintainedAfterMove(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.maxDown = 2
	order := sim.waveOfAllInstances(20*time.Second, 2)
	sim.wave = []WaveOrder{order}
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(15 * time.Second)
	require.Len(t, sim.maintenances, 4)
	sim.owner.Advance(sim.clock())
	for _, id := range order.Instances {
		sim.owner.orderMove(id, "off")
	}
	sim.runFor(3 * time.Second)
	sim.takeOver(sim.now + OwnershipTimeout)
	for _, m := range sim.owner.fleet.waves[1].members {
		require.Equal(t, maintenanceStarted, m.state, m.instance)
	}
}

// TestLargeLongRunningTaskGetsReservedTarget submits a long-running task that needs most of a
// target while small tasks keep every target busy. A target must be kept free for it.
func TestLargeLongRunningTaskGetsReservedTarget(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.takeOver(sim.now - time.Hour)
	for i := range 30 {
		sim.submit(newBatchJob(fmt.Sprintf("a%d", i), 6))
		if i == 5 {
			large := newLongRunningJob("large", 1)
			large.Steps[0].Demand = cranjob.Resources{CPU: 1000, Memory: 7000}
			sim.submit(large)
		}
		sim.runFor(200 * time.Millisecond)
	}
	require.Equal(t, 1, sim.countRunning("large"))
}

// TestLargeTaskGetsInstanceWithoutLongRunningTasks submits a task that needs nearly a whole
// target to a pool in which a long-running task runs on each target. The pool has room enough
// in all, so it must get another instance for the task.
func TestLargeTaskGetsInstanceWithoutLongRunningTasks(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	sim.takeOver(sim.now - time.Hour)
	spread := newLongRunningJob("spread", 3)
	spread.Steps[0].MaxPerTarget = 1
	spread.Steps[0].Demand.CPU = 500
	sim.submit(spread)
	sim.runFor(10 * time.Second)
	large := newBatchJob("large", 1)
	large.Steps[0].Demand = cranjob.Resources{CPU: 3600, Memory: 3000}
	// Arrivals of jobs with a start time are not forecast.
	large.Times, large.StartMs = 1, sim.unix()
	require.Len(t, sim.targets, 3)
	for _, target := range sim.targets {
		require.Len(t, target.runs, 1)
	}
	sim.submit(large)
	sim.runFor(10 * time.Second)
	require.Equal(t, cranjob.Completed, sim.states()["large"])
}

// TestStarvedLongRunningTaskGetsTargetOfBusyPool keeps every target of another pool busy, so
// that none of them ever becomes empty by itself. One of them must be emptied and moved for a
// long-running task that fits on no target of its own pool.
func TestStarvedLongRunningTaskGetsTargetOfBusyPool(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.config.Pools["busy"] = &Pool{Name: "busy"}
	sim.config.Queues["load"] = &Queue{Name: "load", Pool: "busy", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}
	for _, id := range []string{"t1", "t2", "t3"} {
		sim.instances["m"+id].pool = "busy"
		sim.startProcess(id, "m"+id)
	}
	sim.takeOver(sim.now - time.Hour)
	for i := range 100 {
		job := newBatchJob(fmt.Sprintf("a%d", i), 6)
		job.Queue = "load"
		sim.submit(job)
		if i == 20 {
			large := newLongRunningJob("large", 2)
			large.Steps[0].Demand = cranjob.Resources{CPU: 3000, Memory: 7000}
			large.Steps[0].MaxUnavailable = 0
			sim.submit(large)
		}
		sim.runFor(100 * time.Millisecond)
	}
	require.Equal(t, 2, sim.countRunning("large"))
}

// TestLongRunningTasksSpread checks that long-running tasks of which one may be unavailable are
// spread over targets. A target with all of them could be evacuated only one task at a
// time.
func TestLongRunningTasksSpread(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	sim.submit(newLongRunningJob("lasting", 4))
	sim.runFor(4 * time.Second)
	for id, tgt := range sim.targets {
		require.LessOrEqual(t, len(tgt.runs), 2, id)
	}
	require.Equal(t, 4, sim.countRunning("lasting"))
}

// TestSuccessorAwaitsPredecessorStops replaces the owner while a long-running task is being
// stopped. Targets report the run until it has ended, so the successor must not count it
// as available when it decides whether to stop another one.
func TestSuccessorAwaitsPredecessorStops(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 4))
	sim.runFor(4 * time.Second)
	stopped := sim.owner.jobs["lasting"].tasks[0]
	sim.owner.Advance(sim.clock())
	sim.owner.stopRun(sim.owner.targets[stopped.Target], stopped.run, "the instance is due for maintenance")
	sim.runFor(100 * time.Millisecond)
	sim.takeOver(sim.now)
	sim.runFor(300 * time.Millisecond)
	for _, other := range sim.owner.jobs["lasting"].tasks[1:] {
		require.Equal(t, confirmed, other.run.phase)
		require.False(t, sim.owner.mayEvict(other.run), other.name)
	}
	sim.runFor(5 * time.Second)
	require.Equal(t, 4, sim.countRunning("lasting"))
	require.True(t, sim.owner.mayEvict(sim.owner.jobs["lasting"].tasks[1].run))
}

// TestSuccessorAwaitsPredecessorMoves replaces the owner right after it has ordered moves
// of empty instances. The orders get lost or arrive late. The successor must not place
// tasks on these instances that such an order would end.
func TestSuccessorAwaitsPredecessorMoves(t *testing.T) {
	for _, lost := range []bool{true, false} {
		t.Run(fmt.Sprintf("lost=%v", lost), func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			sim.takeOver(sim.now - time.Hour)
			sim.runFor(time.Second)
			sim.dropMoves, sim.orderDelay = lost, 900*time.Millisecond
			sim.owner.Advance(sim.clock())
			for id := range sim.instances {
				require.True(t, sim.owner.orderMove(id, "off"))
			}
			sim.runFor(50 * time.Millisecond)
			sim.takeOver(sim.now)
			sim.submit(newLongRunningJob("lasting", 4))
			sim.runFor(300 * time.Millisecond)
			sim.dropMoves = false
			sim.runFor(20 * time.Second)
			require.Equal(t, 4, sim.countRunning("lasting"))
		})
	}
}

// TestSuccessorAwaitsPredecessorMaintenance replaces the owner right after it has ordered
// maintenance. The successor must not place tasks on these instances that such an order
// would end.
func TestSuccessorAwaitsPredecessorMaintenance(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.maxDown = 4
	order := sim.waveOfAllInstances(time.Second, 4)
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	sim.wave = []WaveOrder{order}
	sim.orderDelay = 900 * time.Millisecond
	sim.owner.SetWaves(sim.wave)
	sim.runFor(50 * time.Millisecond)
	require.Len(t, sim.orderStoredAt, 4)
	sim.takeOver(sim.now)
	sim.submit(newLongRunningJob("lasting", 4))
	sim.runFor(20 * time.Second)
	require.Len(t, sim.maintenances, 4)
	require.Equal(t, 4, sim.countRunning("lasting"))
}

// TestWaveWithIncompleteList reads one list that misses an instance, as happens when a
// list is read in pages while instances are added or removed. The wave must not complete
// before the instance was maintained.
func TestWaveWithIncompleteList(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.maxDown = 1
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	sim.wave = []WaveOrder{{Wave: 1, Instances: []string{"mt0"}, Duration: time.Second, MaxParallel: 1, SeenAt: sim.now}}
	sim.owner.Advance(sim.clock())
	sim.owner.SetWaves(sim.wave)
	complete := sim.instanceList()
	sim.owner.SetInstances(complete[1:], sim.now)
	sim.owner.Tick()
	require.False(t, sim.owner.fleet.waves[1].completed)
	sim.runFor(5 * time.Second)
	require.Len(t, sim.maintenances, 1)
	require.True(t, sim.owner.fleet.waves[1].completed)
}

// TestWaveOfRemovedInstance checks that a wave completes after its only instance was
// removed for good.
func TestWaveOfRemovedInstance(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.maxDown = 1
	sim.takeOver(sim.now - time.Hour)
	sim.runFor(time.Second)
	delete(sim.instances, "mt0")
	sim.wave = []WaveOrder{{Wave: 1, Instances: []string{"mt0"}, Duration: time.Second, MaxParallel: 1, SeenAt: sim.now}}
	sim.owner.SetWaves(sim.wave)
	sim.runFor(2 * time.Second)
	require.True(t, sim.owner.fleet.waves[1].completed)
}

// TestRepeatedTakeovers replaces the owner several times during a wave, at times with
// orders in flight. Orders of two owners for the same instance must be apart by more than
// OrderLease, and an order of an earlier owner must not arrive last.
func TestRepeatedTakeovers(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(t, seed, 8)
		sim.maxDown = 3
		order := sim.waveOfAllInstances(30*time.Second, 3)
		sim.wave = []WaveOrder{order}
		sim.takeOver(sim.now - time.Hour)
		for i := range 6 {
			sim.submit(newBatchJob(fmt.Sprintf("j%d", i), 6))
			sim.orderDelay = time.Duration(sim.random.IntN(700)) * time.Millisecond
			sim.runFor(time.Duration(500+sim.random.IntN(2500)) * time.Millisecond)
			sim.takeOver(sim.now)
		}
		sim.runFor(30 * time.Second)
		require.Len(t, sim.maintenances, 8)
	}
}
