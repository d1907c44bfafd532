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
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

const description = `Fleet capacity and maintenance manager.

Operators publish a configuration of pools and services; entry instances keep
every service within its availability budget through reboots and moves, and
carry callers' requests to targets.

Exit codes: 0 done, 1 refused or failed, 2 unusable command line, settings or
configuration, 3 outcome unknown (look at the status).`

// commands is the command line.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry instance."`
	Node    nodeCommand    `cmd:"" help:"Run an entry instance of the job service on the users' platform."`
	Check   checkCommand   `cmd:"" help:"Check settings or a configuration and report every fault."`
	Publish publishCommand `cmd:"" help:"Publish a configuration, based on the one in force."`
	Status  statusCommand  `cmd:"" help:"Show what an entry knows of the fleet."`
	Drain   drainCommand   `cmd:"" help:"Drain and reboot an instance, or return a cordoned one to service."`
	Move    moveCommand    `cmd:"" help:"Move an instance to another pool."`
	Wave    waveCommand    `cmd:"" help:"Start, resume or cancel a maintenance wave."`
	Explain explainCommand `cmd:"" help:"Say why an instance or a wave does not progress, and who blocks it."`
	Demo    demoCommand    `cmd:"" help:"Run a whole deployment in this process, with faults, and judge it."`
}

// output is where commands write.
type output struct {
	out io.Writer
	err io.Writer
}

// usageError marks input that cannot be used.
type usageError struct{ cause error }

// Error returns the cause's text.
func (e usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.cause }

// Run runs one command line and returns the exit code. Canceling ctx stops a
// command gracefully.
func Run(ctx context.Context, args []string, out, failures io.Writer) int {
	var line commands
	exited := false
	parser, err := kong.New(&line,
		kong.Name("cranberrypick"),
		kong.Description(description),
		kong.Writers(out, failures),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(&output{out: out, err: failures}),
	)
	if err != nil {
		return fail(failures, err)
	}
	selected, err := parser.Parse(args)
	if exited {
		return exitDone
	}
	if err != nil {
		return fail(failures, usageError{err})
	}
	if err := selected.Run(); err != nil {
		return fail(failures, err)
	}
	return exitDone
}

func fail(failures io.Writer, err error) int {
	_, _ = fmt.Fprintf(failures, "cranberrypick: %v\n", err)
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, cranfault.MatchKind(cranfault.Timeout)):
		return exitUnknown
	default:
		return exitRefused
	}
}
