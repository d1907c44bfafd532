package crancli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Exit codes.
const (
	exitSuccess        = 0
	exitFailed         = 1
	exitUsage          = 2
	exitOutcomeUnknown = 3
)

const description = `Fleet capacity and maintenance manager.

Operators publish a configuration of pools and services; entry instances keep
every service within its availability budget through reboots and moves, and
forward callers' requests to targets.

Exit codes: 0 done, 1 refused or failed, 2 unusable command line, settings or
configuration, 3 outcome unknown (look at the status).`

// commands declares the commands and flags for kong.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry instance."`
	Node    nodeCommand    `cmd:"" help:"Run an entry instance of the job service on the users' platform."`
	Check   checkCommand   `cmd:"" help:"Check settings or a configuration and report every fault."`
	Publish publishCommand `cmd:"" help:"Publish a configuration, based on the one in force."`
	Status  statusCommand  `cmd:"" help:"Show the state of the fleet as an entry instance knows it."`
	Drain   drainCommand   `cmd:"" help:"Drain and reboot an instance, or return a cordoned one to service."`
	Move    moveCommand    `cmd:"" help:"Move an instance to another pool."`
	Wave    waveCommand    `cmd:"" help:"Start, resume or cancel a maintenance wave."`
	Explain explainCommand `cmd:"" help:"Explain why an instance or a wave does not progress, and what blocks it."`
	Where   whereCommand   `cmd:"" help:"Explain where the job service would place a job now, and why, without submitting it."`
	Demo    demoCommand    `cmd:"" help:"Run a whole deployment in this process, inject faults, and check the results."`
}

// output holds the writers for the standard output and standard error of a command.
type output struct {
	out io.Writer
	err io.Writer
}

// usageError marks an error in the command line, the settings or the
// configuration, which exits with exitUsage.
type usageError struct{ cause error }

// Error returns the cause's text.
func (e usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.cause }

// Run runs one command line and returns the exit code. Cancelling ctx stops the
// command gracefully.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var commandLine commands
	helpShown := false
	parser, err := kong.New(&commandLine,
		kong.Name("cranberrypick"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { helpShown = true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(&output{out: stdout, err: stderr}),
	)
	if err != nil {
		return reportError(stderr, err)
	}
	selected, err := parser.Parse(args)
	if helpShown {
		return exitSuccess
	}
	if err != nil {
		return reportError(stderr, usageError{err})
	}
	if err := selected.Run(); err != nil {
		return reportError(stderr, err)
	}
	return exitSuccess
}

// reportError prints an error and returns its exit code.
func reportError(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintf(stderr, "cranberrypick: %v\n", err)
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, cranfault.MatchKind(cranfault.Timeout)):
		return exitOutcomeUnknown
	default:
		return exitFailed
	}
}
