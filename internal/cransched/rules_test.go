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

// batchJob returns a job of two steps.
func batchJob(id string, width int) *cranjob.Job {
	demand := cranjob.Resources{CPU: 900, Memory: 1500}
	return &cranjob.Job{ID: id, Spec: id, Steps: []cranjob.Step{
		{Count: width, Demand: demand, EstimateMs: 800},
		{Count: width, Demand: demand, EstimateMs: 600, After: []int{0}},
	}}
}

func lastingJob(id string, width int) *cranjob.Job {
	return &cranjob.Job{ID: id, Spec: id, Steps: []cranjob.Step{
		{Count: width, Demand: cranjob.Resources{CPU: 1000, Memory: 1000}, EstimateMs: 900, Lasting: true, MaxUnavailable: 1},
	}}
}

// TestCalmDay submits more than the pool holds at once and expects every job
// to end.
func TestCalmDay(t *testing.T) {
	w := newWorld(t, 1, 5)
	w.takeOver(w.now - time.Hour)
	w.submit(lastingJob("lasting", 3))
	for i := range 12 {
		w.run(150 * time.Millisecond)
		w.submit(batchJob(fmt.Sprintf("j%d", i), 6))
	}
	w.run(20 * time.Second)
	for id, state := range w.states() {
		if id == "lasting" {
			require.Equal(t, cranjob.Running, state)
			continue
		}
		require.True(t, state == cranjob.Completed || state == cranjob.Failed, "%s is %s", id, state)
	}
}

// TestRulesUnderFaults plays random faults against the rules that world
// judges: orders lost, unanswered or carried out late, targets cut off,
// restarted or gone, owners replaced at any moment, jobs cancelled. After the
// faults every job has to end.
func TestRulesUnderFaults(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 12
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playFaults(t, seed) })
	}
}

func playFaults(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 6)
	w.lingering = seed%2 == 1
	w.takeOver(w.now - time.Hour)
	w.submit(lastingJob("lasting", 4))
	w.lost, w.unanswered, w.late = 0.02, 0.03, 0.04
	jobs := 0
	for range 60 {
		w.run(time.Duration(100+w.random.IntN(400)) * time.Millisecond)
		ids := slices.Sorted(maps.Keys(w.fleet))
		if len(ids) == 0 {
			continue
		}
		victim := ids[w.random.IntN(len(ids))]
		switch w.random.IntN(12) {
		case 0:
			w.fleet[victim].cut = !w.fleet[victim].cut
		case 1:
			w.restart(victim)
		case 2:
			w.fleet[victim].up = false
		case 3:
			// The former owner stopped when its newest append was confirmed.
			w.takeOver(w.now + OwnershipTimeout)
		case 4:
			if jobs > 0 {
				w.cancel(fmt.Sprintf("j%d", w.random.IntN(jobs)))
			}
		default:
			w.submit(batchJob(fmt.Sprintf("j%d", jobs), 2+w.random.IntN(6)))
			jobs++
		}
	}
	w.lost, w.unanswered, w.late = 0, 0, 0
	for id, x := range w.fleet {
		x.cut = false
		if !x.up {
			w.restart(id)
		}
	}
	w.run(70 * time.Second)
	for id, state := range w.states() {
		if id != "lasting" {
			require.True(t, state.Final(), "%s is %s after the faults", id, state)
		}
	}
}

// TestDarkTarget has a target fall silent for good and expects its tasks to
// run elsewhere once its lease has lapsed: unanswered holds renew nothing.
func TestDarkTarget(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.takeOver(w.now - time.Hour)
	w.submit(lastingJob("lasting", 3))
	w.run(3 * time.Second)
	for _, x := range w.fleet {
		if len(x.runs) > 0 {
			x.cut = true
		}
	}
	w.run(8 * time.Second)
	running := 0
	for _, x := range w.fleet {
		if !x.cut {
			running += len(x.runs)
		}
	}
	require.Equal(t, 3, running)
}

// TestLateEnd has a target finish a task while it can't be reached and come
// back after the lease has lapsed and the task was started elsewhere: the end
// must not be acknowledged, as if it had counted all the while.
func TestLateEnd(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.takeOver(w.now - time.Hour)
	w.submit(batchJob("j", 1))
	w.run(100 * time.Millisecond)
	var first *simTarget
	for _, x := range w.fleet {
		if len(x.runs) > 0 {
			first = x
		}
	}
	first.cut = true
	name := cranjob.TaskName{Job: "j"}
	first.runs[name].how = OutcomeDone
	w.run(6 * time.Second)
	require.Greater(t, len(w.starts), 1)
	first.cut = false
	w.run(5 * time.Second)
	for _, e := range first.ends {
		if e.Task == name {
			require.Equal(t, OutcomeDone, e.Outcome)
			return
		}
	}
	require.Fail(t, "the end was acknowledged")
}

// TestLapseAfterWaitingHold cuts a target off after holds that it answered at
// the end of their wait. What runs there goes on until the lease of the newest
// hold has ended on the target's clock, and no other run may begin before.
func TestLapseAfterWaitingHold(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 2)
		w.lingering = true
		w.takeOver(w.now - time.Hour)
		w.submit(lastingJob("lasting", 1))
		w.run(5*time.Second + time.Duration(seed)*110*time.Millisecond)
		name := cranjob.TaskName{Job: "lasting"}
		for _, x := range w.fleet {
			x.cut = x.runs[name] != nil
		}
		w.run(12 * time.Second)
		held := 0
		for _, x := range w.fleet {
			if x.runs[name] != nil && !x.cut {
				held++
			}
		}
		require.Equal(t, 1, held)
	}
}
