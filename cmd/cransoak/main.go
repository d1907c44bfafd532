// Command cransoak runs soak tests of the cranberrypick program, one for each seed: it
// submits jobs, injects random faults and checks the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/cranberrypick/cranberrypick/internal/cransoak"
)

// commands holds the arguments and flags of the command line.
type commands struct {
	Program string        `arg:"" help:"Path of the cranberrypick program." type:"existingfile"`
	Seed    uint64        `help:"First seed." default:"1"`
	Seeds   int           `help:"Number of consecutive seeds, run one after the other." default:"1"`
	Entries int           `help:"Number of entry instances, each a separate process." default:"3"`
	Targets int           `help:"Number of targets." default:"4"`
	Shards  int           `help:"Number of shards, each with an owner of its own." default:"1"`
	Small   int           `help:"Number of entry instances on small machines; all machines have limits if it isn't 0." default:"0"`
	Surges  bool          `help:"Many jobs in surges, and series of faults that overlap."`
	Tenants bool          `help:"Callers send keys of tenants, which come and go, with caps that change and bursts of one tenant."`
	Partial bool          `help:"The store loses the digest alone where it would be unavailable as a whole."`
	Cancel  time.Duration `help:"Time within which a cancellation must be in effect." default:"3s"`
	Keep    bool          `help:"Keep the logs of all seeds."`
	Length  time.Duration `help:"Time for which each seed submits jobs and injects faults." default:"20s"`
	Logs    string        `help:"Folder for the logs of the processes. Logs are kept only for seeds that fail." default:"soak"`
}

func main() {
	var flags commands
	kong.Parse(&flags, kong.Name("cransoak"), kong.Description("Runs soak tests with random faults against the cranberrypick program."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	failed := 0
	for i := range flags.Seeds {
		if ctx.Err() != nil {
			break
		}
		if !flags.runSeed(ctx, flags.Seed+uint64(i)) {
			failed++
		}
	}
	stop()
	fmt.Printf("%d of %d seeds failed\n", failed, flags.Seeds)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs a soak with one seed and prints its report. It returns whether the soak
// ran without errors and violations.
func (c *commands) runSeed(ctx context.Context, seed uint64) bool {
	dir := filepath.Join(c.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		fmt.Println(err)
		return false
	}
	trace, err := os.Create(filepath.Join(dir, "trace.txt")) //nolint:gosec // The folder is the caller's.
	if err != nil {
		fmt.Println(err)
		return false
	}
	defer func() { _ = trace.Close() }()
	report, err := cransoak.Run(ctx, cransoak.Options{
		Program: c.Program, Dir: dir, Seed: seed, Entries: c.Entries, Targets: c.Targets, Shards: c.Shards, Duration: c.Length,
		Small: c.Small, Surges: c.Surges, Tenants: c.Tenants, Partial: c.Partial, CancelBound: c.Cancel, Trace: trace,
	})
	fmt.Printf("seed %d: %d faults; jobs: %d accepted, %d refused, %d unknown\n",
		seed, report.Faults, report.Accepted, report.Refused, report.Unknown)
	fmt.Printf("  %d cancellations, %d later starts (%d excused), %d jobs stood still (%d more beside faults), %d overloads\n",
		report.Cancelled, report.LateStarts, report.ExcusedStarts, report.StandStills, report.ExcusedStandStills, report.Overloads)
	if err != nil {
		fmt.Printf("  error: %v\n", err)
	}
	for _, v := range report.Violations {
		fmt.Printf("  violation: %s\n", v)
	}
	if err == nil && len(report.Violations) == 0 {
		if !c.Keep {
			_ = os.RemoveAll(dir)
		}
		return true
	}
	return false
}
