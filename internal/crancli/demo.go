package crancli

import (
	"context"
	"fmt"

	"github.com/cranberrypick/cranberrypick/internal/crandemo"
)

// reportJSON is the value of --report for a report in JSON.
const reportJSON = "json"

type demoCommand struct {
	Deployment string `help:"Deployment to run: ${enum}." enum:"headOffice,cooperative" default:"headOffice"`
	Report     string `help:"Format of the report: ${enum}. With json, progress goes to standard error." enum:"table,json" default:"table"`
	Seed       uint64 `help:"Seed of the offered requests." default:"1"`
}

// Help returns the detailed help text.
func (c *demoCommand) Help() string {
	return `Runs a whole deployment in this process, on loopback sockets, for less than
half a minute: about 50 instances, 6 entries, demand that surges pool by pool,
a maintenance wave over all pools, a killed entry, an outage of the log, two
moves, and a second configuration. It ends with a report computed from the
ledgers of callers, targets and platform, and fails if an invariant was
broken.`
}

// Run runs the demonstration and prints its report.
func (c *demoCommand) Run(ctx context.Context, o *output) error {
	progress := o.out
	if c.Report == reportJSON {
		progress = o.err
	}
	r, err := crandemo.Run(ctx, c.Deployment, crandemo.WithProgress(progress), crandemo.WithSeed(c.Seed))
	if err != nil {
		return err
	}
	write := r.WriteTable
	if c.Report == reportJSON {
		write = r.WriteJSON
	}
	if err := write(o.out); err != nil {
		return err
	}
	if n := r.Breaches(); n > 0 {
		return fmt.Errorf("%d breaches of invariants; see the report", n)
	}
	return nil
}
