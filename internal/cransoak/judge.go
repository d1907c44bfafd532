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

// judgePoll is how often a job that has not ended is asked for again.
const judgePoll = 200 * time.Millisecond

// judge asks every entry instance for every job, and the targets' ledger for
// broken rules.
func (s *soak) judge(ctx context.Context) Report {
	limited, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	r := &s.report
	r.Violations = append(r.Violations, s.deployment.Ledger().Violations()...)
	for _, e := range s.entries {
		if err := e.awaitReady(limited); err != nil {
			r.Violations = append(r.Violations, err.Error())
		}
		if e.panicked() {
			r.Violations = append(r.Violations, e.name+" has panicked; see "+e.log)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.outcomes)) {
		s.judgeJob(limited, id)
	}
	if id := jobID(0); s.outcomes[id] == standin.OutcomeAccepted {
		for s.deployment.Ledger().RunningTasks(id) != lastingTasks && limited.Err() == nil {
			cranpause.Sleep(limited, judgePoll)
		}
		if n := s.deployment.Ledger().RunningTasks(id); n != lastingTasks {
			r.Violations = append(r.Violations, fmt.Sprintf("%d of %d lasting tasks run", n, lastingTasks))
		}
	}
	return *r
}

// judgeJob compares what the caller of a job was told with what is known of it.
func (s *soak) judgeJob(ctx context.Context, id string) {
	broken := func(format string, args ...any) {
		s.report.Violations = append(s.report.Violations, id+": "+fmt.Sprintf(format, args...))
	}
	told := s.outcomes[id]
	if told == standin.OutcomeRefused && s.deployment.Ledger().JobStarted(id) {
		broken("it was refused, and it ran")
	}
	if told != standin.OutcomeAccepted {
		return
	}
	lasting := id == jobID(0)
	for _, e := range s.entries {
		state, outcome := "", standin.OutcomeUnknown
		for ctx.Err() == nil {
			state, outcome = s.caller.State(ctx, e.front, id)
			if outcome == standin.OutcomeNotFound || state == "completed" || state == "failed" || state == "cancelled" || lasting && state == "running" {
				break
			}
			cranpause.Sleep(ctx, judgePoll)
		}
		switch {
		case outcome == standin.OutcomeNotFound:
			broken("it was accepted, and %s knows nothing of it", e.name)
		case state == "cancelled" && !s.cancelled[id], state == "failed":
			broken("%s shows it as %s without cause", e.name, state)
		case state != "completed" && state != "cancelled" && !lasting:
			broken("it is %q at %s after %v", state, e.name, settleTime)
		case state == "completed" && !s.deployment.Ledger().StartedTasksDone(id):
			broken("%s shows it as completed before its tasks were done", e.name)
		}
	}
}
