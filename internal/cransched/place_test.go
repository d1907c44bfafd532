package cransched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// checkPlacement checks that a target may get a task: it has the required label, fewer
// than MaxPerTarget tasks of the step, and isn't draining.
func (sim *simulation) checkPlacement(tgt *simTarget, e StartRun) {
	step := sim.jobs[e.Task.Job].Steps[e.Task.Step]
	if step.Requires != "" {
		require.Contains(sim.t, tgt.info.Labels, step.Requires, "%v: %v starts on %s", sim.now, e.Task, tgt.info.ID)
	}
	sameStep := 0
	for name := range tgt.runs {
		if name.Job == e.Task.Job && name.Step == e.Task.Step && name.Occurrence == e.Task.Occurrence {
			sameStep++
		}
	}
	if step.MaxPerTarget > 0 {
		require.Less(sim.t, sameStep, step.MaxPerTarget, "%v: %v starts on %s", sim.now, e.Task, tgt.info.ID)
	}
	require.False(sim.t, tgt.info.Draining, "%v: %v starts on %s, which is draining", sim.now, e.Task, tgt.info.ID)
}

// TestLabelsAndSpread submits jobs that require a label which few targets have and jobs
// with a MaxPerTarget of one, while other jobs fill the pool.
func TestLabelsAndSpread(t *testing.T) {
	sim := newSimulation(t, 1, 5)
	sim.failureRate = 0
	for _, id := range []string{"t1", "t3"} {
		sim.targets[id].info.Labels = []string{"a", "fast", "r1"}
	}
	sim.takeOver(sim.now - time.Hour)
	for i := range 8 {
		labelled, spread := newBatchJob(fmt.Sprintf("labelled%d", i), 4), newBatchJob(fmt.Sprintf("spread%d", i), 7)
		for k := range labelled.Steps {
			labelled.Steps[k].Requires = "fast"
			spread.Steps[k].MaxPerTarget = 1
		}
		sim.submit(labelled)
		sim.submit(spread)
		sim.submit(newBatchJob(fmt.Sprintf("other%d", i), 4))
		sim.runFor(300 * time.Millisecond)
	}
	sim.runFor(30 * time.Second)
	for id, state := range sim.states() {
		require.Equal(t, cranjob.Completed, state, id)
	}
}

// TestDrainingTarget drains a busy target. It must get no new tasks, its long-running tasks
// must move, and its other tasks must run to their end.
func TestDrainingTarget(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	sim.submit(newLongRunningJob("lasting", 4))
	for i := range 20 {
		sim.submit(newBatchJob(fmt.Sprintf("j%d", i), 4))
		sim.runFor(100 * time.Millisecond)
	}
	sim.targets["t0"].info.Draining = true
	for i := range 20 {
		sim.submit(newBatchJob(fmt.Sprintf("k%d", i), 4))
		sim.runFor(100 * time.Millisecond)
	}
	sim.runFor(60 * time.Second)
	require.Empty(t, sim.targets["t0"].runs)
	require.Equal(t, 4, sim.countRunning("lasting"))
	for id, state := range sim.states() {
		if id != "lasting" {
			require.Equal(t, cranjob.Completed, state, id)
		}
	}
}

// scheduleGangEnd lets the tasks of a gang end together once all have started.
func (sim *simulation) scheduleGangEnd(e StartRun, endsAt time.Duration) {
	var members []*simRun
	for _, tgt := range sim.targets {
		for name, r := range tgt.runs {
			if name.Job == e.Task.Job && name.Step == e.Task.Step && r.number == e.Run && tgt.up {
				members = append(members, r)
			}
		}
	}
	for _, r := range members {
		r.endsAt = sim.now + time.Hour
		if len(members) == sim.jobs[e.Task.Job].Steps[e.Task.Step].Count {
			r.endsAt = endsAt
		}
	}
}

// TestGang submits gangs among other jobs to a pool that is full at first. The tasks of a
// gang must start together under the same run number, or not at all.
func TestGang(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.failureRate = 0
	sim.takeOver(sim.now - time.Hour)
	for i := range 12 {
		sim.submit(newBatchJob(fmt.Sprintf("j%d", i), 6))
		gang := newBatchJob(fmt.Sprintf("gang%d", i), 5)
		gang.Steps[0].Gang = true
		sim.submit(gang)
		sim.runFor(200 * time.Millisecond)
	}
	sim.runFor(40 * time.Second)
	type key struct {
		job string
		run int
	}
	at := map[key][]time.Duration{}
	for _, e := range sim.starts {
		if sim.jobs[e.Task.Job].Steps[e.Task.Step].Gang {
			k := key{e.Task.Job, e.Run}
			at[k] = append(at[k], e.at)
		}
	}
	require.Len(t, at, 12)
	for k, times := range at {
		require.Len(t, times, 5, "%v", k)
		require.Less(t, slices.Max(times)-slices.Min(times), 100*time.Millisecond, "%v", k)
	}
}
