// Command cransoak plays seeds of faults against the real program.
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

type commands struct {
	Program string        `arg:"" help:"Path of the program, cranberrypick." type:"existingfile"`
	Seed    uint64        `help:"First seed." default:"1"`
	Seeds   int           `help:"Number of seeds, played one after the other." default:"1"`
	Entries int           `help:"Entry instances, a process each." default:"3"`
	Targets int           `help:"Targets." default:"4"`
	Length  time.Duration `help:"How long jobs come and faults are injected." default:"20s"`
	Logs    string        `help:"Folder for the logs of the processes; those of a seed that failed are kept." default:"soak"`
}

func main() {
	var line commands
	kong.Parse(&line, kong.Name("cransoak"), kong.Description("Plays seeds of faults against the real program."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	failed := 0
	for i := range line.Seeds {
		if ctx.Err() != nil {
			break
		}
		if !line.play(ctx, line.Seed+uint64(i)) {
			failed++
		}
	}
	stop()
	fmt.Printf("%d of %d seeds failed\n", failed, line.Seeds)
	if failed > 0 {
		os.Exit(1)
	}
}

// play plays one seed and reports whether every promise was kept.
func (c *commands) play(ctx context.Context, seed uint64) bool {
	folder := filepath.Join(c.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(folder, 0o750); err != nil {
		fmt.Println(err)
		return false
	}
	report, err := cransoak.Run(ctx, cransoak.Options{
		Program: c.Program, Dir: folder, Seed: seed, Entries: c.Entries, Targets: c.Targets, Duration: c.Length,
	})
	fmt.Printf("seed %d: %d faults; jobs: %d accepted, %d refused, %d unknown\n",
		seed, report.Faults, report.Accepted, report.Refused, report.Unknown)
	if err != nil {
		fmt.Printf("  error: %v\n", err)
	}
	for _, b := range report.Violations {
		fmt.Printf("  broken: %s\n", b)
	}
	if err == nil && len(report.Violations) == 0 {
		_ = os.RemoveAll(folder)
		return true
	}
	return false
}
