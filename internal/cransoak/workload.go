package cransoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// jobID returns the ID of the job with number n, in 16 hexadecimal digits. Job 0 is
// the long-running one.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// runWorkload submits jobs and injects faults for the duration of the soak.
func (s *soak) runWorkload(ctx context.Context) error {
	boundedCtx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	// Callers have a separate random source, so that the faults of a seed don't depend
	// on how fast responses arrive.
	callerRandom := rand.New(rand.NewPCG(s.Seed, 1))
	if s.Surges {
		s.group.Go(func() { s.runSurges(ctx, boundedCtx, callerRandom) })
		s.runSeries(ctx, boundedCtx)
		s.group.Wait()
		return nil
	}
	s.group.Go(func() {
		s.submit(ctx, 0, s.entries[0].frontAddress, smallJob(longRunningTasks, true))
		for n := 1; boundedCtx.Err() == nil; n++ {
			address, tasks, shouldCancel := s.entries[callerRandom.IntN(s.Entries)].frontAddress, 1+callerRandom.IntN(4), callerRandom.IntN(8) == 0
			s.group.Go(func() {
				s.submit(ctx, n, address, s.tenantJob(n%tenantCount, tasks))
				if shouldCancel {
					s.cancel(ctx, n, address)
				}
			})
			cranpause.Sleep(boundedCtx, time.Duration(callerRandom.Int64N(int64(maxSubmitInterval))))
		}
	})
	s.runConfigs(boundedCtx)
	if s.tenants != nil {
		s.tenants.run(boundedCtx, ctx)
	}
	for boundedCtx.Err() == nil {
		cranpause.Sleep(boundedCtx, time.Duration(s.random.Int64N(int64(maxFaultInterval))))
		if err := s.injectFault(boundedCtx); err != nil {
			return err
		}
	}
	s.group.Wait()
	return nil
}

// smallJob returns a job of one step.
func smallJob(tasks int, longRunning bool) standin.Job {
	return standin.Job{Steps: []int{tasks}, CPU: taskCPU, Estimate: taskDuration, LongRunning: longRunning}
}

// submit submits a job under the ID with number n and records the outcome. Until the job is accepted, it retries
// up to three times, at the entry instances in turn.
func (s *soak) submit(ctx context.Context, n int, address string, j standin.Job) standin.Outcome {
	outcome := standin.OutcomeRefused
	j.ID = jobID(n)
	for attempt := range 4 {
		response := s.callerOf(n).SubmitJob(ctx, address, j)
		if response == standin.OutcomeUnauthenticated {
			s.addViolation("%s: %s refused a permanent key", j.ID, address)
			response = standin.OutcomeRefused
		}
		// If any attempt may have had an effect, a later refusal does not make the outcome
		// certain.
		if response != standin.OutcomeRefused && outcome != standin.OutcomeAccepted {
			outcome = response
		}
		if response == standin.OutcomeAccepted {
			break
		}
		address = s.entries[(n+attempt)%s.Entries].frontAddress
		cranpause.Sleep(ctx, maxSubmitInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[j.ID] = outcome
	if j.LongRunning {
		for _, count := range j.Steps {
			s.longRunning[j.ID] += count
		}
	}
	switch outcome {
	case standin.OutcomeAccepted:
		s.report.Accepted++
	case standin.OutcomeRefused:
		s.report.Refused++
	default:
		s.report.Unknown++
	}
	return outcome
}

// cancel records that a job is being cancelled and cancels it. It reports whether the
// cancellation was acknowledged.
func (s *soak) cancel(ctx context.Context, n int, address string) bool {
	s.mu.Lock()
	s.cancelled[jobID(n)] = true
	s.mu.Unlock()
	outcome := s.callerOf(n).Cancel(ctx, address, jobID(n))
	if outcome != standin.OutcomeAccepted && outcome != standin.OutcomeNotFound {
		return false
	}
	s.mu.Lock()
	s.report.Cancelled++
	s.mu.Unlock()
	return true
}
