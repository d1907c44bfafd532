package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

const (
	// objective is the time after which a job is late: 1.6 times its longest path of tasks, which is one task here, and
	// 0.6 s, as the stand-in's configuration says.
	objective = taskDuration*16/10 + 600*time.Millisecond
	// settleTimeout is how long after the last phase, or after the end of any job since then, an accepted job may take to
	// end without counting as lost.
	settleTimeout  = 5 * time.Second
	settleInterval = 200 * time.Millisecond
)

// errBroken is wrapped by errors that no busy machine excuses: a job was lost or a target has recorded a violation.
var errBroken = errors.New("a requirement is broken")

// counts are the numbers of jobs by outcome. Of the jobs sent, each is accepted, refused or unknown; of those accepted,
// each is in time, late or lost.
type counts struct {
	sent, accepted, refused, unknown int
	inTime, late, lost               int
}

// report holds the counts of each tenant in each phase. A job counts in the phase in which it was sent.
type report struct {
	tenants []*tenant
	counts  map[*tenant]*[len(phaseNames)]counts
}

// newReport waits until the accepted jobs have ended, and counts all jobs.
func newReport(ctx context.Context, s *service, c *standin.Caller, tenants []*tenant) *report {
	ends := s.awaitEnds(ctx, c, tenants)
	r := &report{tenants: tenants, counts: map[*tenant]*[len(phaseNames)]counts{}}
	for _, t := range tenants {
		r.counts[t] = &[len(phaseNames)]counts{}
		for _, j := range t.jobs {
			n := &r.counts[t][j.phase]
			n.sent++
			switch j.outcome {
			case standin.OutcomeAccepted:
				n.accepted++
				n.addEnd(j, ends[j])
			case standin.OutcomeUnknown:
				n.unknown++
			default:
				n.refused++
			}
		}
	}
	return r
}

// addEnd counts an accepted job that ended at a time; zero if it didn't.
func (n *counts) addEnd(j *job, end time.Time) {
	switch {
	case end.IsZero():
		n.lost++
	case end.Sub(j.sentAt) > objective:
		n.late++
	default:
		n.inTime++
	}
}

// awaitEnds waits until all accepted jobs are completed, according to both the service and the targets, or no further one
// was for settleTimeout. It returns when the last task of each of them ended.
func (s *service) awaitEnds(ctx context.Context, c *standin.Caller, tenants []*tenant) map[*job]time.Time {
	ends := map[*job]time.Time{}
	for last := time.Now(); ctx.Err() == nil && time.Since(last) < settleTimeout; cranpause.Sleep(ctx, settleInterval) {
		pending := 0
		for _, t := range tenants {
			for _, j := range t.jobs {
				if j.outcome != standin.OutcomeAccepted || !ends[j].IsZero() {
					continue
				}
				pending++
				state, _ := c.WithKey(t.keys[0]).State(ctx, s.entries[0], j.id)
				if end, done := s.Ledger().CompletedAt(j.id); done && state == "completed" {
					ends[j], last = end, time.Now()
				}
			}
		}
		if pending == 0 {
			break
		}
	}
	return ends
}

// String returns the counts as a table.
func (r *report) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "tenant\tburst\tsent\taccepted\trefused\tunknown\tin time\tlate\tlost\t")
	for _, t := range r.tenants {
		for phase, n := range r.counts[t] {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
				t.name, phaseNames[phase], n.sent, n.accepted, n.refused, n.unknown, n.inTime, n.late, n.lost)
		}
	}
	// Writing to a strings.Builder can't fail.
	_ = w.Flush()
	return b.String()
}

// check returns an error for each requirement that wasn't met. The jobs of the steady tenant must all be accepted, and no
// accepted job may be lost. The targets must have recorded no violation, such as a task that ran twice.
func (r *report) check(steady *tenant, violations []string) error {
	var errs []error
	for _, t := range r.tenants {
		for phase, n := range r.counts[t] {
			if t == steady && n.accepted < n.sent {
				errs = append(errs, eris.Errorf("%s %s the burst: %d of %d jobs not accepted", t.name, phaseNames[phase], n.sent-n.accepted, n.sent))
			}
			if n.lost > 0 {
				errs = append(errs, fmt.Errorf("%w: %s %s the burst: %d of %d accepted jobs lost", errBroken, t.name, phaseNames[phase], n.lost, n.accepted))
			}
		}
	}
	for _, v := range violations {
		errs = append(errs, fmt.Errorf("%w: %s", errBroken, v))
	}
	return errors.Join(errs...)
}
