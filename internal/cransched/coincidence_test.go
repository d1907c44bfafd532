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

// goDark ends the process of a target without a sign. Another process has its address after a time,
// with a new id or with the same one.
func (sim *simulation) goDark(id string, length time.Duration) {
	tgt := sim.targets[id]
	if tgt == nil || !tgt.up {
		return
	}
	tgt.up = false
	sim.schedule(length, func() {
		instance := sim.instances[tgt.info.Instance]
		if sim.targets[id] != tgt || instance.target != id || instance.busyUntil != 0 {
			return
		}
		if sim.keepIDs {
			sim.restart(id)
		} else {
			delete(sim.targets, id)
			sim.startNewProcess(tgt.info.Instance, instance)
		}
		sim.targets[instance.target].info.Address = tgt.info.Address
	})
}

// rackOf returns the ids of the targets on the instances of a rack.
func (sim *simulation) rackOf(rack, racks int) []string {
	var ids []string
	for n, instance := range slices.Sorted(maps.Keys(sim.instances)) {
		if n%racks == rack {
			ids = append(ids, sim.instances[instance].target)
		}
	}
	return ids
}

// runBriefJobs submits jobs of many brief tasks for a duration.
func (sim *simulation) runBriefJobs(duration time.Duration) { sim.runTasksOf(640, duration) }

// runTasksOf submits jobs of many small tasks of an estimated duration for some time.
func (sim *simulation) runTasksOf(estimateMs int64, duration time.Duration) {
	for end := sim.now + duration; sim.now < end; {
		sim.background++
		j := newBatchJob(fmt.Sprintf("b%d", sim.background), 6)
		for i := range j.Steps {
			j.Steps[i].EstimateMs = estimateMs
			j.Steps[i].Demand = cranjob.Resources{CPU: 300, Memory: 500}
		}
		sim.submit(j)
		sim.runFor(150 * time.Millisecond)
	}
}

// TestCrashesOfSingleTargetsGiveNoTaskUp is like TestCrashesOfRacksGiveNoTaskUp for one target at a time.
func TestCrashesOfSingleTargetsGiveNoTaskUp(t *testing.T) {
	seeds := uint64(8)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 9)
			sim.failureRate, sim.longPolls, sim.keepIDs = 0, true, seed%2 == 0
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 4))
			sim.runBriefJobs(2 * time.Second)
			for range 40 {
				ids := slices.Sorted(maps.Keys(sim.targets))
				sim.goDark(ids[sim.random.IntN(len(ids))], 800*time.Millisecond)
				sim.runBriefJobs(time.Duration(300+sim.random.IntN(1000)) * time.Millisecond)
			}
			sim.runFor(60 * time.Second)
			sim.requireBackgroundCompleted()
			require.Equal(t, 4, sim.countRunning("lasting"))
			sim.requireNothingHeld()
		})
	}
}

// TestCrashesOfRacksGiveNoTaskUp guards against sound jobs that are shown as failed, and lasting ones
// that are ended, because racks of targets crash under them again and again (LOST).
func TestCrashesOfRacksGiveNoTaskUp(t *testing.T) {
	const racks = 3
	seeds := uint64(8)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 9)
			sim.failureRate, sim.longPolls, sim.keepIDs = 0, true, seed%2 == 0
			sim.takeOver(sim.now - time.Hour)
			sim.submit(newLongRunningJob("lasting", 4))
			sim.runBriefJobs(2 * time.Second)
			for n := range 30 {
				for _, id := range sim.rackOf(n%racks, racks) {
					sim.goDark(id, 800*time.Millisecond)
				}
				sim.runBriefJobs(800 * time.Millisecond)
				if seed%4 == 3 && n == 15 {
					sim.takeOver(sim.now + OwnershipTimeout)
				}
			}
			sim.runFor(60 * time.Second)
			sim.requireBackgroundCompleted()
			require.Equal(t, 4, sim.countRunning("lasting"))
			sim.requireNothingHeld()
		})
	}
}

// TestSlowTrialsGiveTaskUp guards against a task that crashes target after target, since its owner polls
// them too late to know how soon they do (the users' limit of starts after three crashes).
func TestSlowTrialsGiveTaskUp(t *testing.T) {
	sim := newCrashSimulation(t, 1)
	sim.deadly[cranjob.TaskName{Job: "deadly", Index: 1}] = 100 * time.Millisecond
	sim.submit(newBatchJob("deadly", 4))
	sim.runBackground(20 * time.Second)
	sim.runFor(10 * time.Second)
	require.Equal(t, cranjob.Failed, sim.states()["deadly"])
	require.LessOrEqual(t, sim.crashed, 3)
	sim.requireBackgroundCompleted()
}
