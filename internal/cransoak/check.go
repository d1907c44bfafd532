package cransoak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// jobPollInterval is the interval between queries for a job that has not ended.
const jobPollInterval = 200 * time.Millisecond

// surgeCheckShare is the divisor of the jobs of surges that are checked at each entry instance.
const surgeCheckShare = 8

// checkResults adds all violations to the report and returns it. It checks the
// violations that the targets recorded and those of answers about routes, whether each process is ready and has never
// panicked, the state of each job at each entry instance, and whether all tasks of the
// long-running job are running if it was accepted.
func (s *soak) checkResults(ctx context.Context) {
	boundedCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ledger := s.deployment.Ledger()
	jobs := slices.Sorted(maps.Keys(s.outcomes))
	for _, id := range jobs {
		if s.outcomes[id] == standin.OutcomeRefused && ledger.JobStarted(id) {
			s.addViolation("%s: it was refused, but a task of it started", id)
		}
	}
	var checks sync.WaitGroup
	for number, e := range s.entries {
		checks.Go(func() {
			if err := e.awaitReady(boundedCtx); err != nil {
				s.addViolation("%v", err)
			}
			if e.panicked() {
				s.addViolation("%s has panicked; see %s", e.name, e.logFile)
			}
			for i, id := range jobs {
				if s.outcomes[id] == standin.OutcomeAccepted && (!s.Surges || (i+number)%surgeCheckShare == 0) {
					s.checkJob(boundedCtx, e, id)
				}
			}
		})
	}
	checks.Wait()
	for _, id := range slices.Sorted(maps.Keys(s.longRunning)) {
		expected := s.longRunning[id]
		if s.outcomes[id] != standin.OutcomeAccepted {
			continue
		}
		for ledger.RunningTasks(id) != expected && boundedCtx.Err() == nil {
			cranpause.Sleep(boundedCtx, jobPollInterval)
		}
		if n := ledger.RunningTasks(id); n != expected {
			s.addViolation("%s: %d of %d long-running tasks are running", id, n, expected)
		}
	}
}

// finishReport returns the report with the violations that the ledger has found.
func (s *soak) finishReport() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(append(s.deployment.Ledger().Violations(), s.configs.violations...), s.report.Violations...)
	return s.report
}

// addViolation adds a violation to the report.
func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}

// checkJob compares the state of an accepted job at an entry instance with what the targets ran.
func (s *soak) checkJob(ctx context.Context, e *entry, id string) {
	longRunning := s.longRunning[id] > 0
	state, outcome := "", standin.OutcomeUnknown
	for ctx.Err() == nil {
		state, outcome = s.callerOf(0).State(ctx, e.frontAddress, id)
		if outcome == standin.OutcomeNotFound || state == "completed" || state == "failed" || state == "cancelled" || longRunning && state == "running" {
			break
		}
		cranpause.Sleep(ctx, jobPollInterval)
	}
	switch {
	case outcome == standin.OutcomeNotFound:
		s.addViolation("%s: it was accepted, but %s responds that it does not exist", id, e.name)
	case state == "cancelled" && !s.cancelled[id], state == "failed":
		s.addViolation("%s: %s reports it as %s, which nothing in the soak causes", id, e.name, state)
	case state != "completed" && state != "cancelled" && !longRunning:
		s.addViolation("%s: its state is %q at %s after %v", id, state, e.name, settleTimeout)
	case state == "completed" && !s.deployment.Ledger().StartedTasksDone(id):
		s.addViolation("%s: %s reports it as completed before its tasks were done", id, e.name)
	}
}
