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
func (w *simulation) checkPlacement(x *simTarget, e StartRun) {
	step := w.jobs[e.Task.Job].Steps[e.Task.Step]
	if step.Requires != "" {
		require.Contains(w.t, x.info.Labels, step.Requires, "%v: %v starts on %s", w.now, e.Task, x.info.ID)
	}
	sameStep := 0
	for name := range x.runs {
		if name.Job == e.Task.Job && name.Step == e.Task.Step && name.Occurrence == e.Task.Occurrence {
			sameStep++
		}
	}
	if step.MaxPerTarget > 0 {
		require.Less(w.t, sameStep, step.MaxPerTarget, "%v: %v starts on %s", w.now, e.Task, x.info.ID)
	}
	require.False(w.t, x.info.Draining, "%v: %v starts on %s, which is draining", w.now, e.Task, x.info.ID)
}

// TestLabelsAndSpread submits jobs that require a label which few targets have and jobs
// with a MaxPerTarget of one, while other jobs fill the pool.
func TestLabelsAndSpread(t *testing.T) {
	w := newSimulation(t, 1, 5)
	w.failureRate = 0
	for _, id := range []string{"t1", "t3"} {
		w.targets[id].info.Labels = []string{"a", "fast", "r1"}
	}
	w.takeOver(w.now - time.Hour)
	for i := range 8 {
		labelled, spread := newBatchJob(fmt.Sprintf("labelled%d", i), 4), newBatchJob(fmt.Sprintf("spread%d", i), 7)
		for k := range labelled.Steps {
			labelled.Steps[k].Requires = "fast"
			spread.Steps[k].MaxPerTarget = 1
		}
		w.submit(labelled)
		w.submit(spread)
		w.submit(newBatchJob(fmt.Sprintf("other%d", i), 4))
		w.runFor(300 * time.Millisecond)
	}
	w.runFor(30 * time.Second)
	for id, state := range w.states() {
		require.Equal(t, cranjob.Completed, state, id)
	}
}

// TestDrainingTarget drains a busy target. It must get no new tasks, its lasting tasks
// must move, and its other tasks must run to their end.
func TestDrainingTarget(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.failureRate = 0
	w.takeOver(w.now - time.Hour)
	w.submit(newLastingJob("lasting", 4))
	for i := range 20 {
		w.submit(newBatchJob(fmt.Sprintf("j%d", i), 4))
		w.runFor(100 * time.Millisecond)
	}
	w.targets["t0"].info.Draining = true
	for i := range 20 {
		w.submit(newBatchJob(fmt.Sprintf("k%d", i), 4))
		w.runFor(100 * time.Millisecond)
	}
	w.runFor(60 * time.Second)
	require.Empty(t, w.targets["t0"].runs)
	require.Equal(t, 4, w.countRunning("lasting"))
	for id, state := range w.states() {
		if id != "lasting" {
			require.Equal(t, cranjob.Completed, state, id)
		}
	}
}

// scheduleGangEnd lets the tasks of a gang end together once all have started.
func (w *simulation) scheduleGangEnd(e StartRun, endsAt time.Duration) {
	var members []*simRun
	for _, x := range w.targets {
		for name, r := range x.runs {
			if name.Job == e.Task.Job && name.Step == e.Task.Step && r.number == e.Run && x.up {
				members = append(members, r)
			}
		}
	}
	for _, r := range members {
		r.endsAt = w.now + time.Hour
		if len(members) == w.jobs[e.Task.Job].Steps[e.Task.Step].Count {
			r.endsAt = endsAt
		}
	}
}

// TestGang submits gangs among other jobs to a pool that is full at first. The tasks of a
// gang must start together under the same run number, or not at all.
func TestGang(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.failureRate = 0
	w.takeOver(w.now - time.Hour)
	for i := range 12 {
		w.submit(newBatchJob(fmt.Sprintf("j%d", i), 6))
		gang := newBatchJob(fmt.Sprintf("gang%d", i), 5)
		gang.Steps[0].Gang = true
		w.submit(gang)
		w.runFor(200 * time.Millisecond)
	}
	w.runFor(40 * time.Second)
	type key struct {
		job string
		run int
	}
	at := map[key][]time.Duration{}
	for _, e := range w.starts {
		if w.jobs[e.Task.Job].Steps[e.Task.Step].Gang {
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
