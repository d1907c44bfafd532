package cransoak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// jobPollInterval is the interval between queries for a job that has not ended.
const jobPollInterval = 200 * time.Millisecond

// checkResults adds all violations to the report and returns it. It checks the
// violations that the targets recorded and those of answers about routes, whether each process is ready and has never
// panicked, the state of each job at each entry instance, and whether all tasks of the
// long-running job are running if it was accepted.
func (s *soak) checkResults(ctx context.Context) Report {
	boundedCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	r := &s.report
	r.Violations = append(r.Violations, s.deployment.Ledger().Violations()...)
	r.Violations = append(r.Violations, s.configs.violations...)
	for _, e := range s.entries {
		if err := e.awaitReady(boundedCtx); err != nil {
			r.Violations = append(r.Violations, err.Error())
		}
		if e.panicked() {
			r.Violations = append(r.Violations, e.name+" has panicked; see "+e.logFile)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.outcomes)) {
		s.checkJob(boundedCtx, id)
	}
	if id := jobID(0); s.outcomes[id] == standin.OutcomeAccepted {
		for s.deployment.Ledger().RunningTasks(id) != longRunningTasks && boundedCtx.Err() == nil {
			cranpause.Sleep(boundedCtx, jobPollInterval)
		}
		if n := s.deployment.Ledger().RunningTasks(id); n != longRunningTasks {
			r.Violations = append(r.Violations, fmt.Sprintf("%d of %d long-running tasks are running", n, longRunningTasks))
		}
	}
	return *r
}

// checkJob compares the outcome of submitting a job with what the targets ran and with
// the state of the job at each entry instance.
func (s *soak) checkJob(ctx context.Context, id string) {
	addViolation := func(format string, args ...any) {
		s.report.Violations = append(s.report.Violations, id+": "+fmt.Sprintf(format, args...))
	}
	submitOutcome := s.outcomes[id]
	if submitOutcome == standin.OutcomeRefused && s.deployment.Ledger().JobStarted(id) {
		addViolation("it was refused, but a task of it started")
	}
	if submitOutcome != standin.OutcomeAccepted {
		return
	}
	longRunning := id == jobID(0)
	for _, e := range s.entries {
		state, outcome := "", standin.OutcomeUnknown
		for ctx.Err() == nil {
			state, outcome = s.caller.State(ctx, e.frontAddress, id)
			if outcome == standin.OutcomeNotFound || state == "completed" || state == "failed" || state == "cancelled" || longRunning && state == "running" {
				break
			}
			cranpause.Sleep(ctx, jobPollInterval)
		}
		switch {
		case outcome == standin.OutcomeNotFound:
			addViolation("it was accepted, but %s responds that it does not exist", e.name)
		case state == "cancelled" && !s.cancelled[id], state == "failed":
			addViolation("%s reports it as %s, which nothing in the soak causes", e.name, state)
		case state != "completed" && state != "cancelled" && !longRunning:
			addViolation("its state is %q at %s after %v", state, e.name, settleTimeout)
		case state == "completed" && !s.deployment.Ledger().StartedTasksDone(id):
			addViolation("%s reports it as completed before its tasks were done", e.name)
		}
	}
}
