package cransched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// callerDelay is how long after the end of a job its caller learns of it.
const callerDelay = 260 * time.Millisecond

// workOf returns the longest chain of work of a job whose tasks have all ended, and the CPU seconds that it took.
func (sim *simulation) workOf(j *cranjob.Job) (chain time.Duration, work float64) {
	for i := range j.Steps {
		longest := time.Duration(0)
		for index := range j.Steps[i].Count {
			d := sim.durations[cranjob.TaskName{Job: j.ID, Step: i, Index: index}]
			longest = max(longest, d)
			work += d.Seconds() * float64(j.Steps[i].Reservation().CPU)
		}
		chain += longest
	}
	return chain, work
}

// servedInTime returns how many callers of a queue have learnt by their objective that their job has completed, and
// a bound of how many could have: as many jobs as the pool has CPU time for from the first receipt to the last
// objective, the smallest ones.
func (sim *simulation) servedInTime(queue string) (served, bound int) {
	q := sim.config.Queues[queue]
	capacity := 0
	for _, tgt := range sim.targets {
		if tgt.info.Pool == q.Pool {
			capacity += tgt.info.Capacity.CPU
		}
	}
	var works []float64
	first, last := int64(0), int64(0)
	for id, j := range sim.jobs {
		e, _ := sim.stored.Lookup(id)
		if j.Queue != queue || e.State() != cranjob.Completed {
			continue
		}
		chain, work := sim.workOf(j)
		objectiveMs := j.ReceivedMs + int64(q.Stretch*float64(chain.Milliseconds())) + q.LatencyTarget.Milliseconds()
		if e.Progress().EndedMs+callerDelay.Milliseconds() <= objectiveMs {
			served++
		}
		works = append(works, work)
		if first == 0 || j.ReceivedMs < first {
			first = j.ReceivedMs
		}
		last = max(last, objectiveMs)
	}
	slices.Sort(works)
	left := float64(capacity) * float64(last-first) / 1000
	for _, work := range works {
		if left -= work; left < 0 {
			break
		}
		bound++
	}
	return served, bound
}

// TestOverloadedPoolServesJobsInTime guards against starting every job of a backlog when it is too late for its caller.
func TestOverloadedPoolServesJobsInTime(t *testing.T) {
	const (
		targets  = 20
		jobs     = 150
		interval = 66 * time.Millisecond
	)
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, targets)
			sim.failureRate, sim.longPolls, sim.dropMoves = 0, true, true
			sim.takeOver(sim.now - time.Hour)
			sim.runFor(time.Second)
			for i := range 40 {
				sim.submit(newBatchJob(fmt.Sprintf("warm%d", i), 4))
				sim.runFor(150 * time.Millisecond)
			}
			sim.config.Queues["u"] = &Queue{Name: "u", Pool: "p", Attempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond}
			for i := range jobs {
				j := newBatchJob(fmt.Sprintf("j%d", i), 3+i%7)
				j.Queue = "u"
				sim.submit(j)
				sim.runFor(interval)
			}
			sim.runFor(30 * time.Second)
			served, bound := sim.servedInTime("u")
			t.Logf("served in time: %d of %d, bound %d", served, jobs, bound)
			require.GreaterOrEqual(t, 2*served, bound)
		})
	}
}
