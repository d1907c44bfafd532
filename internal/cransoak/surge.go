package cransoak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// Machines of entry instances.
var (
	largeMachine = standin.Machine{Cores: 0.8, LinkMbps: 200, MemoryMB: 536}
	smallMachine = standin.Machine{Cores: 0.192, LinkMbps: 10, MemoryMB: 184}
)

const (
	// surgeTaskDuration is the time that a target takes to run a task, and surgeTaskCPU what a
	// task takes, in thousandths of a core.
	surgeTaskDuration = time.Second
	surgeTaskCPU      = 1600
	// surgeTurn is the time for which a rate of surgeRates holds.
	surgeTurn = 4 * time.Second
	// maxSteps, maxWidth and maxSpecBytes bound the jobs of a surge.
	maxSteps     = 3
	maxWidth     = 16
	maxSpecBytes = 3900
	minSpecBytes = 1000
	// lastingJobs long-running jobs of lastingTasks tasks run during the whole soak.
	lastingJobs  = 4
	lastingTasks = 24
	// cancelShare is the share of jobs that are cancelled, half of them within
	// soonCancelled and the others within maxCancelTime of their acceptance.
	cancelShare   = 0.2
	soonCancelled = 800 * time.Millisecond
	maxCancelTime = 3 * time.Second
	// cancelAttempts is how often a cancellation is sent until it is acknowledged.
	cancelAttempts = 4
	// stateInterval is the time between two queries for the state of a job, and stateQueries
	// the number of them.
	stateInterval = 2 * time.Second
	stateQueries  = 4
)

// surgeRates are the numbers of jobs per second, in turn. They are shares of full load.
var surgeRates = []float64{60, 25, 75, 30}

// fullLoadTargets is the number of targets for which surgeRates hold.
const fullLoadTargets = 349

// runSurges submits jobs until submitCtx ends.
func (s *soak) runSurges(ctx, submitCtx context.Context, random *rand.Rand) {
	for n := range lastingJobs {
		j := standin.Job{Steps: []int{max(1, lastingTasks*s.Targets/fullLoadTargets)}, CPU: surgeTaskCPU, Estimate: surgeTaskDuration, LongRunning: true}
		address := s.entries[random.IntN(s.Entries)].frontAddress
		s.group.Go(func() { s.submit(ctx, n, address, j) })
	}
	load := float64(s.Targets) / fullLoadTargets
	begin := time.Now()
	next := begin
	for n := lastingJobs; submitCtx.Err() == nil; n++ {
		turn := int(next.Sub(begin)/surgeTurn) % len(surgeRates)
		next = next.Add(time.Duration(random.ExpFloat64() / (load * surgeRates[turn]) * float64(time.Second)))
		c := s.surgeCall(random)
		cranpause.Sleep(submitCtx, time.Until(next))
		s.group.Go(func() { s.play(ctx, n, c) })
	}
}

// surgeCall is what a caller does with a job.
type surgeCall struct {
	job standin.Job
	// address is the entry instance that takes the job, and other the one that is asked
	// later.
	address, other string
	// cancelAfter is the time from the acceptance to the cancellation; 0 if there is none.
	cancelAfter time.Duration
}

func (s *soak) surgeCall(random *rand.Rand) surgeCall {
	c := surgeCall{
		job: standin.Job{
			CPU: surgeTaskCPU, Estimate: surgeTaskDuration, SpecBytes: minSpecBytes + random.IntN(maxSpecBytes-minSpecBytes),
		},
		address: s.entries[random.IntN(s.Entries)].frontAddress,
		other:   s.entries[random.IntN(s.Entries)].frontAddress,
	}
	for range 1 + random.IntN(maxSteps) {
		c.job.Steps = append(c.job.Steps, 1+random.IntN(maxWidth))
	}
	if random.Float64() < cancelShare {
		limit := maxCancelTime
		if random.IntN(2) == 0 {
			limit = soonCancelled
		}
		c.cancelAfter = time.Duration(1 + random.Int64N(int64(limit)))
	}
	return c
}

// play submits a job, and cancels it or asks for its state until it has ended.
func (s *soak) play(ctx context.Context, n int, c surgeCall) {
	if s.submit(ctx, n, c.address, c.job) != standin.OutcomeAccepted {
		return
	}
	if c.cancelAfter > 0 {
		cranpause.Sleep(ctx, c.cancelAfter)
		for range cancelAttempts {
			if s.cancel(ctx, n, c.other) {
				return
			}
		}
		return
	}
	for range stateQueries {
		cranpause.Sleep(ctx, stateInterval)
		if state, _ := s.caller.State(ctx, c.other, jobID(n)); state == "completed" {
			return
		}
	}
}
