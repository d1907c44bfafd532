package cranoverload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// The queue's objective is stretch times the longest path of tasks, plus latencyTarget.
	stretch       = 1.6
	latencyTarget = 600 * time.Millisecond
	// deliveryTime is how long after the end of a job its caller learns of it.
	deliveryTime = 260 * time.Millisecond

	minWidth, maxWidth         = 3, 9
	firstStepMs, secondStepMs  = 800, 600
	meanJobWork                = (minWidth + maxWidth) / 2. * (firstStepMs + secondStepMs) / 1000
	minDuration, durationRange = 0.5, 1.0

	// warmUp precedes the surge, at the factor warmUpFactor. The owner learns run times in it.
	warmUp       = 10 * time.Second
	warmUpFactor = 0.5

	// The tenant calm sends up to calmLoad of the capacity and is entitled to calmEntitlement of it. The tenant
	// hot sends all other jobs and is entitled to hotEntitlement.
	calm, hot                       = "calm", "hot"
	calmLoad                        = 0.4
	calmEntitlement, hotEntitlement = 0.5, 0.1

	maxRetries  = 4
	retryWindow = 3 * time.Second
)

// job is a job and what happened to it. Times are 0 until the event has happened.
type job struct {
	*cranjob.Job
	// durations holds the run time of each task.
	durations map[cranjob.TaskName]time.Duration
	// chain is the sum of the longest run times of the steps.
	chain time.Duration
	// counted is set for the jobs of the surge.
	counted bool
	sent    int
	// sentAt is when the caller first sent the job.
	sentAt, acceptedAt, startedAt, endedAt time.Duration
	// failed is set if the job has ended without success.
	failed bool
	// work is what its tasks have done during the surge, in seconds of a slot.
	work float64
}

// inTime reports whether the caller has learned by the objective that the job has completed.
func (j *job) inTime() bool {
	objective := j.sentAt + time.Duration(stretch*float64(j.chain)) + latencyTarget
	return j.endedAt > 0 && !j.failed && j.endedAt+deliveryTime <= objective
}

// jobsPerSecond returns how many jobs per second are a fraction of the capacity.
func (s *simulation) jobsPerSecond(fraction float64) float64 {
	return fraction * float64(s.slots()) / meanJobWork
}

// scheduleCallers schedules the jobs that are sent at random times at a constant rate until the given end.
func (s *simulation) scheduleCallers(random *rand.Rand, from, to time.Duration, factor float64, counted bool) {
	calmShare := calmLoad * min(factor, 1) / factor
	gap := func() time.Duration {
		return time.Duration(random.ExpFloat64() / s.jobsPerSecond(factor) * float64(time.Second))
	}
	for at := from + gap(); at < to; at += gap() {
		j := newJob(random)
		j.Tenant, j.sentAt, j.counted = hot, at, counted
		if random.Float64() < calmShare {
			j.Tenant = calm
		}
		s.jobs[j.ID] = j
		s.Schedule(at, func() { s.send(j) })
	}
}

// newJob returns a job of random width and run times.
func newJob(random *rand.Rand) *job {
	id := fmt.Sprintf("%016x", random.Uint64())
	width := minWidth + random.IntN(maxWidth-minWidth+1)
	demand := cranjob.Resources{CPU: taskCPU, Memory: taskMemory}
	j := &job{durations: map[cranjob.TaskName]time.Duration{}, Job: &cranjob.Job{ID: id, Queue: queueName, Pool: poolName, Spec: id, Steps: []cranjob.Step{
		{Count: width, Demand: demand, EstimateMs: firstStepMs},
		{Count: width, Demand: demand, EstimateMs: secondStepMs, After: []int{0}},
	}}}
	for i, step := range j.Steps {
		longest := time.Duration(0)
		for index := range step.Count {
			d := time.Duration(float64(step.EstimateMs) * (minDuration + durationRange*random.Float64()) * float64(time.Millisecond))
			j.durations[cranjob.TaskName{Job: id, Step: i, Index: index}] = d
			longest = max(longest, d)
		}
		j.chain += longest
	}
	return j
}

// send sends a job to an entry instance. If it is refused, it is sent again after the Retry-After if callers do that.
func (s *simulation) send(j *job) {
	j.sent++
	admitted, retryAfter := s.admits(j)
	if admitted {
		s.accept(j)
		return
	}
	again := s.Now() + retryAfter
	if s.settings.Retries && j.sent <= maxRetries && again <= j.sentAt+retryWindow {
		s.Schedule(again, func() { s.send(j) })
		return
	}
	s.open--
}

// accept stores a job and adds it to the owner.
func (s *simulation) accept(j *job) {
	j.acceptedAt, j.ReceivedMs = s.Now(), s.clock().UnixMs
	s.waiting++
	s.store(cranjob.SubmissionKey(j.ID), cranjob.Encode(*j.Job))
	s.scheduler.Advance(s.clock())
	s.scheduler.AddJob(j.Job)
}
