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
func (w *simulation) waveOfAllInstances(duration time.Duration, parallel int) WaveOrder {
	return WaveOrder{
		Wave: 1, Instances: slices.Sorted(maps.Keys(w.instances)), Duration: duration, MaxParallel: parallel, SeenAt: w.now,
	}
}

// countRunning returns the number of running tasks of a job.
func (w *simulation) countRunning(job string) int {
	n := 0
	for _, x := range w.targets {
		for name := range x.runs {
			if name.Job == job && x.up {
				n++
			}
		}
	}
	return n
}

// TestWave maintains every instance while lasting and other tasks run. The wave must
// finish in time, with no more instances down than allowed and at most one task of a step
// unavailable.
func TestWave(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, seed, 8)
			w.maxDown, w.checkUnavailable = 2, true
			order := w.waveOfAllInstances(27*time.Second, 2)
			w.takeOver(w.now - time.Hour)
			w.submit(newLastingJob("lasting", 4))
			w.runFor(4 * time.Second)
			w.wave = []WaveOrder{order}
			w.owner.SetWaves(w.wave)
			for i := range 20 {
				w.runFor(time.Second)
				w.submit(newBatchJob(fmt.Sprintf("j%d", i), 4))
			}
			w.runFor(5 * time.Second)
			require.Len(t, w.maintenances, len(order.Instances))
			w.runFor(5 * time.Second)
			require.Equal(t, 4, w.countRunning("lasting"))
		})
	}
}

// TestWaveOfManyLastingTasks checks that a wave finishes in time although every instance
// runs lasting tasks, each step allows one task to be unavailable, and there is no owner
// for a fifth of the wave.
func TestWaveOfManyLastingTasks(t *testing.T) {
	const targets, duration = 30, 24 * time.Second
	w := newSimulation(t, 1, targets)
	w.maxDown, w.checkUnavailable = 12, true
	order := w.waveOfAllInstances(duration, 12)
	w.takeOver(w.now - time.Hour)
	for i := range 3 {
		w.submit(newLastingJob(fmt.Sprintf("lasting%d", i), 20))
	}
	w.runFor(4 * time.Second)
	order.SeenAt = w.now
	w.wave = []WaveOrder{order}
	w.owner.SetWaves(w.wave)
	w.runFor(duration / 2)
	w.ownerID++
	w.runFor(duration / 5)
	w.takeOver(w.now)
	w.runFor(duration - duration/2 - duration/5)
	require.Len(t, w.maintenances, targets)
}

// TestMaintainedInstancesStayMaintainedAfterMove replaces the owner after a wave. The new
// owner must not evacuate instances again that were maintained and then moved.
func TestMaintainedInstancesStayMaintainedAfterMove(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.maxDown = 2
	order := w.waveOfAllInstances(20*time.Second, 2)
	w.wave = []WaveOrder{order}
	w.takeOver(w.now - time.Hour)
	w.runFor(15 * time.Second)
	require.Len(t, w.maintenances, 4)
	w.owner.Advance(w.clock())
	for _, id := range order.Instances {
		w.owner.orderMove(id, "off")
	}
	w.runFor(3 * time.Second)
	w.takeOver(w.now + OwnershipTimeout)
	for _, m := range w.owner.fleet.waves[1].members {
		require.Equal(t, maintenanceStarted, m.state, m.instance)
	}
}

// TestLargeLastingTaskGetsReservedTarget submits a lasting task that needs most of a
// target while small tasks keep every target busy. A target must be kept free for it.
func TestLargeLastingTaskGetsReservedTarget(t *testing.T) {
	w := newSimulation(t, 1, 3)
	w.takeOver(w.now - time.Hour)
	for i := range 30 {
		w.submit(newBatchJob(fmt.Sprintf("a%d", i), 6))
		if i == 5 {
			large := newLastingJob("large", 1)
			large.Steps[0].Demand = cranjob.Resources{CPU: 1000, Memory: 7000}
			w.submit(large)
		}
		w.runFor(200 * time.Millisecond)
	}
	require.Equal(t, 1, w.countRunning("large"))
}

// TestLastingTasksSpread checks that lasting tasks of which one may be unavailable are
// spread over targets. A target with all of them could be evacuated only one task at a
// time.
func TestLastingTasksSpread(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.takeOver(w.now - time.Hour)
	w.runFor(time.Second)
	w.submit(newLastingJob("lasting", 4))
	w.runFor(4 * time.Second)
	for id, x := range w.targets {
		require.LessOrEqual(t, len(x.runs), 2, id)
	}
	require.Equal(t, 4, w.countRunning("lasting"))
}

// TestSuccessorAwaitsPredecessorStops replaces the owner while a lasting task is being
// stopped. Targets report the run until it has ended, so the successor must not count it
// as available when it decides about stopping another one.
func TestSuccessorAwaitsPredecessorStops(t *testing.T) {
	w := newSimulation(t, 1, 6)
	w.takeOver(w.now - time.Hour)
	w.submit(newLastingJob("lasting", 4))
	w.runFor(4 * time.Second)
	stopped := w.owner.jobs["lasting"].tasks[0]
	w.owner.Advance(w.clock())
	w.owner.stopRun(w.owner.targets[stopped.Target], stopped.run, "the instance is due for maintenance")
	w.runFor(100 * time.Millisecond)
	w.takeOver(w.now)
	w.runFor(300 * time.Millisecond)
	for _, other := range w.owner.jobs["lasting"].tasks[1:] {
		require.Equal(t, confirmed, other.run.phase)
		require.False(t, w.owner.mayEvict(other.run), other.name)
	}
	w.runFor(5 * time.Second)
	require.Equal(t, 4, w.countRunning("lasting"))
	require.True(t, w.owner.mayEvict(w.owner.jobs["lasting"].tasks[1].run))
}

// TestSuccessorAwaitsPredecessorMoves replaces the owner right after it has ordered moves
// of empty instances. The orders get lost or arrive late. The successor must not place
// tasks on these instances that such an order would end.
func TestSuccessorAwaitsPredecessorMoves(t *testing.T) {
	for _, lost := range []bool{true, false} {
		t.Run(fmt.Sprintf("lost=%v", lost), func(t *testing.T) {
			w := newSimulation(t, 1, 4)
			w.takeOver(w.now - time.Hour)
			w.runFor(time.Second)
			w.dropMoves, w.orderDelay = lost, 900*time.Millisecond
			w.owner.Advance(w.clock())
			for id := range w.instances {
				require.True(t, w.owner.orderMove(id, "off"))
			}
			w.runFor(50 * time.Millisecond)
			w.takeOver(w.now)
			w.submit(newLastingJob("lasting", 4))
			w.runFor(300 * time.Millisecond)
			w.dropMoves = false
			w.runFor(20 * time.Second)
			require.Equal(t, 4, w.countRunning("lasting"))
		})
	}
}

// TestSuccessorAwaitsPredecessorMaintenance replaces the owner right after it has ordered
// maintenance. The successor must not place tasks on these instances that such an order
// would end.
func TestSuccessorAwaitsPredecessorMaintenance(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.maxDown = 4
	order := w.waveOfAllInstances(time.Second, 4)
	w.takeOver(w.now - time.Hour)
	w.runFor(time.Second)
	w.wave = []WaveOrder{order}
	w.orderDelay = 900 * time.Millisecond
	w.owner.SetWaves(w.wave)
	w.runFor(50 * time.Millisecond)
	require.Len(t, w.orderStoredAt, 4)
	w.takeOver(w.now)
	w.submit(newLastingJob("lasting", 4))
	w.runFor(20 * time.Second)
	require.Len(t, w.maintenances, 4)
	require.Equal(t, 4, w.countRunning("lasting"))
}

// TestWaveWithIncompleteList reads one list that misses an instance, as happens when a
// list is read in pages while instances are added or removed. The wave must not complete
// before the instance was maintained.
func TestWaveWithIncompleteList(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.maxDown = 1
	w.takeOver(w.now - time.Hour)
	w.runFor(time.Second)
	w.wave = []WaveOrder{{Wave: 1, Instances: []string{"mt0"}, Duration: time.Second, MaxParallel: 1, SeenAt: w.now}}
	w.owner.Advance(w.clock())
	w.owner.SetWaves(w.wave)
	complete := w.instanceList()
	w.owner.SetInstances(complete[1:], w.now)
	w.owner.Tick()
	require.False(t, w.owner.fleet.waves[1].completed)
	w.runFor(5 * time.Second)
	require.Len(t, w.maintenances, 1)
	require.True(t, w.owner.fleet.waves[1].completed)
}

// TestWaveOfRemovedInstance checks that a wave completes after its only instance was
// removed for good.
func TestWaveOfRemovedInstance(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.maxDown = 1
	w.takeOver(w.now - time.Hour)
	w.runFor(time.Second)
	delete(w.instances, "mt0")
	w.wave = []WaveOrder{{Wave: 1, Instances: []string{"mt0"}, Duration: time.Second, MaxParallel: 1, SeenAt: w.now}}
	w.owner.SetWaves(w.wave)
	w.runFor(2 * time.Second)
	require.True(t, w.owner.fleet.waves[1].completed)
}

// TestRepeatedTakeovers replaces the owner several times during a wave, at times with
// orders in flight. Orders of two owners for the same instance must be apart by more than
// OrderLease, and an order of an earlier owner must not arrive last.
func TestRepeatedTakeovers(t *testing.T) {
	for seed := range uint64(6) {
		w := newSimulation(t, seed, 8)
		w.maxDown = 3
		order := w.waveOfAllInstances(30*time.Second, 3)
		w.wave = []WaveOrder{order}
		w.takeOver(w.now - time.Hour)
		for i := range 6 {
			w.submit(newBatchJob(fmt.Sprintf("j%d", i), 6))
			w.orderDelay = time.Duration(w.random.IntN(700)) * time.Millisecond
			w.runFor(time.Duration(500+w.random.IntN(2500)) * time.Millisecond)
			w.takeOver(w.now)
		}
		w.runFor(30 * time.Second)
		require.Len(t, w.maintenances, 8)
	}
}
